"""Settings of an entry process, from flags and environment variables."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses

from laburnumpin import exceptions
from laburnumpin.config import addresses
from laburnumpin.config import options
from laburnumpin.config import problems
from laburnumpin.config import sections

ENVIRONMENT_PREFIX = "LABURNUMPIN_"
# Variables of the command-line client; an entry ignores them.
CLIENT_VARIABLES = ("LABURNUMPIN_URL", "LABURNUMPIN_CUSTOMER_KEY")
MIN_SECRET_CHARACTERS = 16
UNSPECIFIED_HOSTS = ("0.0.0.0", "::")
LOG_LEVELS = ("debug", "info", "warning", "error")


class EntrySettings(sections.Section):
    """Settings of `laburnumpin entry run`."""

    __slots__ = ()

    vm_id = options.Name("Platform id of the VM that runs the entry.")
    zone = options.Name("Zone of the VM, as named in the configuration.")
    caller_host = addresses.IpAddress(
        "IP address at which the caller API listens.", default="127.0.0.1"
    )
    caller_port = options.Integer(
        "Port of the caller API; 0 chooses a free port.",
        default=7001,
        maximum=65_535,
    )
    operator_host = addresses.IpAddress(
        "IP address at which the operator API listens.", default="127.0.0.1"
    )
    operator_port = options.Integer(
        "Port of the operator API; 0 chooses a free port.",
        default=7002,
        maximum=65_535,
    )
    peer_host = addresses.IpAddress(
        "IP address at which the peer link listens.", default="127.0.0.1"
    )
    peer_port = options.Integer(
        "Port of the peer link; 0 chooses a free port.",
        default=7003,
        maximum=65_535,
    )
    advertised_peer_address = addresses.Address(
        "Address at which other entries reach the peer link; without it, "
        "the address at which the peer link listens.",
        default="",
    )
    platform_url = addresses.Url("Base URL of the platform.")
    platform_token = options.SecretText("Bearer token for the platform.")
    operator_key = options.SecretText(
        "Bearer key that operators present to the operator API.",
        min_length=MIN_SECRET_CHARACTERS,
    )
    peer_secret = options.SecretText(
        "Secret that all entries share and present on the peer link.",
        min_length=MIN_SECRET_CHARACTERS,
    )
    seed_peers = sections.ListOf(
        addresses.Address(),
        "Peer addresses to connect to while no other entry is known; the flag "
        "and the variable separate them with commas.",
        default=[],
        unique=True,
    )
    log_level = options.Choice(
        LOG_LEVELS, "Lowest level of the messages to log.", default="info"
    )
    max_upstream_connections = options.Integer(
        "Maximum number of connections to all upstreams together; connections "
        "that load polls reuse have a separate limit of the same number.",
        default=2_000,
        minimum=1,
        maximum=60_000,
    )
    connect_timeout_ms = options.Integer(
        "Time within which a connection to an upstream must be established.",
        default=1_000,
        minimum=10,
        maximum=60_000,
    )

    def check_fields(self, path: str, errors: problems.Errors) -> None:
        """Append errors of ports, addresses and secrets that conflict."""
        self._check_ports(path, errors)
        self._check_advertised_address(path, errors)
        self._check_secrets(path, errors)

    def _check_ports(self, path: str, errors: problems.Errors) -> None:
        setting_by_endpoint: dict[tuple[str, int], str] = {}
        for name in ("caller", "operator", "peer"):
            host_name, port_name = f"{name}_host", f"{name}_port"
            if not self.has(host_name, port_name):
                continue
            port = int(str(self.value(port_name)))
            if port == 0:
                continue
            key = (str(self.value(host_name)), port)
            if key in setting_by_endpoint:
                problems.add_error(
                    errors,
                    problems.field_path(path, port_name),
                    problems.Code.DUPLICATE,
                    f"{setting_by_endpoint[key]} has the same address and port",
                )
            setting_by_endpoint.setdefault(key, port_name)

    def _check_advertised_address(
        self, path: str, errors: problems.Errors
    ) -> None:
        if not self.has("peer_host", "advertised_peer_address"):
            return
        if self.peer_host not in UNSPECIFIED_HOSTS:
            return
        if self.advertised_peer_address:
            return
        problems.add_error(
            errors,
            problems.field_path(path, "advertised_peer_address"),
            problems.Code.REQUIRED,
            f"is required when peer_host is {self.peer_host}",
        )

    def _check_secrets(self, path: str, errors: problems.Errors) -> None:
        names = ("platform_token", "operator_key", "peer_secret")
        setting_by_secret: dict[str, str] = {}
        for name in names:
            if not self.has(name):
                continue
            secret = self.value(name)
            if not isinstance(secret, options.Secret):
                continue
            if secret.reveal() in setting_by_secret:
                problems.add_error(
                    errors,
                    problems.field_path(path, name),
                    problems.Code.DUPLICATE,
                    f"must differ from {setting_by_secret[secret.reveal()]}",
                )
            setting_by_secret.setdefault(secret.reveal(), name)


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """Checked settings of an entry; `repr` redacts the secrets."""

    vm_id: str
    zone: str
    platform_url: str
    platform_token: options.Secret
    operator_key: options.Secret
    peer_secret: options.Secret
    caller_host: str = "127.0.0.1"
    caller_port: int = 7001
    operator_host: str = "127.0.0.1"
    operator_port: int = 7002
    peer_host: str = "127.0.0.1"
    peer_port: int = 7003
    advertised_peer_address: str = ""
    seed_peers: tuple[str, ...] = ()
    log_level: str = "info"
    max_upstream_connections: int = 2_000
    connect_timeout_ms: int = 1_000


def variable_name(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + name.upper()


def flag_name(name: str) -> str:
    """Return the command-line flag of a setting."""
    return "--" + name.replace("_", "-")


def is_secret(name: str) -> bool:
    """Return whether a setting is read from the environment only.

    The command line of a process is visible to other users of its VM.
    """
    option = EntrySettings.options()[name]
    return isinstance(option, options.SecretText)


def load(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> Settings:
    """Return the checked settings; a flag takes precedence over its variable.

    `flags` maps names of settings to their texts on the command line, or None.

    Raises:
        ConfigurationError: Settings are invalid; lists every problem.
    """
    errors: problems.Errors = []
    _check_variable_names(environment, errors)
    raw: dict[str, object] = {}
    for name, option in EntrySettings.options().items():
        text = flags.get(name)
        if text is None:
            text = environment.get(variable_name(name))
        if text is not None:
            raw[name] = option.parse(text)
    section = sections.check_section(EntrySettings, raw, "", errors)
    if errors:
        raise exceptions.ConfigurationError(
            [_with_variable(error) for error in errors]
        )
    return _to_settings(section)


def _check_variable_names(
    environment: Mapping[str, str], errors: problems.Errors
) -> None:
    known_variables = [variable_name(name) for name in EntrySettings.options()]
    known_variables.extend(CLIENT_VARIABLES)
    for variable in environment:
        if (
            not variable.startswith(ENVIRONMENT_PREFIX)
            or variable in known_variables
        ):
            continue
        hint = problems.suggestion(variable, known_variables)
        problems.add_error(
            errors,
            variable,
            problems.Code.UNKNOWN_FIELD,
            f"there is no such setting{hint}",
        )


def _with_variable(error: exceptions.FieldError) -> exceptions.FieldError:
    if error.field.split("[")[0] not in EntrySettings.options():
        return error
    variable = variable_name(error.field.split("[")[0])
    message = f"{error.message} (variable {variable})"
    return exceptions.FieldError(error.field, error.code, message)


def _to_settings(section: EntrySettings) -> Settings:
    return Settings(
        vm_id=section.vm_id,
        zone=section.zone,
        platform_url=section.platform_url,
        platform_token=section.platform_token,
        operator_key=section.operator_key,
        peer_secret=section.peer_secret,
        caller_host=section.caller_host,
        caller_port=section.caller_port,
        operator_host=section.operator_host,
        operator_port=section.operator_port,
        peer_host=section.peer_host,
        peer_port=section.peer_port,
        advertised_peer_address=section.advertised_peer_address,
        seed_peers=tuple(section.seed_peers),
        log_level=section.log_level,
        max_upstream_connections=section.max_upstream_connections,
        connect_timeout_ms=section.connect_timeout_ms,
    )
