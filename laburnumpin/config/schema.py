"""Schema of the deployment document, as sections of options."""

from __future__ import annotations

from collections.abc import KeysView

from laburnumpin.config import options
from laburnumpin.config import problems
from laburnumpin.config import sections
from laburnumpin.core import deployment


class Zone(sections.Section):
    """A zone in which VMs run."""

    __slots__ = ()

    data_center = options.Name("Data centre that contains the zone.")
    region = options.Name("Region that contains the data centre.")


class Operation(sections.Section):
    """An operation of a service."""

    __slots__ = ()

    idempotent = options.Flag(
        "Whether a request may run more than once. A non-idempotent request "
        "is claimed in the table service before it is sent, and runs at most "
        "once.",
        default=True,
    )
    priority = options.Choice(
        tuple(priority.value for priority in deployment.Priority),
        "Scheduling class of requests without `X-Priority` header.",
        default=deployment.Priority.BULK.value,
    )


class Service(sections.Section):
    """A service that upstreams offer."""

    __slots__ = ()

    kind = options.Choice(
        tuple(kind.value for kind in deployment.ServiceKind),
        "Whether the upstreams are model engines or plain services.",
    )
    operations = sections.MappingOf(
        sections.Nested(Operation), "Operations by name.", min_items=1
    )
    model = options.Text(
        "Model that the engines load; required for model services.",
        default="",
    )
    model_version = options.Text("Version of the model.", default="")
    adapters = sections.ListOf(
        options.Text(min_length=1),
        "Adapters that the engines load in addition to the model.",
        default=[],
        unique=True,
    )
    checks_fencing = options.Flag(
        "Whether the engines reject orders with a stale fencing token.",
        default=False,
    )

    def check_fields(self, path: str, errors: problems.Errors) -> None:
        """Append errors of model fields: missing, or on a plain service."""
        if not self.has("kind"):
            return
        if self.kind == deployment.ServiceKind.MODEL.value:
            self._check_model(path, errors)
            return
        for name in ("model", "model_version", "adapters", "checks_fencing"):
            if not self.has(name) or not self.value(name):
                continue
            problems.add_error(
                errors,
                problems.field_path(path, name),
                problems.Code.NOT_APPLICABLE,
                "applies to model services only",
            )

    def _check_model(self, path: str, errors: problems.Errors) -> None:
        if self.has("model") and not self.model:
            problems.add_error(
                errors,
                problems.field_path(path, "model"),
                problems.Code.REQUIRED,
                "a model service needs a model",
            )


class Customer(sections.Section):
    """A customer, with keys, weight and limits."""

    __slots__ = ()

    key_hashes = sections.ListOf(
        options.KeyHash(),
        "SHA-256 digests of the keys; more than one during a key rotation.",
        min_items=1,
    )
    weight = options.Number(
        "Share of the capacity under contention, relative to the other "
        "customers.",
        default=1.0,
        minimum=0.001,
        maximum=1_000.0,
    )
    rate_tokens_per_s = options.Integer(
        "Maximum token rate over all entries; prompt and output tokens count.",
        default=1_000_000,
        minimum=1,
    )
    max_queued_requests = options.Integer(
        "Maximum number of requests that wait at one entry.",
        default=1_000,
        minimum=1,
        maximum=1_000_000,
    )


class Placement(sections.Section):
    """A zone and VM class for a service, with VM limits, price and capacity."""

    __slots__ = ()

    service = options.Name("Service that the VMs offer.")
    zone = options.Name("Zone of the VMs.")
    vm_class = options.Name("VM class of the platform.", dotted=True)
    reclaimable = options.Flag("Whether the platform may reclaim the VMs.")
    min_vms = options.Integer(
        "Minimum number of VMs, which run even without demand.", maximum=100_000
    )
    max_vms = options.Integer(
        "Maximum number of VMs.", minimum=1, maximum=100_000
    )
    price_per_hour = options.Number(
        "Price of one VM per hour; applies unless the platform reports one.",
        maximum=1_000_000.0,
    )
    slots = options.Integer(
        "Requests that one VM runs concurrently.", minimum=1, maximum=100_000
    )
    prefill_tokens_per_s = options.Integer(
        "Prompt tokens that one VM computes per second.",
        default=8_000,
        minimum=1,
    )
    decode_tokens_per_s = options.Integer(
        "Output tokens that one VM computes per second, over all requests.",
        default=2_000,
        minimum=1,
    )

    def check_fields(self, path: str, errors: problems.Errors) -> None:
        """Append an error if the minimum exceeds the maximum."""
        if not self.has("min_vms", "max_vms"):
            return
        if self.min_vms <= self.max_vms:
            return
        problems.add_error(
            errors,
            problems.field_path(path, "min_vms"),
            problems.Code.INCONSISTENT,
            f"{self.min_vms} exceeds max_vms, which is {self.max_vms}",
        )


class Policy(sections.Section):
    """Targets, weights and shares for routing, queueing and retries."""

    __slots__ = ()

    first_token_target_ms = options.Integer(
        "Target for the time to first token, 95th percentile.",
        default=1_200,
        minimum=1,
        maximum=3_600_000,
    )
    inter_token_target_ms = options.Integer(
        "Target for the inter-token latency, 95th percentile.",
        default=36,
        minimum=1,
        maximum=3_600_000,
    )
    cost_weight = options.Number(
        "Weight of cost at the latency target.",
        default=1.0,
        maximum=1_000.0,
    )
    recompute_weight = options.Number(
        "Weight of recomputed tokens, in milliseconds per token.",
        default=1.0,
        maximum=1_000.0,
    )
    bulk_share = options.Number(
        "Share of the dispatched tokens that is reserved for bulk requests "
        "while any waits.",
        default=0.2,
        maximum=0.9,
    )
    retry_share = options.Number(
        "Retries permitted per first attempt.", default=0.1, maximum=1.0
    )

    def check_fields(self, path: str, errors: problems.Errors) -> None:
        """Append an error if both weights of the objective are 0."""
        if not self.has("cost_weight", "recompute_weight"):
            return
        if self.cost_weight or self.recompute_weight:
            return
        problems.add_error(
            errors,
            problems.field_path(path, "cost_weight"),
            problems.Code.INCONSISTENT,
            "cost_weight and recompute_weight must not both be 0",
        )


_DEFAULT_POLICY = sections.check_section(Policy, {}, "policy", [])


class Deployment(sections.Section):
    """The complete configuration of a deployment."""

    __slots__ = ()

    name = options.Name("Name of the deployment.")
    entry_count = options.Integer(
        "Expected number of entries; every customer's rate must leave each "
        "of them at least one token per second.",
        default=1,
        minimum=1,
        maximum=100_000,
    )
    zones = sections.MappingOf(
        sections.Nested(Zone), "Zones by name.", min_items=1
    )
    services = sections.MappingOf(
        sections.Nested(Service), "Services by name.", min_items=1
    )
    customers = sections.MappingOf(
        sections.Nested(Customer), "Customers by name.", default={}
    )
    placements = sections.ListOf(
        sections.Nested(Placement), "Placements; each service needs one."
    )
    policy = sections.Nested(
        Policy, "Targets, weights and shares.", default=_DEFAULT_POLICY
    )

    def check_fields(self, path: str, errors: problems.Errors) -> None:
        """Append the errors of relations between sections."""
        self._check_data_centers(path, errors)
        self._check_references(path, errors)
        self._check_placements(path, errors)
        self._check_key_hashes(path, errors)
        self._check_rates(path, errors)

    def _check_data_centers(self, path: str, errors: problems.Errors) -> None:
        if not self.has("zones"):
            return
        regions: dict[str, str] = {}
        for name, zone in self.zones.items():
            if not zone.has("data_center", "region"):
                continue
            region = regions.setdefault(zone.data_center, zone.region)
            if region == zone.region:
                continue
            problems.add_error(
                errors,
                f"{problems.field_path(path, 'zones')}.{name}.region",
                problems.Code.INCONSISTENT,
                f"an earlier zone places data centre {zone.data_center!r} "
                f"in region {region!r}",
            )

    def _check_references(self, path: str, errors: problems.Errors) -> None:
        if not self.has("placements"):
            return
        for field, section in (("service", "services"), ("zone", "zones")):
            if not self.has(section):
                continue
            declared = self.services if section == "services" else self.zones
            self._check_reference(path, field, declared.keys(), errors)

    def _check_reference(
        self,
        path: str,
        field: str,
        declared_names: KeysView[str],
        errors: problems.Errors,
    ) -> None:
        for index, placement in enumerate(self.placements):
            if not placement.has(field):
                continue
            name = str(placement.value(field))
            if name in declared_names:
                continue
            hint = problems.suggestion(name, declared_names, errors)
            problems.add_error(
                errors,
                f"{problems.field_path(path, 'placements')}[{index}].{field}",
                problems.Code.UNKNOWN_REFERENCE,
                f"there is no {field} {name!r}{hint}",
            )

    def _check_placements(self, path: str, errors: problems.Errors) -> None:
        if not self.has("placements"):
            return
        key = ("service", "zone", "vm_class", "reclaimable")
        seen_placements: set[tuple[object, ...]] = set()
        placed_services: set[str] = set()
        for index, placement in enumerate(self.placements):
            if placement.has("service"):
                placed_services.add(placement.service)
            if not placement.has(*key):
                continue
            identity = tuple(placement.value(name) for name in key)
            if identity in seen_placements:
                problems.add_error(
                    errors,
                    f"{problems.field_path(path, 'placements')}[{index}]",
                    problems.Code.DUPLICATE,
                    "an earlier placement has the same service, zone, VM "
                    "class and reclaimability",
                )
            seen_placements.add(identity)
        self._check_services_placed(path, placed_services, errors)

    def _check_services_placed(
        self, path: str, placed_services: set[str], errors: problems.Errors
    ) -> None:
        if not self.has("services"):
            return
        for name in self.services:
            if name in placed_services:
                continue
            problems.add_error(
                errors,
                f"{problems.field_path(path, 'services')}.{name}",
                problems.Code.NO_PLACEMENT,
                "no placement names this service",
            )

    def _check_key_hashes(self, path: str, errors: problems.Errors) -> None:
        if not self.has("customers"):
            return
        customer_by_hash: dict[str, str] = {}
        section = problems.field_path(path, "customers")
        for name, customer in self.customers.items():
            if not customer.has("key_hashes"):
                continue
            for index, key_hash in enumerate(customer.key_hashes):
                if key_hash in customer_by_hash:
                    problems.add_error(
                        errors,
                        f"{section}.{name}.key_hashes[{index}]",
                        problems.Code.DUPLICATE,
                        "the same key belongs to "
                        f"{customer_by_hash[key_hash]!r}",
                    )
                customer_by_hash.setdefault(key_hash, name)

    def _check_rates(self, path: str, errors: problems.Errors) -> None:
        if not self.has("customers", "entry_count"):
            return
        for name, customer in self.customers.items():
            if not customer.has("rate_tokens_per_s"):
                continue
            if customer.rate_tokens_per_s >= self.entry_count:
                continue
            section = problems.field_path(path, "customers")
            problems.add_error(
                errors,
                f"{section}.{name}.rate_tokens_per_s",
                problems.Code.INCONSISTENT,
                f"is less than one token per second for each of the "
                f"{self.entry_count} entries",
            )
