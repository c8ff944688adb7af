"""Demo and benchmarks of mimosaloom."""
