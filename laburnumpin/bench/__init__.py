"""Benchmarks: replays in virtual time and measurements of control costs."""
