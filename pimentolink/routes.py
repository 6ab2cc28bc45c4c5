"""Routes: map callers' requests to services, with timeouts and other limits."""

from __future__ import annotations

import enum
from random import Random
from typing import NamedTuple

from result import Err, Ok, Result

from pimentolink.apikeys import ApiKeys
from pimentolink.errors import NoConfiguration, RouteUnknown


class Repeatability(enum.Enum):
    """Whether a request may be sent again once a target may have executed it."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class WeightedService(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """
    Requests to one host below one path prefix, and how they are handled.

    :ivar services: services that receive the requests; more than one during a traffic
        split.
    :ivar repeatability: whether a request may be repeated.
    :ivar is_stream: whether the response is an event stream.
    :ivar is_resumable: whether a broken stream may be resumed at another target.
    :ivar is_generation: whether inference engines generate the response.
    :ivar timeout: seconds after which the caller gets a final response.
    :ivar latency_target: seconds within which a response has its full value; for a
        stream, the time to its first event.
    :ivar max_targets: number of targets that one request may be sent to.
    :ivar priority: 0 is the most urgent.
    :ivar needs_key: whether callers must present an API key, if the configuration has
        any keys.
    """

    name: str
    host: str
    prefix: str
    services: tuple[WeightedService, ...]
    repeatability: Repeatability
    is_stream: bool
    is_resumable: bool
    is_generation: bool
    timeout: float
    latency_target: float
    max_targets: int
    priority: int
    needs_key: bool = True

    def pick_service(self, random: Random) -> str:
        """
        Pick the service for one request by weight.

        :param random: seeded random generator.
        """
        if len(self.services) == 1:
            return self.services[0].service
        weights = [item.weight for item in self.services]
        return random.choices(self.services, weights)[0].service


class EngineModel(NamedTuple):
    """
    Properties of the engines of a service.

    :ivar cache_tokens: capacity of an engine's prefix cache in tokens.
    :ivar switch_time: seconds that a change of role takes.
    :ivar copy_rate: transfer rate of KV cache between two engines, in tokens per
        second.
    """

    cache_tokens: int
    switch_time: float
    copy_rate: float


class Service(NamedTuple):
    """
    A group of targets that serve the same requests.

    :ivar max_connections: connections that one target accepts from all gateways
        together.
    :ivar engine: properties of the engines; ``None`` if the targets are no inference
        engines.
    """

    name: str
    max_connections: int
    engine: EngineModel | None


class CallerBounds(NamedTuple):
    """
    Limits on the size and duration of callers' requests.

    :ivar head_bytes: maximum size of a request's head.
    :ivar body_bytes: maximum size of a request's body.
    :ivar head_time: seconds within which a request's head must arrive.
    :ivar idle_time: seconds that a connection may stay unused.
    """

    head_bytes: int
    body_bytes: int
    head_time: float
    idle_time: float


class RoutingTable:
    """One version of the operators' configuration."""

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: list[Service],
        bounds: CallerBounds | None,
        api_keys: ApiKeys | None = None,
    ) -> None:
        """
        Build the indexes of routes and services.

        :param version: version number; increases with each change.
        :param routes: routes in any order.
        :param services: services that the routes refer to.
        :param bounds: limits on callers; ``None`` if the configuration has none.
        :param api_keys: API keys of organisations; ``None`` if callers need no key.
        """
        self.version = version
        self.bounds = bounds
        self.api_keys = api_keys
        self.services_by_name = {service.name: service for service in services}
        self.routes_by_name = {route.name: route for route in routes}
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> Result[Route, RouteUnknown]:
        """
        Find the route with the longest matching prefix.

        :param host: host that the caller named.
        :param path: path with or without a query.
        """
        routes_by_prefix = self._routes_by_host.get(host.lower(), {})
        bare_path = path.partition("?")[0]
        end = len(bare_path)
        while (end := bare_path.rfind("/", 0, end)) >= 0:
            route = routes_by_prefix.get(bare_path[: end + 1])
            if route is not None:
                return Ok(route)
        return Err(RouteUnknown("no route matches host and path"))


class RoutingTables:
    """
    Holds the current routing table.

    Ensures that its version never decreases while the process runs.

    :ivar table: the current table; ``None`` before the first one has arrived.
    :ivar adopted_at: when the current table was adopted, in seconds of the timer
        service.
    """

    def __init__(self) -> None:
        """Create a holder without a table."""
        self.table: RoutingTable | None = None
        self.adopted_at = 0.0

    def offer(self, table: RoutingTable, now: float) -> bool:
        """
        Replace the current table if the given one is newer.

        :param table: the table to adopt.
        :param now: time of the timer service in seconds.
        :returns: whether the table was replaced.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.adopted_at = now
        return True

    @property
    def version(self) -> int:
        """Version of the current table; 0 before the first one has arrived."""
        return self.table.version if self.table is not None else 0

    def current(self) -> Result[RoutingTable, NoConfiguration]:
        """Return the current table; an error before the first one has arrived."""
        if self.table is None:
            return Err(NoConfiguration("none has arrived yet", 0.5))
        return Ok(self.table)
