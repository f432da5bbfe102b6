"""Operators' configurations: incremental decoding and exchange with peers."""
