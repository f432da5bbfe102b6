"""Forwarding of requests that live and end on their caller's connection."""
