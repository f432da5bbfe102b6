"""An entry whose time of day is moved by a soak from outside.

The process reads the offset from a file that the soak writes; the program
itself is the one that the platform starts.
"""

from __future__ import annotations

import mmap
import os
import pathlib
import struct
import time

from laburnumpin.platform import program

OFFSET_VARIABLE = "LABURNUMPIN_SOAK_CLOCK"
# Offset of the time of day, ns.
_OFFSET = struct.Struct("<q")


def write_offset(path: pathlib.Path, offset_ms: int) -> None:
    """Move the time of day of the entry that reads `path`."""
    if not path.exists():
        path.write_bytes(_OFFSET.pack(0))
    with path.open("r+b") as file:
        file.write(_OFFSET.pack(offset_ms * 1_000_000))


def main() -> None:
    """Run an entry on the moved clock."""
    with pathlib.Path(os.environ[OFFSET_VARIABLE]).open("rb") as file:
        offset = mmap.mmap(file.fileno(), _OFFSET.size, access=mmap.ACCESS_READ)
    own_time_ns = time.time_ns

    def time_ns() -> int:
        return own_time_ns() + int(_OFFSET.unpack(offset[:])[0])

    time.time_ns = time_ns
    program.main()


if __name__ == "__main__":
    main()
