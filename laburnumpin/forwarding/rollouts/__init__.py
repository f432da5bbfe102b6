"""Staged roll-outs: moving a service to upstreams of another version."""
