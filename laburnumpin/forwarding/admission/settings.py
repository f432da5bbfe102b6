"""Settings of the admission of callers, and how they follow from the VM."""

from __future__ import annotations

import dataclasses

# What a process takes without any connection, with room to grow.
PROCESS_BYTES = 48_000_000
# Least share of the memory that is left for callers on a small VM.
MIN_LEFT_SHARE = 0.2
# Shares of the memory that the process leaves. The rest is for copies.
CONNECTIONS_SHARE = 0.5
BYTES_SHARE = 0.35
# A connection's objects, its unread bytes, and those in the kernel.
CONNECTION_BYTES = 65_536
# Descriptors for other uses than callers and the upstreams that serve them.
OTHER_DESCRIPTORS = 64
# A caller and the upstream that serves it.
DESCRIPTORS_PER_CALLER = 2
MIN_CONNECTIONS = 8
DEFAULT_MEMORY_BYTES = 300_000_000
DEFAULT_DESCRIPTORS = 4_096


@dataclasses.dataclass(slots=True, frozen=True)
class AdmissionSettings:
    """Limits on callers' connections.

    `max_connections` is the most connections of callers. Of a connection that
    has not sent `progress_bytes` in `stall_ms`, the place or the bytes may be
    given to others. `room_wait_ms` is the longest wait of a body for room.
    `parser_share` is the share of the time in which bodies of many small
    chunks are parsed.
    """

    max_connections: int
    stall_ms: int = 2_000
    progress_bytes: int = 1_024
    room_wait_ms: int = 1_000
    parser_share: float = 0.3


def left_bytes(memory_bytes: float) -> float:
    """Return the memory of a VM that its process leaves for callers."""
    return max(memory_bytes - PROCESS_BYTES, memory_bytes * MIN_LEFT_SHARE)


def connections_for(memory_bytes: float, descriptors: float) -> int:
    """Return the number of callers that fit a VM."""
    by_memory = left_bytes(memory_bytes) * CONNECTIONS_SHARE / CONNECTION_BYTES
    by_descriptors = (descriptors - OTHER_DESCRIPTORS) / DESCRIPTORS_PER_CALLER
    return max(MIN_CONNECTIONS, int(min(by_memory, by_descriptors)))


def default() -> AdmissionSettings:
    """Return the settings of a VM that names no limits."""
    return AdmissionSettings(
        connections_for(DEFAULT_MEMORY_BYTES, DEFAULT_DESCRIPTORS)
    )
