"""Parses the documents in the platform's store: the configuration and the targets."""

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
_DRAINING = "draining"
_ROLES = {"prefill": EngineRole.PREFILL, "decode": EngineRole.DECODE}


_Weight = Annotated[float, msgspec.Meta(ge=0)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=0)]
_HeaderToken = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,200}\Z")]
# A target's name is sent as the value of a header.
_TARGET_ID = re.compile(r"[!-~]{1,200}")


class _Backend(msgspec.Struct):
    service: str
    weight: _Weight


class _Route(msgspec.Struct, rename="camel"):
    """
    A route of the operators' configuration.

    :ivar target_latency_ms: latency in milliseconds up to which a response has its full
        value.
    :ivar sticky: whether the route's requests carry a prompt.
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

    :ivar priority: of its requests; takes precedence over the priority of their route.
    """

    name: _HeaderToken
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct, rename="camel"):
    """
    The operators' configuration.

    :ivar tenants: organisations with their API keys; absent or empty if callers need no
        API key.
    """

    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits | None = None
    tenants: list[_Tenant] = []


class _TargetEntry(msgspec.Struct, rename="camel"):
    """
    Entry that a target registers.

    Other programs may write under the same prefix with missing or different fields;
    such an entry is not a target.

    :ivar phase: role of an engine that runs a model; absent for other services.
    :ivar born: when the target started, in Unix milliseconds, since a restarted target
        may keep its name.
    """

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: Address
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    phase: Literal["prefill", "decode"] | None = None
    born: _Milliseconds = 0


def _has_no_backend(route: _Route) -> bool:
    """Return whether the weights of a route's backends add up to zero or infinity."""
    weights = [item.weight for item in route.weighted_backends]
    return bool(weights) and not 0 < sum(weights) < math.inf


def _make_route(parsed: _Route) -> Route:
    services = tuple(
        WeightedService(item.service, item.weight) for item in parsed.weighted_backends
    )
    is_stream = parsed.kind == _STREAMING
    may_repeat = parsed.kind == _IDEMPOTENT or (is_stream and parsed.resumable)
    return Route(
        name=parsed.name,
        host=parsed.host.lower(),
        prefix=parsed.prefix,
        services=services or (WeightedService(parsed.service, 1.0),),
        repeatability=Repeatability.IDEMPOTENT if may_repeat else Repeatability.ONCE,
        is_stream=is_stream,
        is_resumable=parsed.resumable,
        is_generation=parsed.sticky,
        timeout=parsed.timeout_ms / 1000,
        latency_target=parsed.target_latency_ms / 1000,
        max_targets=max(1, parsed.max_attempts),
        priority=parsed.priority,
        needs_key=not parsed.skip_auth,
    )


def _make_api_keys(tenants: list[_Tenant]) -> ApiKeys | None:
    if not tenants:
        return None
    return index_keys(
        (Organisation(tenant.name, tenant.priority), tenant.api_keys)
        for tenant in tenants
    )


def _copy_rate(engine: _Engine) -> float:
    """Return the tokens a second whose KV cache fits the link between two engines."""
    bytes_a_second = engine.link_mbps * 1e6 / 8
    return max(1.0, bytes_a_second / max(1.0, engine.kv_bytes))


def _make_service(parsed: _Service) -> Service:
    engine = parsed.engine
    model = None
    if engine is not None:
        model = EngineModel(
            cache_tokens=engine.kv_tokens,
            switch_time=engine.role_switch_s,
            copy_rate=_copy_rate(engine),
        )
    return Service(parsed.name, parsed.max_connections, model)


def _make_caller_bounds(parsed: _Limits | None) -> CallerBounds | None:
    if parsed is None:
        return None
    return CallerBounds(
        head_bytes=parsed.max_header_bytes,
        body_bytes=parsed.max_body_bytes,
        head_time=parsed.header_timeout_ms / 1000,
        idle_time=parsed.idle_timeout_ms / 1000,
    )


class PlatformDocuments:
    """Parses the documents in the platform's store."""

    configuration_key = CONFIGURATION_KEY
    target_prefix = TARGET_PREFIX

    def read_configuration(
        self, document: bytes
    ) -> Result[RoutingTable, DocumentInvalid]:
        """
        Parse the operators' configuration.

        :param document: value of ``CONFIGURATION_KEY``.
        """
        decoded = read_json(document, _Configuration)
        if isinstance(decoded, Err):
            return decoded
        parsed = decoded.ok_value
        for route in parsed.routes:
            if _has_no_backend(route):
                return Err(
                    DocumentInvalid(f"route {route.name}: no backend has a share")
                )
        routes = [_make_route(item) for item in parsed.routes]
        services = [_make_service(item) for item in parsed.services]
        bounds = _make_caller_bounds(parsed.limits)
        api_keys = _make_api_keys(parsed.tenants)
        return Ok(RoutingTable(parsed.version, routes, services, bounds, api_keys))

    def read_target(self, key: str, document: bytes) -> Result[Target, DocumentInvalid]:
        """
        Parse the entry of a target.

        :param key: ``TARGET_PREFIX`` and the target's name.
        :param document: value of the key.
        """
        target_id = key.removeprefix(TARGET_PREFIX)
        if _TARGET_ID.fullmatch(target_id) is None:
            return Err(DocumentInvalid(f"{key!r}: the name cannot be a header value"))
        decoded = read_json(document, _TargetEntry)
        if isinstance(decoded, Err):
            return Err(DocumentInvalid(f"{key}: {decoded.err_value.detail}"))
        parsed = decoded.ok_value
        return Ok(
            Target(
                target_id=target_id,
                service=parsed.service,
                address=parsed.address,
                data_centre=parsed.zone,
                slots=parsed.slots,
                is_leaving=parsed.state == _DRAINING,
                role=_ROLES.get(parsed.phase or "", EngineRole.NONE),
                born=parsed.born,
            )
        )
