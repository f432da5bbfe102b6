"""Entry command with an adjustable wall clock, for soak tests.

Runs the command that the platform starts, but adds an offset to the wall
clock. The soak writes the offset to a file that the process maps into memory.
"""

from __future__ import annotations

import mmap
import os
import pathlib
import struct
import time

from laburnumpin import signals

OFFSET_VARIABLE = "LABURNUMPIN_SOAK_CLOCK"
# Offset of the wall clock, ns.
_OFFSET_STRUCT = struct.Struct("<q")


def write_offset(path: pathlib.Path, offset_ms: int) -> None:
    """Set the wall clock offset of the entry that reads `path`."""
    if not path.exists():
        path.write_bytes(_OFFSET_STRUCT.pack(0))
    with path.open("r+b") as file:
        file.write(_OFFSET_STRUCT.pack(offset_ms * 1_000_000))


def main(inbox: signals.Inbox) -> None:
    """Run an entry whose wall clock is offset."""
    with pathlib.Path(os.environ[OFFSET_VARIABLE]).open("rb") as file:
        mapped_offset = mmap.mmap(
            file.fileno(), _OFFSET_STRUCT.size, access=mmap.ACCESS_READ
        )
    system_time_ns = time.time_ns

    def time_ns() -> int:
        return system_time_ns() + int(
            _OFFSET_STRUCT.unpack(mapped_offset[:])[0]
        )

    time.time_ns = time_ns
    # Imported as late as in the program that the platform starts.
    from laburnumpin.platform import program

    program.main(inbox)


if __name__ == "__main__":
    main(signals.Inbox())
