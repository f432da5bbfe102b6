"""Parsing and validation of configuration documents."""

from __future__ import annotations

import collections
import json
from typing import NoReturn

from laburnumpin import exceptions
from laburnumpin.config import problems
from laburnumpin.config import schema
from laburnumpin.config import sections
from laburnumpin.core import deployment

# At 8,100 changes per day, documents of this size take 24.6 KB/s of the budget
# of 26 KB/s for the control traffic of an entry.
MAX_DOCUMENT_BYTES = 262_144
MAX_NESTING = 16
# Bounds the size of responses to operators and of log messages.
MAX_ERRORS = 1_000
# The field of errors that concern the whole document.
DOCUMENT_FIELD = "document"


def load_document(document: str) -> deployment.Deployment:
    """Parse and check a JSON document and return its deployment.

    Raises:
        ConfigurationError: The document is invalid; lists every problem.
    """
    return check_value(parse_document(document))


def parse_document(document: str) -> object:
    """Return the JSON value of a document; check size, depth and keys.

    Raises:
        ConfigurationError: The document is too large, nested too deep or not
            JSON, or an object has duplicate keys.
    """
    size_bytes = len(document.encode("utf-8", "surrogatepass"))
    if size_bytes > MAX_DOCUMENT_BYTES:
        message = f"has {size_bytes} bytes; the limit is {MAX_DOCUMENT_BYTES}"
        raise _document_error(problems.Code.TOO_LARGE, message)
    duplicates: list[str] = []

    def to_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
        unique = dict(pairs)
        if len(unique) < len(pairs):
            counts = collections.Counter(key for key, _ in pairs)
            duplicates.extend(key for key in unique if counts[key] > 1)
        return unique

    try:
        value: object = json.loads(
            document,
            object_pairs_hook=to_object,
            parse_constant=_reject_constant,
        )
    except RecursionError:
        message = f"is nested more than {MAX_NESTING} levels deep"
        raise _document_error(problems.Code.TOO_DEEP, message) from None
    except ValueError as error:
        message = f"is not JSON: {error}"
        raise _document_error(problems.Code.MALFORMED, message) from None
    if _exceeds_depth(value, MAX_NESTING):
        message = f"is nested more than {MAX_NESTING} levels deep"
        raise _document_error(problems.Code.TOO_DEEP, message)
    if duplicates:
        errors = [_duplicate_key(key) for key in duplicates]
        raise exceptions.ConfigurationError(_truncate_errors(errors))
    return value


def check_value(value: object) -> deployment.Deployment:
    """Check a parsed document and return its deployment.

    Raises:
        ConfigurationError: The document is invalid; lists every problem.
    """
    errors: problems.Errors = []
    if not isinstance(value, dict):
        message = f"must be an object, not {problems.type_name(value)}"
        raise _document_error(problems.Code.WRONG_TYPE, message)
    section = sections.check_section(schema.Deployment, value, "", errors)
    if errors:
        raise exceptions.ConfigurationError(_truncate_errors(errors))
    return _to_deployment(section)


def _truncate_errors(errors: problems.Errors) -> problems.Errors:
    if len(errors) <= MAX_ERRORS:
        return errors
    reported = errors[:MAX_ERRORS]
    message = f"has {len(errors) - MAX_ERRORS} more problems"
    problems.add_error(
        reported, DOCUMENT_FIELD, problems.Code.TOO_MANY_ERRORS, message
    )
    return reported


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a JSON number")


def _document_error(
    code: problems.Code, message: str
) -> exceptions.ConfigurationError:
    errors: problems.Errors = []
    problems.add_error(errors, DOCUMENT_FIELD, code, message)
    return exceptions.ConfigurationError(errors)


def _duplicate_key(key: str) -> exceptions.FieldError:
    message = (
        f"the key {problems.printable(key)} appears more than once in an object"
    )
    return exceptions.FieldError(
        DOCUMENT_FIELD, problems.Code.DUPLICATE.value, message
    )


def _exceeds_depth(value: object, limit: int) -> bool:
    level = [value]
    for _ in range(limit + 1):
        next_level: list[object] = []
        for item in level:
            if isinstance(item, dict):
                next_level.extend(item.values())
            elif isinstance(item, list):
                next_level.extend(item)
        if not next_level:
            return False
        level = next_level
    return True


def _to_deployment(section: schema.Deployment) -> deployment.Deployment:
    return deployment.Deployment(
        name=section.name,
        zones={
            name: deployment.Zone(name, zone.data_center, zone.region)
            for name, zone in section.zones.items()
        },
        services={
            name: _to_service(name, service)
            for name, service in section.services.items()
        },
        customers={
            name: _to_customer(name, customer)
            for name, customer in section.customers.items()
        },
        placements=tuple(_to_placement(item) for item in section.placements),
        policy=_to_policy(section.policy),
        entry_count=section.entry_count,
    )


def _to_service(name: str, section: schema.Service) -> deployment.Service:
    operations = {
        operation_name: deployment.Operation(
            operation_name,
            operation.idempotent,
            deployment.Priority(operation.priority),
        )
        for operation_name, operation in section.operations.items()
    }
    return deployment.Service(
        name=name,
        kind=deployment.ServiceKind(section.kind),
        operations=operations,
        model=section.model,
        model_version=section.model_version,
        adapters=tuple(section.adapters),
        checks_fencing=section.checks_fencing,
    )


def _to_customer(name: str, section: schema.Customer) -> deployment.Customer:
    return deployment.Customer(
        name=name,
        key_hashes=tuple(section.key_hashes),
        weight=section.weight,
        rate_tokens_per_s=section.rate_tokens_per_s,
        max_queued_requests=section.max_queued_requests,
    )


def _to_placement(section: schema.Placement) -> deployment.Placement:
    return deployment.Placement(
        service=section.service,
        zone=section.zone,
        vm_class=section.vm_class,
        reclaimable=section.reclaimable,
        min_vms=section.min_vms,
        max_vms=section.max_vms,
        price_per_hour=section.price_per_hour,
        slots=section.slots,
        prefill_tokens_per_s=section.prefill_tokens_per_s,
        decode_tokens_per_s=section.decode_tokens_per_s,
    )


def _to_policy(section: schema.Policy) -> deployment.Policy:
    return deployment.Policy(
        first_token_target_ms=section.first_token_target_ms,
        inter_token_target_ms=section.inter_token_target_ms,
        cost_weight=section.cost_weight,
        recompute_weight=section.recompute_weight,
        bulk_share=section.bulk_share,
        retry_share=section.retry_share,
    )
