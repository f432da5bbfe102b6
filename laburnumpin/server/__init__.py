"""The daemon: turns I/O into events and carries out effects."""
