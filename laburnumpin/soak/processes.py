"""Entry processes of a soak test."""

from __future__ import annotations

import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

from laburnumpin.platform import settings
from laburnumpin.platform import standins
from laburnumpin.soak import skewed_entry

KILL_TIMEOUT_S = 5.0
LOWEST_PORT = 10_000
# The first and the last port that the kernel gives to outgoing connections.
EPHEMERAL_PORTS_PATH = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")

_returned_ports: set[int] = set()


class EntryProcess:
    """A process that runs one entry; `incarnation` counts its starts."""

    __slots__ = (
        "_directory",
        "_log_path",
        "_offset_path",
        "_process",
        "_settings_path",
        "address",
        "incarnation",
        "name",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        directory: pathlib.Path,
        store_address: str,
        *,
        has_rollouts: bool = False,
    ) -> None:
        self.name = name
        self._directory = directory
        ports = free_ports()
        self.address = f"127.0.0.1:{ports[0]}"
        self._settings_path = directory / f"{name}.toml"
        self._settings_path.write_text(
            standins.settings_text(
                name,
                "127.0.0.1",
                ports,
                store_address,
                zone=zone,
                has_rollouts=has_rollouts,
            ),
            encoding="utf-8",
        )
        self._offset_path = directory / f"{name}.clock"
        skewed_entry.write_offset(self._offset_path, 0)
        self._process: subprocess.Popen[bytes] | None = None
        self._log_path = directory / f"{name}.log"
        self.incarnation = 0

    def start(self) -> None:
        """Start the process unless it is running."""
        if not self.has_ended():
            return
        self.incarnation += 1
        environment = {
            **os.environ,
            settings.PATH_VARIABLE: str(self._settings_path),
            skewed_entry.OFFSET_VARIABLE: str(self._offset_path),
        }
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "laburnumpin.soak.skewed_entry"],
                stdout=log,
                stderr=log,
                env=environment,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    def pause(self) -> None:
        """Stop the process until SIGCONT; wait until no thread runs."""
        self.signal(signal.SIGSTOP)
        if self._process is not None:
            with contextlib.suppress(ChildProcessError):
                os.waitid(
                    os.P_PID,
                    self._process.pid,
                    os.WSTOPPED | os.WEXITED | os.WNOWAIT,
                )

    def set_clock_offset(self, offset_ms: int) -> None:
        """Set the offset of the wall clock that the process reads."""
        skewed_entry.write_offset(self._offset_path, offset_ms)

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self._process is None or self._process.poll() is not None

    def peak_memory_mb(self) -> float:
        """Return the most memory since the last start, 0 if it has ended."""
        if self._process is None:
            return 0.0
        status_path = pathlib.Path(f"/proc/{self._process.pid}/status")
        with contextlib.suppress(OSError):
            for line in status_path.read_text(encoding="ascii").splitlines():
                if line.startswith("VmHWM:"):
                    return float(line.split()[1]) / 1_000
        return 0.0

    def log_text(self) -> str:
        """Return what the process has written so far, over all starts."""
        if not self._log_path.exists():
            return ""
        return self._log_path.read_text(encoding="utf-8")

    def kill(self) -> None:
        """Kill the process, also when it is stopped by SIGSTOP."""
        if self._process is None or self._process.poll() is not None:
            return
        self._process.kill()
        deadline_s = time.monotonic() + KILL_TIMEOUT_S
        while self._process.poll() is None:
            if time.monotonic() > deadline_s:
                break
            time.sleep(0.01)


def free_ports() -> tuple[int, int, int, int]:
    """Return free ports that this process has not returned before.

    They are outside the range from which the kernel takes the ports of
    outgoing connections, so that none of those binds one before the entry does.
    """
    ports: list[int] = []
    while len(ports) < 4:
        port = random.randrange(LOWEST_PORT, _lowest_ephemeral_port())
        if port in _returned_ports:
            continue
        _returned_ports.add(port)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            ports.append(port)
    return ports[0], ports[1], ports[2], ports[3]


def _lowest_ephemeral_port() -> int:
    return int(EPHEMERAL_PORTS_PATH.read_text(encoding="ascii").split()[0])
