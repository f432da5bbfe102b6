"""The program that the platform starts on each VM."""

from __future__ import annotations

from laburnumpin.platform import program

if __name__ == "__main__":
    program.main()
