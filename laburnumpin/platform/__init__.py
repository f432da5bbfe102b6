"""Adapters between the users' platform and `laburnumpin.forwarding`.

The names and formats of the platform occur only in this package.
"""
