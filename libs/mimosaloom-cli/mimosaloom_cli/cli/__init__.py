"""Definition, parsing and constants of the command line."""
