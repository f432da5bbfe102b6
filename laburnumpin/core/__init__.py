"""Decisions: one reducer over all events, effects as data."""
