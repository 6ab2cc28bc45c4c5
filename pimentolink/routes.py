"""Routes: which targets a caller's request may go to, and under which limits."""

from __future__ import annotations

import enum
from random import Random
from typing import NamedTuple

from result import Err, Ok, Result

from pimentolink.apikeys import ApiKeys
from pimentolink.errors import NoConfiguration, RouteUnknown


class Repeatability(enum.Enum):
    """What may be repeated of a request once a target may have run it."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class WeightedService(NamedTuple):
    """A service with its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """
    Requests of one host below one path.

    :ivar services: where they go; more than one while a route is split.
    :ivar repeatability: what may be repeated.
    :ivar is_stream: whether the answer is a stream of events.
    :ivar is_resumable: whether a broken stream may go on at another target.
    :ivar is_generation: whether a model's engine answers.
    :ivar timeout: seconds after which the caller gets a final answer.
    :ivar latency_target: seconds within which an answer has its full worth; of a
        stream, until its first event.
    :ivar max_targets: targets that one request may be sent to.
    :ivar priority: 0 is the most urgent.
    :ivar needs_key: whether callers present an API key where the configuration has any.
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
        Pick the service of one request by weight.

        :param random: seeded source.
        """
        if len(self.services) == 1:
            return self.services[0].service
        weights = [item.weight for item in self.services]
        return random.choices(self.services, weights)[0].service


class EngineModel(NamedTuple):
    """
    What is told of a service's engines.

    :ivar cache_tokens: tokens that its memory holds.
    :ivar switch_time: seconds that a change of role takes.
    :ivar copy_rate: tokens a second that go over the link between two engines.
    """

    cache_tokens: int
    switch_time: float
    copy_rate: float


class Service(NamedTuple):
    """
    Targets that serve the same requests.

    :ivar max_connections: that one target takes from all gateways together.
    :ivar engine: for services of model engines.
    """

    name: str
    max_connections: int
    engine: EngineModel | None


class CallerBounds(NamedTuple):
    """
    What callers may send, and how long they may take.

    :ivar head_time: seconds that a request's head may take.
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
        Index the routes.

        :param version: rises with each change.
        :param routes: in any order.
        :param services: that they name.
        :param bounds: on callers; ``None`` if the configuration states none.
        :param api_keys: of organisations; ``None`` if callers need none.
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
        Find the route with the longest prefix.

        :param host: that the caller named.
        :param path: with or without a query.
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
    Holds the version in force.

    Guards that a version never reverts within one life of the process.
    """

    def __init__(self) -> None:
        """Start without a version."""
        self.table: RoutingTable | None = None

    def offer(self, table: RoutingTable) -> bool:
        """
        Take a table if it is newer.

        :returns: whether it is now in force.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True

    def current(self) -> Result[RoutingTable, NoConfiguration]:
        """Return the table in force."""
        if self.table is None:
            return Err(NoConfiguration("none has arrived yet", 0.5))
        return Ok(self.table)
