"""Typed options for network addresses."""

from __future__ import annotations

import ipaddress
import re
import urllib.parse

from laburnumpin.config import options
from laburnumpin.config import problems

_ADDRESS = re.compile(r"(?:\[([^\]]+)\]|([^:\[\]]+)):([0-9]{1,5})")


class IpAddress(options.Option[str]):
    """An IP address to listen on."""

    __slots__ = ()

    def convert(self, value: object) -> str:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, str):
            raise problems.wrong_type(self.describe(), value)
        try:
            return str(ipaddress.ip_address(value))
        except ValueError:
            message = f"{problems.printable(value)} is not an IP address"
            raise problems.RejectedValueError(
                problems.Code.MALFORMED, message
            ) from None

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return "IP address"


class Address(options.Option[str]):
    """An IP address with a port; IPv6 addresses are in brackets."""

    __slots__ = ()

    def convert(self, value: object) -> str:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, str):
            raise problems.wrong_type(self.describe(), value)
        match = _ADDRESS.fullmatch(value)
        if match is None or not self._is_valid(match):
            message = f"{problems.printable(value)} is not an {self.describe()}"
            raise problems.RejectedValueError(problems.Code.MALFORMED, message)
        return value

    @staticmethod
    def _is_valid(match: re.Match[str]) -> bool:
        try:
            if match.group(1) is not None:
                ipaddress.IPv6Address(match.group(1))
            else:
                ipaddress.IPv4Address(match.group(2))
        except ValueError:
            return False
        return 0 < int(match.group(3)) < 65_536

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return (
            "IP address and port, such as `10.0.0.1:7003` or `[fd00::1]:7003`"
        )


class Url(options.Option[str]):
    """The base URL of an HTTP service."""

    __slots__ = ()

    def convert(self, value: object) -> str:
        """Return the checked value, or raise `RejectedValueError`."""
        if not isinstance(value, str):
            raise problems.wrong_type(self.describe(), value)
        if options.VISIBLE_ASCII.fullmatch(value) is None or not self._is_base(
            value
        ):
            # The message omits the value, because a URL can contain a password.
            message = f"must be an {self.describe()}"
            raise problems.RejectedValueError(problems.Code.MALFORMED, message)
        return value.rstrip("/")

    @staticmethod
    def _is_base(value: str) -> bool:
        try:
            parts = urllib.parse.urlsplit(value)
            port = parts.port
        except ValueError:
            return False
        if parts.scheme not in ("http", "https") or not parts.hostname:
            return False
        if parts.username is not None or parts.query or parts.fragment:
            return False
        return port is None or port > 0

    def describe(self) -> str:
        """Return what the option accepts, for the reference."""
        return "HTTP or HTTPS URL without user, query and fragment"
