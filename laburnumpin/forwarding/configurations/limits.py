"""Limits on configurations."""

from __future__ import annotations

# Longest configuration that is read, unless the settings name another limit.
MAX_CONFIGURATION_BYTES = 8_388_608
# Longest one that the settings can allow: a longer one does not fit an answer
# of the store that is read.
LONGEST_CONFIGURATION_BYTES = 12_000_000
