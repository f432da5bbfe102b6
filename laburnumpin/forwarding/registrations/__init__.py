"""The rows in which upstreams register, in the order of their writers."""
