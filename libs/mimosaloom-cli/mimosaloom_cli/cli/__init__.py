"""Command-line interface: commands, options and help texts."""
