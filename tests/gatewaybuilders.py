"""Builders of routes, targets, fleets and prompts with defaults for tests."""

from collections.abc import Iterable
from random import Random
from typing import Any

from twisted.internet.testing import StringTransport

from pimentolink.dialect import PromptPart
from pimentolink.egressqueue import EgressQueue
from pimentolink.fleet import Fleet
from pimentolink.gatewaydelay import GatewayDelay
from pimentolink.gatewaysettings import (
    EjectionSettings,
    GatewaySettings,
    PlacementSettings,
    StoreSettings,
)
from pimentolink.placement import Placer, WaitingPrompt
from pimentolink.prefillqueue import PrefillQueue
from pimentolink.routes import EngineModel, Repeatability, Route, WeightedService
from pimentolink.targetestimate import EngineRole, Target
from pimentolink.timers import ManualTimers

MODEL = EngineModel(
    cache_tokens=100_000,
    switch_time=3.0,
    copy_rate=1_000_000.0,
)
# Fixed part of a prefill's duration in seconds, in a fleet with measured costs.
PREFILL_OVERHEAD = 0.03


def route(**changes: Any) -> Route:
    return Route(
        name="r",
        host="h.example",
        prefix="/p/",
        services=(WeightedService("s", 1.0),),
        repeatability=Repeatability.IDEMPOTENT,
        is_stream=False,
        is_resumable=False,
        is_generation=False,
        timeout=2.0,
        latency_target=0.5,
        max_targets=2,
        priority=1,
    )._replace(**changes)


def target(name: str, role: EngineRole = EngineRole.NONE, **changes: Any) -> Target:
    return Target(
        target_id=name,
        service="s",
        address=f"127.0.0.1:{9000 + len(name)}",
        data_centre="north",
        slots=64,
        is_leaving=False,
        role=role,
    )._replace(**changes)


def fleet(*targets: Target, has_measured_costs: bool = True, **placement: Any) -> Fleet:
    """
    Build a fleet of the given targets.

    :param has_measured_costs: whether the fleet has measured costs: prefill engines
        process 10,000 tokens per second, decode engines half as many.
    """
    gateway_fleet = Fleet(PlacementSettings(**placement), EjectionSettings(), Random(1))
    gateway_fleet.set_models({"s": MODEL})
    for item in targets:
        gateway_fleet.put(item)
    for is_decode_engine, rate in (
        ((False, 10_000), (True, 5_000)) if has_measured_costs else ()
    ):
        for tokens in (1_000, 2_000, 4_000, 8_000):
            cost = gateway_fleet.costs("s").cost_model(is_decode_engine)
            cost.learn(tokens, PREFILL_OVERHEAD + tokens / rate)
    return gateway_fleet


def engines(prefill_engines: int, decode_engines: int) -> list[Target]:
    names = [f"reader-{number}" for number in range(prefill_engines)]
    targets = [target(name, EngineRole.PREFILL) for name in names]
    names = [f"writer-{number}" for number in range(decode_engines)]
    return targets + [target(name, EngineRole.DECODE) for name in names]


def make_prefill_queue(gateway_fleet: Fleet, **placement: Any) -> PrefillQueue:
    settings = PlacementSettings(**placement)
    return PrefillQueue(settings, make_placer(gateway_fleet, settings))


def make_placer(
    gateway_fleet: Fleet, settings: PlacementSettings, megabits_per_second: float = 0.0
) -> Placer:
    return Placer(
        settings,
        gateway_fleet,
        "north",
        EgressQueue(megabits_per_second, ManualTimers()),
        GatewayDelay(),
    )


def prompt(
    name: str,
    own: int = 1_000,
    shared: tuple[int, int] | None = None,
    at: float = 0.0,
    latency_target: float = 1.0,
    caller_timeout: float = 6.0,
    size: float = 1.0,
) -> WaitingPrompt:
    parts = [PromptPart(*shared)] if shared else []
    parts.append(PromptPart(hash(name) & 0xFFFFFFFF, own))
    return WaitingPrompt(
        request_id=name,
        service="s",
        parts=tuple(parts),
        prompt_tokens=sum(part.tokens for part in parts),
        size=size,
        arrived_at=at,
        latency_target=latency_target,
        latency_deadline=at + latency_target,
        due_at=at + caller_timeout,
    )


def gateway_settings(**changes: Any) -> GatewaySettings:
    return GatewaySettings(
        **{
            "instance": "gateway-1",
            "data_centre": "north",
            "listen": "127.0.0.1:8001",
            "readiness": "127.0.0.1:8002",
            "peers": "127.0.0.1:8003",
            "metrics": "127.0.0.1:8004",
            "store": StoreSettings(address="127.0.0.1:8005"),
            **changes,
        }
    )


def split_at(data: bytes, cuts: Iterable[int]) -> list[bytes]:
    """Split data at the given offsets; those beyond its end are ignored."""
    offsets = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    return [data[start:end] for start, end in zip(offsets, offsets[1:], strict=False)]


def make_event(event_id: int, line_end: bytes = b"\n") -> bytes:
    """Encode a server-sent event whose length grows with its id."""
    lines = [b"id: %d" % event_id, b"data: " + b"x" * event_id, b"", b""]
    return line_end.join(lines)


class SocketTransport(StringTransport):
    """A string transport that accepts socket options and records an abort."""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, *option):
        pass
