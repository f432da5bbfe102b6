"""Loader of the platform's settings file (TOML)."""

from __future__ import annotations

import math
import pathlib
import tomllib
from typing import Any

from laburnumpin import exceptions
from laburnumpin.forwarding import backoff
from laburnumpin.forwarding import budgets
from laburnumpin.forwarding import buffers
from laburnumpin.forwarding import completeness
from laburnumpin.forwarding import freshness
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import settings as forwarding_settings
from laburnumpin.forwarding import untrusted
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.admission import settings as admission_settings
from laburnumpin.forwarding.configurations import limits
from laburnumpin.forwarding.rollouts import model

PATH_VARIABLE = "LABURNUMPIN_SETTINGS"
DEFAULT_PATH = "/etc/laburnumpin/boot.toml"

# One engine that ends does not show that its requests are the cause.
MIN_ENGINE_LOSSES = 2
# A longer check would hold up the end of each answer without length.
MAX_END_CHECK_TIMEOUT_S = 2.0

# Shorter times to detect a silent connection can't be kept on a busy VM.
MIN_CONTACT_MS = 500
# With less, bodies of many small chunks would never be read.
MIN_PARSER_SHARE = 0.01
BYTES_PER_MB = 1_000_000
MAX_CONFIGURATION_MB = limits.LONGEST_CONFIGURATION_BYTES // BYTES_PER_MB
# Part of the platform's rules under which it orders roll-outs, and the limits
# of a roll-out if the platform names none.
ROLLOUT_CONTRACT = "rollout"
DEFAULT_EXPOSURE_SHARE = 0.05
DEFAULT_EXPOSURE_SLACK = 20
DEFAULT_ROLLBACK_MS = 3_000
# Maps the platform's names of duties to those of `ForwardingSettings`.
_DUTY_BY_PLATFORM_NAME = {"usage_report": "usage", "autoscale": "upstreams"}


class _Reader:
    """Reads typed fields and collects their errors.

    An invalid field is added to `errors` and read as an empty value.
    """

    def __init__(self, document: dict[str, Any]) -> None:
        self._document = document
        self.errors: list[exceptions.FieldError] = []

    def string(self, *path: str) -> str:
        """Return a non-empty string."""
        value = self._find(path)
        if isinstance(value, str) and value:
            return value
        self.add_error(path, "a non-empty string is expected")
        return ""

    def number(self, *path: str, default: float | None = None) -> float:
        """Return a finite, non-negative number."""
        value = self._find(path)
        if value is None and default is not None:
            return default
        if isinstance(value, int | float) and not isinstance(value, bool):
            if math.isfinite(value) and value >= 0:
                return float(value)
        self.add_error(path, "a finite, non-negative number is expected")
        return 0.0

    def strings(self, *path: str) -> tuple[str, ...]:
        """Return the items of a list as strings; empty if it is absent."""
        value = self._find(path)
        if value is None:
            return ()
        if not isinstance(value, list):
            self.add_error(path, "a list is expected")
            return ()
        return tuple(str(item) for item in value)

    def ports(self, *path: str) -> tuple[int, int]:
        """Return the first and the last port of a range."""
        value = self._find(path)
        if isinstance(value, list) and len(value) == 2:
            first, last = value
            if isinstance(first, int) and isinstance(last, int):
                if 0 < first <= last < 65_536:
                    return first, last
        self.add_error(
            path, "a list of the first and the last port is expected"
        )
        return 0, 0

    def _find(self, path: tuple[str, ...]) -> Any:
        value: Any = self._document
        for name in path:
            if not isinstance(value, dict):
                return None
            value = value.get(name)
        return value

    def add_error(self, path: tuple[str, ...], message: str) -> None:
        """Add an error of a field."""
        self.errors.append(
            exceptions.FieldError(".".join(path), "field_invalid", message)
        )


def load(path: str) -> forwarding_settings.ForwardingSettings:
    """Read the settings file.

    Raises:
        ConfigurationError: The file is unreadable, or fields are missing or
            invalid; lists every error.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        document = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise exceptions.ConfigurationError(
            [exceptions.FieldError("settings", "unreadable", str(error))]
        ) from error
    return decode(document)


def decode(
    document: dict[str, Any],
) -> forwarding_settings.ForwardingSettings:
    """Return the settings in a parsed settings file.

    Raises:
        ConfigurationError: Fields are missing or invalid; lists every error.
    """
    reader = _Reader(document)
    ip = reader.string("ip")
    first_port, _ = reader.ports("internal_ports")
    seeds = []
    for seed in reader.strings("seeds"):
        # Seeds are control plane addresses; peers listen on the first internal
        # port of the same VM.
        seeds.append(f"{seed.rpartition(':')[0]}:{first_port}")
    duties = []
    for duty in reader.strings("cloud_api", "duties"):
        if duty in _DUTY_BY_PLATFORM_NAME:
            duties.append(_DUTY_BY_PLATFORM_NAME[duty])
    retry_limit = budgets.RetryLimit(
        ratio=reader.number("bounds", "retry_budget_ratio", default=0.2),
        slack=int(reader.number("bounds", "retry_slack", default=20)),
        window_ms=_bound_ms(reader, "retry_window_s", 10),
    )
    withholding = _read_withholding(reader)
    settings = forwarding_settings.ForwardingSettings(
        name=reader.string("node_name"),
        zone=reader.string("zone"),
        caller_address=reader.string("listen", "frontend"),
        readiness_address=reader.string("listen", "readiness"),
        peer_address=f"{ip}:{first_port}",
        seeds=tuple(seeds),
        store_address=reader.string("platform", "address"),
        cloud_address=str(
            document.get("cloud_api", {}).get("address", "")
            if isinstance(document.get("cloud_api"), dict)
            else ""
        ),
        duties=tuple(duties),
        quota_slack_units=reader.number("bounds", "quota_slack", default=0),
        exit_ms=_bound_ms(reader, "grace_s", 8),
        lease_ms=int(reader.number("bounds", "lease_ms", default=3_000)),
        retry_limit=retry_limit,
        usage_window_ms=_bound_ms(reader, "usage_window_s", 5),
        usage_late_ms=_bound_ms(reader, "usage_late_s", 10),
        link_mbps=reader.number("limits", "link_mbps", default=0),
        withholding=withholding,
        backoff=_read_backoff(reader),
        answers=_read_answers(reader),
        call_times=_read_call_times(reader),
        buffers=_read_buffers(reader),
        max_configuration_bytes=_read_max_configuration_bytes(reader),
        rollouts=_read_rollouts(reader),
        admission=_read_admission(reader),
        is_first_start=document.get("bootstrap") is True,
        upstream_heartbeat_ms=_read_heartbeat_ms(reader),
    )
    if reader.errors:
        raise exceptions.ConfigurationError(reader.errors)
    return settings


def _read_withholding(reader: _Reader) -> part_losses.WithholdingSettings:
    """Return the optional `withholding` table, which is the project's own."""
    default = part_losses.WithholdingSettings()
    min_losses = reader.number(
        "withholding", "min_losses", default=default.min_losses
    )
    if min_losses != int(min_losses) or min_losses < MIN_ENGINE_LOSSES:
        reader.add_error(
            ("withholding", "min_losses"),
            f"an integer of at least {MIN_ENGINE_LOSSES} is expected",
        )
    times_ms = []
    for name, default_ms in (
        ("first_withhold_s", default.first_withhold_ms),
        ("max_withhold_s", default.max_withhold_ms),
        ("memory_s", default.memory_ms),
        ("doubt_withhold_s", default.doubt_withhold_ms),
    ):
        seconds = reader.number("withholding", name, default=default_ms / 1_000)
        if seconds <= 0:
            reader.add_error(
                ("withholding", name), "a number above 0 is expected"
            )
        times_ms.append(int(seconds * 1_000))
    return part_losses.WithholdingSettings(int(min_losses), *times_ms)


def _read_backoff(reader: _Reader) -> backoff.BackoffSettings:
    """Return the optional `backoff` table, which is the project's own."""
    default = backoff.BackoffSettings()
    times_ms = []
    for name, default_ms in (
        ("max_ms", default.max_ms),
        ("spread_ms", default.spread_ms),
        ("return_ms", default.return_ms),
    ):
        time_ms = reader.number("backoff", name, default=default_ms)
        if time_ms > untrusted.MAX_DURATION_MS:
            reader.add_error(
                ("backoff", name),
                f"a number up to {untrusted.MAX_DURATION_MS} is expected",
            )
        times_ms.append(int(time_ms))
    return backoff.BackoffSettings(*times_ms)


def _read_answers(reader: _Reader) -> completeness.AnswerSettings:
    """Return the optional `answers` table, which is the project's own."""
    default = completeness.AnswerSettings()
    timeout_s = reader.number(
        "answers",
        "end_check_timeout_s",
        default=default.end_check_timeout_ms / 1_000,
    )
    if not 0 <= timeout_s <= MAX_END_CHECK_TIMEOUT_S:
        reader.add_error(
            ("answers", "end_check_timeout_s"),
            f"a number from 0 to {MAX_END_CHECK_TIMEOUT_S} is expected",
        )
        return default
    return completeness.AnswerSettings(int(timeout_s * 1_000))


def _read_buffers(reader: _Reader) -> buffers.BufferSettings:
    """Return the optional `buffers` table, which is the project's own.

    Without it, the memory that the platform names decides.
    """
    left_bytes = admission_settings.left_bytes(_memory_bytes(reader))
    default_bytes = left_bytes * admission_settings.BYTES_SHARE
    budget_mb = reader.number(
        "buffers", "budget_mb", default=default_bytes / BYTES_PER_MB
    )
    return buffers.BufferSettings(int(budget_mb * BYTES_PER_MB))


def _read_max_configuration_bytes(reader: _Reader) -> int:
    """Return the limit in the optional `configuration` table.

    That table is the project's own.
    """
    default = limits.MAX_CONFIGURATION_BYTES
    max_mb = reader.number(
        "configuration", "max_mb", default=default / BYTES_PER_MB
    )
    if not 0 < max_mb <= MAX_CONFIGURATION_MB:
        reader.add_error(
            ("configuration", "max_mb"),
            f"a number above 0 and up to {MAX_CONFIGURATION_MB} is expected",
        )
        return default
    return round(max_mb * BYTES_PER_MB)


def _read_rollouts(reader: _Reader) -> model.RolloutSettings | None:
    """Return the limits of roll-outs; None where the platform orders none."""
    if ROLLOUT_CONTRACT not in reader.strings("contracts"):
        return None
    share = reader.number(
        "bounds", "exposure_share", default=DEFAULT_EXPOSURE_SHARE
    )
    if share > 1:
        reader.add_error(
            ("bounds", "exposure_share"), "a number up to 1 is expected"
        )
    slack = reader.number(
        "bounds", "exposure_slack", default=DEFAULT_EXPOSURE_SLACK
    )
    rollback_ms = reader.number(
        "bounds", "rollback_ms", default=DEFAULT_ROLLBACK_MS
    )
    return model.RolloutSettings(share, int(slack), int(rollback_ms))


def _read_admission(
    reader: _Reader,
) -> admission_settings.AdmissionSettings:
    """Return the optional `callers` table, which is the project's own.

    Without `max_connections`, the VM that the platform names decides.
    """
    descriptors = reader.number(
        "limits", "max_fds", default=admission_settings.DEFAULT_DESCRIPTORS
    )
    fitting = admission_settings.connections_for(
        _memory_bytes(reader), descriptors
    )
    default = admission_settings.AdmissionSettings(fitting)
    numbers = []
    for name, default_value in (
        ("max_connections", default.max_connections),
        ("stall_ms", default.stall_ms),
        ("progress_bytes", default.progress_bytes),
        ("room_wait_ms", default.room_wait_ms),
    ):
        value = reader.number("callers", name, default=default_value)
        if name != "room_wait_ms" and value < 1:
            reader.add_error(
                ("callers", name), "a number of at least 1 is expected"
            )
        numbers.append(int(value))
    share = reader.number(
        "callers", "parser_share", default=default.parser_share
    )
    if not MIN_PARSER_SHARE <= share <= 1:
        reader.add_error(
            ("callers", "parser_share"),
            f"a number from {MIN_PARSER_SHARE} to 1 is expected",
        )
        share = default.parser_share
    max_connections, stall_ms, progress_bytes, room_wait_ms = numbers
    return admission_settings.AdmissionSettings(
        max_connections, stall_ms, progress_bytes, room_wait_ms, share
    )


def _memory_bytes(reader: _Reader) -> float:
    default_mb = admission_settings.DEFAULT_MEMORY_BYTES / BYTES_PER_MB
    memory_mb = reader.number("limits", "memory_mb", default=default_mb)
    return memory_mb * BYTES_PER_MB


def _read_call_times(reader: _Reader) -> freshness.CallTimes:
    """Return the times of calls that the platform's bounds lead to."""
    contact_ms = reader.number(
        "bounds", "contact_ms", default=freshness.DEFAULT_CONTACT_MS
    )
    reads_per_s = reader.number(
        "platform", "reads_per_s", default=freshness.DEFAULT_READS_PER_S
    )
    return freshness.find_call_times(
        max(contact_ms, MIN_CONTACT_MS), reads_per_s
    )


def _read_heartbeat_ms(reader: _Reader) -> int:
    """Return how often upstreams register anew."""
    heartbeat_ms = reader.number(
        "heartbeat_ms", default=upstreams.DEFAULT_HEARTBEAT_MS
    )
    if heartbeat_ms > untrusted.MAX_DURATION_MS:
        reader.add_error(
            ("heartbeat_ms",),
            f"a number up to {untrusted.MAX_DURATION_MS} is expected",
        )
        return upstreams.DEFAULT_HEARTBEAT_MS
    return int(heartbeat_ms)


def _bound_ms(reader: _Reader, name: str, default: float) -> int:
    """Return a field of the `bounds` table, given in seconds, in ms."""
    return int(reader.number("bounds", name, default=default) * 1_000)
