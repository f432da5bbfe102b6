"""Library for programs that generate a configuration document.

A program builds a `Deployment` and prints its document:

    rigsafe = operator.Deployment("rigsafe", entry_count=6)
    rigsafe.add_zone("kolkata", data_center="kolkata", region="bengal")
    ...
    rigsafe.print_document()

`laburnumpin config apply` takes the printed document.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import hashlib
import json
import sys

from laburnumpin import exceptions
from laburnumpin.commands import exits
from laburnumpin.config import loading
from laburnumpin.config import options
from laburnumpin.config import problems
from laburnumpin.core import deployment

INTERACTIVE = deployment.Priority.INTERACTIVE
BULK = deployment.Priority.BULK

MIN_KEY_CHARACTERS = 16


@dataclasses.dataclass(slots=True, frozen=True)
class Operation:
    """An operation of a service; `priority` is its default priority."""

    name: str
    idempotent: bool = True
    priority: deployment.Priority = BULK


def hash_key(key: str) -> str:
    """Return the SHA-256 hex digest of a key, as a configuration stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


class Deployment:
    """Builder of a configuration document.

    The methods record sections without raising errors; `document` and
    `print_document` report all problems together. Arguments left at None take
    the defaults of the configuration reference.
    """

    __slots__ = ("_errors", "_sections")

    def __init__(self, name: str, entry_count: int | None = None) -> None:
        self._errors: problems.Errors = []
        self._sections: dict[str, object] = _without_none(
            name=name, entry_count=entry_count
        )
        self._sections["placements"] = []

    def add_zone(self, name: str, *, data_center: str, region: str) -> None:
        """Add a zone."""
        self._add(
            "zones", name, _without_none(data_center=data_center, region=region)
        )

    def add_model_service(
        self,
        name: str,
        *,
        model: str,
        operations: Iterable[Operation],
        model_version: str | None = None,
        adapters: Iterable[str] | None = None,
        checks_fencing: bool | None = None,
    ) -> None:
        """Add a service of model engines."""
        service = _without_none(
            kind=deployment.ServiceKind.MODEL.value,
            model=model,
            model_version=model_version,
            adapters=None if adapters is None else list(adapters),
            checks_fencing=checks_fencing,
        )
        service["operations"] = self._operations(name, operations)
        self._add("services", name, service)

    def add_plain_service(
        self, name: str, *, operations: Iterable[Operation]
    ) -> None:
        """Add a plain service."""
        service = _without_none(kind=deployment.ServiceKind.PLAIN.value)
        service["operations"] = self._operations(name, operations)
        self._add("services", name, service)

    def add_customer(
        self,
        name: str,
        *,
        keys: Iterable[str] = (),
        key_hashes: Iterable[str] = (),
        weight: float | None = None,
        rate_tokens_per_s: int | None = None,
        max_queued_requests: int | None = None,
    ) -> None:
        """Add a customer with plain-text keys, digests of keys, or both.

        Only the digests are stored and printed.
        """
        customer = _without_none(
            weight=weight,
            rate_tokens_per_s=rate_tokens_per_s,
            max_queued_requests=max_queued_requests,
        )
        digests = self._hash_keys(name, keys)
        customer["key_hashes"] = digests + list(key_hashes)
        self._add("customers", name, customer)

    def add_placement(
        self,
        *,
        service: str,
        zone: str,
        vm_class: str,
        reclaimable: bool,
        min_vms: int,
        max_vms: int,
        price_per_hour: float,
        slots: int,
        prefill_tokens_per_s: int | None = None,
        decode_tokens_per_s: int | None = None,
    ) -> None:
        """Add a placement: a zone and VM class where a service may run."""
        placement = _without_none(
            service=service,
            zone=zone,
            vm_class=vm_class,
            reclaimable=reclaimable,
            min_vms=min_vms,
            max_vms=max_vms,
            price_per_hour=price_per_hour,
            slots=slots,
            prefill_tokens_per_s=prefill_tokens_per_s,
            decode_tokens_per_s=decode_tokens_per_s,
        )
        placements = self._sections["placements"]
        assert isinstance(placements, list)
        placements.append(placement)

    def set_policy(
        self,
        *,
        first_token_target_ms: int | None = None,
        inter_token_target_ms: int | None = None,
        cost_weight: float | None = None,
        recompute_weight: float | None = None,
        bulk_share: float | None = None,
        retry_share: float | None = None,
    ) -> None:
        """Set the latency targets, weights and shares of the policy."""
        if "policy" in self._sections:
            self._duplicate("policy")
        self._sections["policy"] = _without_none(
            first_token_target_ms=first_token_target_ms,
            inter_token_target_ms=inter_token_target_ms,
            cost_weight=cost_weight,
            recompute_weight=recompute_weight,
            bulk_share=bulk_share,
            retry_share=retry_share,
        )

    def document(self) -> str:
        """Return the configuration document.

        Equal deployments give equal documents, byte for byte.

        Raises:
            ConfigurationError: The deployment is invalid; lists every problem.
        """
        errors = list(self._errors)
        try:
            loading.check_value(self._sections)
        except exceptions.ConfigurationError as error:
            errors.extend(error.errors)
        if errors:
            raise exceptions.ConfigurationError(errors)
        text = json.dumps(self._sections, indent=1, sort_keys=True)
        loading.load_document(text)
        return text

    def print_document(self) -> None:
        """Print the document, or each problem to standard error.

        Raises:
            SystemExit: The deployment is invalid; the code is `Exit.INVALID`.
        """
        try:
            text = self.document()
        except exceptions.ConfigurationError as error:
            for problem in error.errors:
                print(problem, file=sys.stderr)
            raise SystemExit(exits.Exit.INVALID) from None
        print(text)

    def _add(self, section: str, name: str, fields: dict[str, object]) -> None:
        fields_by_name = self._sections.setdefault(section, {})
        assert isinstance(fields_by_name, dict)
        if name in fields_by_name:
            self._duplicate(problems.field_path(section, name))
            return
        fields_by_name[name] = fields

    def _duplicate(self, path: str) -> None:
        message = "is given more than once"
        problems.add_error(self._errors, path, problems.Code.DUPLICATE, message)

    def _operations(
        self, service: str, operations: Iterable[Operation]
    ) -> dict[str, object]:
        path = problems.field_path("services", service)
        options_by_name: dict[str, object] = {}
        for operation in operations:
            if operation.name in options_by_name:
                self._duplicate(
                    problems.field_path(f"{path}.operations", operation.name)
                )
            options_by_name[operation.name] = {
                "idempotent": operation.idempotent,
                "priority": operation.priority.value,
            }
        return options_by_name

    def _hash_keys(self, customer: str, keys: Iterable[str]) -> list[str]:
        path = problems.field_path("customers", customer)
        option = options.SecretText(min_length=MIN_KEY_CHARACTERS)
        digests: list[str] = []
        for index, key in enumerate(keys):
            secret = option.check(key, f"{path}.keys[{index}]", self._errors)
            if secret is not None:
                digests.append(hash_key(secret.reveal()))
        return digests


def _without_none(**fields: object) -> dict[str, object]:
    return {name: value for name, value in fields.items() if value is not None}
