"""Reads the platform's documents: the configuration and the entries of targets."""

from __future__ import annotations

import math
import re
from typing import Annotated, Literal

import msgspec
from result import Err, Ok, Result

from pimentolink.apikeys import ApiKeys, Organisation, index_keys
from pimentolink.errors import DocumentInvalid
from pimentolink.jsondocument import read_json
from pimentolink.routes import (
    CallerBounds,
    EngineModel,
    Repeatability,
    Route,
    RoutingTable,
    Service,
    WeightedService,
)
from pimentolink.settings import Address
from pimentolink.targetestimate import EngineRole, Target

CONFIGURATION_KEY = "op/config"
TARGET_PREFIX = "servers/"

_IDEMPOTENT = "idempotent"
_STREAMING = "streaming"
_LEAVING = "draining"
_ROLES = {"prefill": EngineRole.PREFILL, "decode": EngineRole.DECODE}


_Share = Annotated[float, msgspec.Meta(ge=0)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=0)]
_HeaderWord = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,200}\Z")]
# A target's name goes into a header as one word.
_TARGET_ID = re.compile(r"[!-~]{1,200}")


class _Backend(msgspec.Struct):
    service: str
    weight: _Share


class _Route(msgspec.Struct, rename="camel"):
    """
    A route as the operator writes it.

    :ivar sticky: marks the routes whose requests carry a prompt.
    :ivar target_latency_ms: time within which an answer earns its full worth.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 5
    max_attempts: int = 1
    service: str = ""
    weighted_backends: list[_Backend] = []
    sticky: bool = False
    resumable: bool = False
    skip_auth: bool = False


class _Engine(msgspec.Struct, rename="camel"):
    kv_tokens: int
    role_switch_s: float = 3.0
    kv_bytes: float = 20_000.0
    link_mbps: float = 100_000.0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_connections: int = 64
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct, rename="camel"):
    """
    An organisation.

    :ivar priority: of its requests, before that of their route.
    """

    name: _HeaderWord
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct, rename="camel"):
    """
    All that operators state.

    :ivar tenants: absent or empty if callers need no API keys.
    """

    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits | None = None
    tenants: list[_Tenant] = []


class _Server(msgspec.Struct, rename="camel"):
    """
    What an engine registers.

    Whoever else writes here leaves fields out or fills them otherwise; such an entry
    names no engine.

    :ivar phase: role of a model's engine; absent for other services.
    :ivar born: when it started, in Unix milliseconds; a restart may keep its name.
    """

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: Address
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    phase: Literal["prefill", "decode"] | None = None
    born: _Milliseconds = 0


def _leads_nowhere(route: _Route) -> bool:
    """Tell whether none of the services that share a route has a share."""
    shares = [item.weight for item in route.weighted_backends]
    return bool(shares) and not 0 < sum(shares) < math.inf


def _route_of(found: _Route) -> Route:
    services = tuple(
        WeightedService(item.service, item.weight) for item in found.weighted_backends
    )
    is_stream = found.kind == _STREAMING
    may_repeat = found.kind == _IDEMPOTENT or (is_stream and found.resumable)
    return Route(
        name=found.name,
        host=found.host.lower(),
        prefix=found.prefix,
        services=services or (WeightedService(found.service, 1.0),),
        repeatability=Repeatability.IDEMPOTENT if may_repeat else Repeatability.ONCE,
        is_stream=is_stream,
        is_resumable=found.resumable,
        is_generation=found.sticky,
        timeout=found.timeout_ms / 1000,
        latency_target=found.target_latency_ms / 1000,
        max_targets=max(1, found.max_attempts),
        priority=found.priority,
        needs_key=not found.skip_auth,
    )


def _api_keys_of(tenants: list[_Tenant]) -> ApiKeys | None:
    if not tenants:
        return None
    return index_keys(
        (Organisation(tenant.name, tenant.priority), tenant.api_keys)
        for tenant in tenants
    )


def _copy_rate(engine: _Engine) -> float:
    """Tell the tokens a second that go over the link between two engines."""
    bytes_a_second = engine.link_mbps * 1e6 / 8
    return max(1.0, bytes_a_second / max(1.0, engine.kv_bytes))


def _service_of(found: _Service) -> Service:
    engine = found.engine
    model = None
    if engine is not None:
        model = EngineModel(
            cache_tokens=engine.kv_tokens,
            switch_time=engine.role_switch_s,
            copy_rate=_copy_rate(engine),
        )
    return Service(found.name, found.max_connections, model)


def _bounds_of(found: _Limits | None) -> CallerBounds | None:
    if found is None:
        return None
    return CallerBounds(
        head_bytes=found.max_header_bytes,
        body_bytes=found.max_body_bytes,
        head_time=found.header_timeout_ms / 1000,
        idle_time=found.idle_timeout_ms / 1000,
    )


class PlatformDocuments:
    """Reads the documents that lie in the platform's store."""

    configuration_key = CONFIGURATION_KEY
    target_prefix = TARGET_PREFIX

    def read_configuration(
        self, document: bytes
    ) -> Result[RoutingTable, DocumentInvalid]:
        """
        Read the operators' configuration.

        :param document: value of ``CONFIGURATION_KEY``.
        """
        read = read_json(document, _Configuration)
        if isinstance(read, Err):
            return read
        found = read.ok_value
        for route in found.routes:
            if _leads_nowhere(route):
                return Err(DocumentInvalid(f"route {route.name}: no service"))
        routes = [_route_of(item) for item in found.routes]
        services = [_service_of(item) for item in found.services]
        bounds = _bounds_of(found.limits)
        api_keys = _api_keys_of(found.tenants)
        return Ok(RoutingTable(found.version, routes, services, bounds, api_keys))

    def read_target(self, key: str, document: bytes) -> Result[Target, DocumentInvalid]:
        """
        Read the entry of a target.

        :param key: begins with ``TARGET_PREFIX``; the rest is the target's name.
        :param document: the entry.
        """
        target_id = key.removeprefix(TARGET_PREFIX)
        if _TARGET_ID.fullmatch(target_id) is None:
            return Err(DocumentInvalid(f"{key!r} does not fit into a header"))
        read = read_json(document, _Server)
        if isinstance(read, Err):
            return Err(DocumentInvalid(f"{key}: {read.err_value.detail}"))
        found = read.ok_value
        return Ok(
            Target(
                target_id=target_id,
                service=found.service,
                address=found.address,
                data_centre=found.zone,
                slots=found.slots,
                is_leaving=found.state == _LEAVING,
                role=_ROLES.get(found.phase or "", EngineRole.NONE),
                born=found.born,
            )
        )
