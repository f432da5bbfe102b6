"""The users' platform: its names and formats, translated to the project's.

Nothing outside this package knows the platform's names.
"""
