"""Benchmarks that replay decisions in virtual time."""
