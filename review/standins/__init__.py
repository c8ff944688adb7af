"""Stand-ins of clients, upstreams and the platform for the cases of the review."""
