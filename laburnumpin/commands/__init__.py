"""Implementations of the commands, free of command-line parsing."""
