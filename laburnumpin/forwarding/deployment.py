"""The operators' configuration of request forwarding, as immutable data."""

from __future__ import annotations

from collections.abc import Generator
import dataclasses
import random


@dataclasses.dataclass(slots=True, frozen=True)
class Split:
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """How requests of one host and path prefix are handled.

    `may_repeat` allows sending a request again that may have run already, and
    `anonymous` requests without an API key. `objective_ms` is the latency
    objective of the first byte, `gap_objective_ms` that of the pause between
    two events of a stream, 0 when the route declares none. `priority` 0 is the
    most urgent.
    """

    name: str
    host: str
    path_prefix: str
    is_stream: bool
    may_repeat: bool
    timeout_ms: int
    objective_ms: int
    gap_objective_ms: int
    priority: int
    splits: tuple[Split, ...]
    max_attempts: int
    anonymous: bool

    def choose_service(self, generator: random.Random) -> str:
        """Return the service of one request, drawn by weight."""
        if len(self.splits) == 1:
            return self.splits[0].service
        weights = [split.weight for split in self.splits]
        return generator.choices(self.splits, weights)[0].service


@dataclasses.dataclass(slots=True, frozen=True)
class EngineProfile:
    """Properties of a service's model engines.

    `slots` is the number of concurrent streams of an engine; with
    `moves_streams` an engine can hand a running stream over to another one.
    """

    slots: int
    moves_streams: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Autoscaling:
    """Limits and prices of the upstreams of a service, each per zone.

    `boot_ms` is the time from an order to a ready upstream. `price_by_zone`
    compares the zones. `reclaimable_price_share` is the price of a reclaimable
    upstream as a share of the on-demand price; 1.0 when the service has no
    reclaimable upstreams.
    """

    min_per_zone: int
    max_per_zone: int
    boot_ms: int
    reclaimable_price_share: float
    price_by_zone: dict[str, float]


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A named kind of upstream; `engine` is None for a plain service.

    `max_connections` is the number of connections that one upstream accepts
    from all entries together. An upstream says who it is at `identity_path`;
    empty if it doesn't.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None
    autoscaling: Autoscaling | None
    identity_path: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Customer:
    """A customer's API keys, priority and quota.

    `priority` None leaves it to the route. `rate_per_s` and `burst` are in
    units: requests, or tokens with `counts_tokens`, where a request without a
    token count counts as `plain_tokens`. A rate of 0 means no limit.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    counts_tokens: bool
    plain_tokens: int
    rate_per_s: float
    burst: float


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on the size and the time of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 15_000


class Deployment:
    """One version of the configuration."""

    __slots__ = (
        "_by_key",
        "_by_prefix",
        "customers",
        "limits",
        "routes",
        "services",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, Service],
        customers: dict[str, Customer],
        limits: CallerLimits,
        *,
        index_now: bool = True,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.customers = customers
        self.limits = limits
        self._by_prefix: dict[str, dict[str, Route]] = {}
        self._by_key: dict[str, Customer] = {}
        if index_now:
            for _ in self.index_steps():
                pass

    def index_steps(self) -> Generator[None, None, None]:
        """Build the lookup tables; yields after each entry."""
        for route in self.routes:
            routes_of_host = self._by_prefix.setdefault(route.host, {})
            routes_of_host[route.path_prefix] = route
            yield
        for customer in self.customers.values():
            for key in customer.keys:
                self._by_key[key] = customer
                yield

    def lookup_entries(self) -> list[dict[str, Route]]:
        """Return the tables of the hosts."""
        return list(self._by_prefix.values())

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, if any.

        Prefixes begin and end with a slash, so only the parts of `path` that
        end with a slash are looked up.
        """
        routes_of_host = self._by_prefix.get(host)
        if routes_of_host is None:
            return None
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = routes_of_host.get(path[: end + 1])
            if route is not None:
                return route

    def customer_of(self, key: str) -> Customer | None:
        """Return the customer with an API key, if any."""
        return self._by_key.get(key)


def build_steps(
    version: int,
    routes: tuple[Route, ...],
    services: dict[str, Service],
    customers: dict[str, Customer],
    limits: CallerLimits,
) -> Generator[None, None, Deployment]:
    """Return a complete configuration; yields where it may pause."""
    built = Deployment(
        version, routes, services, customers, limits, index_now=False
    )
    yield from built.index_steps()
    return built
