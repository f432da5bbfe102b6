"""The work of each command as a plain function."""
