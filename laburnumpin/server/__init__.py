"""The entry daemon: turns I/O into events and executes effects."""
