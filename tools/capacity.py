"""Measures slopes: what grows with targets, entries and instances, and how fast."""

from __future__ import annotations

import json
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from datetime import datetime
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import msgspec
import numpy

from pimentolink import link_pb2
from pimentolink.adoption import Adoption
from pimentolink.configuration import AcceptedConfiguration, Configuration, Role, check
from pimentolink.logs import Log
from pimentolink.plan import NO_PLAN, Group, Plan, wanted_of
from pimentolink.planner import TargetView
from pimentolink.prefixes import PrefixMemory
from pimentolink.request import Request
from pimentolink.roles import MixRoles
from pimentolink.router import PredictedWork
from pimentolink.settings import PlannerSettings, RoutingSettings
from pimentolink.targetpool import TargetPool, TargetState
from pimentolink.timers import ManualTimers
from tools.bench import (
    configuration,
    processor_seconds,
    resident_megabytes,
    start_sources,
)
from tools.fleet import SHARED_KEY, Fleet, call, wait_until

TARGETS = (16, 64, 256, 1024)
ENTRIES = (4, 16, 64, 256)
POOLS = (89, 355, 1420, 11_000)
WINDOW = 6.0
HEADERS = 66
REPEATS = 300


class Slope(NamedTuple):
    """
    A straight line through measured points.

    :ivar residual: largest distance of a point from the line, as a share of it.
    """

    what: str
    unit: str
    points: list[tuple[int, float]]
    intercept: float
    slope: float
    residual: float

    def at(self, count: int) -> float:
        """Work the line out for a count."""
        return self.intercept + self.slope * count


def fit(what: str, unit: str, points: list[tuple[int, float]]) -> Slope:
    """Fit a line; every point weighs by its share, not by its size."""
    counts = numpy.array([count for count, _ in points], dtype=float)
    values = numpy.array([value for _, value in points])
    weights = 1 / numpy.maximum(numpy.abs(values), 1e-9)
    slope, intercept = numpy.polyfit(counts, values, 1, w=weights)
    line = intercept + slope * counts
    residual = float(numpy.max(numpy.abs(values - line) * weights))
    return Slope(what, unit, points, float(intercept), float(slope), residual)


def entry_against_targets() -> list[Slope]:
    """Measure an idle entry's control work against N sidecars."""
    cores, memory, ready = [], [], []
    for count in TARGETS:
        with Fleet() as fleet:
            fleet.start_platform()
            fleet.settle()
            sources, names = start_sources(fleet, count)
            try:
                fleet.apply(configuration(names, []))
                start = time.monotonic()
                links = {"most_links": max(TARGETS)}
                entry = fleet.start_entry("entry", "d", links=links)
                fleet.wait_ready("entry", names)
                ready.append((count, time.monotonic() - start))
                time.sleep(1.0)
                cores.append((count, _core_share(entry.popen.pid) * 100))
                memory.append((count, resident_megabytes(entry.popen.pid)))
            finally:
                _end(sources)
    return [
        fit("entry: processor, idle links", "% of a core", cores),
        fit("entry: resident memory", "MB", memory),
        fit("entry: start until all links are up", "s", ready),
    ]


def sidecar_against_entries() -> list[Slope]:
    """Measure an idle sidecar's control work against N entries."""
    cores, memory = [], []
    for count in ENTRIES:
        with Fleet() as fleet:
            fleet.start_platform()
            fleet.start("target", "standins.plain_service")
            sidecar = fleet.start_sidecar("target", "d", links={})
            fleet.settle()
            command = [sys.executable, "-m", "tools.fakeentries", SHARED_KEY]
            fakes = subprocess.Popen(
                [*command, sidecar.address, str(count)],
                stdout=subprocess.PIPE,
                text=True,
            )
            assert fakes.stdout is not None
            fakes.stdout.readline()
            cores.append((count, _core_share(sidecar.popen.pid) * 100))
            memory.append((count, resident_megabytes(sidecar.popen.pid)))
            _end([fakes])
    return [
        fit("sidecar: processor, idle links", "% of a core", cores),
        fit("sidecar: resident memory", "MB", memory),
    ]


def service_calls() -> list[Slope]:
    """Count the calls of N idle entries to the key-value service."""
    points = []
    for count in (1, 2, 4, 8):
        with Fleet() as fleet:
            fleet.start_platform()
            fleet.start("target", "standins.engine", "--models", '{"m": "1"}')
            fleet.start_sidecar("target", "d")
            document = configuration(["target"], [])
            document["targets"] = {"target": {"data_centre": "d"}}
            fleet.apply(document)
            for number in range(count):
                fleet.start_entry(f"entry-{number}", "d")
            fleet.settle()
            time.sleep(3.0)
            before = sum(call(fleet.url("key_value", "/calls")).json.values())
            time.sleep(WINDOW)
            after = sum(call(fleet.url("key_value", "/calls")).json.values())
            points.append((count, (after - before) / WINDOW))
    return [fit("key-value service: calls of idle entries", "calls/s", points)]


def routing() -> list[Slope]:
    """Time one routing decision over N targets of one data centre."""
    points = []
    settings = RoutingSettings()
    for count in POOLS:
        pool = _pool(count)
        policy = PredictedWork(settings, "d", PrefixMemory(1000), Random(1))
        request = _request()
        took = _median_microseconds(partial(policy.choose, request, pool, [], 1.0))
        points.append((count, took))
    return [fit("routing: one decision", "us", points)]


def planning() -> list[Slope]:
    """Time one look of the planner at N targets, and size the plan."""
    times, sizes = [], []
    for count in (100, 400, 1600):
        names = [f"engine-{number}" for number in range(count)]
        views = [TargetView(name, True, "mixed", 0, 3, 0, 100) for name in names]
        policy = MixRoles(PlannerSettings(), ManualTimers())
        accepted = _checked(names)
        look = partial(_look, policy, names, views, accepted)
        times.append((count, _median_microseconds(look) / 1000))
        sizes.append((count, len(msgspec.json.encode(look())) / 1000))
    return [
        fit("planner: one look at a group", "ms", times),
        fit("plan: stored size", "KB", sizes),
    ]


def adopting() -> list[Slope]:
    """Size a configuration of N targets and time its adoption."""
    sizes, times = [], []
    for count in (100, 1000, 11_000):
        names = [f"engine-{number}" for number in range(count)]
        accepted = AcceptedConfiguration(
            version=1,
            change_id="x",
            author="x",
            applied_at="x",
            configuration=_checked(names),
        )
        data = msgspec.json.encode(accepted)
        sizes.append((count, len(data) / 1000))
        took = _median_microseconds(partial(_adopt, data), 10)
        times.append((count, took / 1000))
    return [
        fit("configuration: size", "KB", sizes),
        fit("configuration: adoption", "ms", times),
    ]


def propagation() -> list[Slope]:
    """Time a configuration change from the first process in force to the last."""
    points = []
    for count in (4, 16, 32):
        with Fleet() as fleet:
            fleet.start_platform()
            names = [f"target-{number}" for number in range(count)]
            for name in names:
                fleet.start(name, "standins.plain_service")
                fleet.start_sidecar(name, "d")
            for name in ("entry-1", "entry-2"):
                fleet.start_entry(name, "d")
            document = configuration(["engine"], names)
            del document["services"]["m"], document["targets"]["engine"]
            document["models"] = {}
            fleet.apply(document)
            for name in ("entry-1", "entry-2"):
                fleet.wait_ready(name, names)
            document["work"]["w"]["priority"] = 1
            fleet.apply(document)
            wanted = count + 2
            wait_until(lambda fleet=fleet, n=wanted: len(_adoptions(fleet)) == n)
            adopted = _adoptions(fleet)
            points.append((wanted, max(adopted) - min(adopted)))
    return [fit("configuration change: first to last process", "s", points)]


def _adoptions(fleet: Fleet) -> list[float]:
    """Read from the logs when each process put version 2 into force."""
    moments = []
    for process in fleet.processes_by_name.values():
        for line in process.log_path.read_text().splitlines():
            if '"version": 2, "event": "configuration_adopted"' in line:
                stamp = json.loads(line)["timestamp"]
                moments.append(datetime.fromisoformat(stamp).timestamp())
    return moments


def message_bytes() -> dict[str, int]:
    """Size the messages of idle links, with frame and TCP/IP headers."""
    load = link_pb2.Load(
        running=20,
        waiting=3,
        prefill_tokens=20_000,
        decode_tokens=9_000,
        accepting=True,
        slots=32,
        role="mixed",
        settled_number=1_000,
        prefill_done=10**9,
        decode_done=10**9,
        long_prefill_asked=10**9,
    )
    report = link_pb2.SidecarMessage(load=load)
    beat = link_pb2.EntryMessage(heartbeat=link_pb2.Heartbeat())
    return {
        "load report": len(report.SerializeToString()) + 4 + HEADERS,
        "heartbeat": len(beat.SerializeToString()) + 4 + HEADERS,
    }


def _look(
    policy: MixRoles,
    names: list[str],
    views: list[TargetView],
    accepted: Configuration,
) -> Plan:
    """Do what a planner does at one look at one group."""
    configured: dict[str, Role] = dict.fromkeys(names, "mixed")
    roles = policy.choose(Group("m", "r"), configured, configured, views)
    wanted = {name: wanted_of(accepted, "m", roles[name]) for name in names}
    return NO_PLAN.changed("me", 1, wanted)


def _adopt(data: bytes) -> bool:
    return Adoption(Log()).offer(data)


def _checked(names: list[str]) -> Configuration:
    return check(configuration(names, [])).unwrap()


def _pool(count: int) -> TargetPool:
    pool = TargetPool()
    random = Random(2)
    for number in range(count):
        target = TargetState(f"engine-{number}", "d")
        running = random.randrange(32)
        target.load = link_pb2.Load(running=running, accepting=True, role="mixed")
        pool.add(target)
    return pool


def _request() -> Request:
    return Request(
        request_id="r",
        service="m",
        work="w",
        priority=0,
        patience=1.0,
        caller="",
        method="POST",
        path="/v1/completions",
        headers={},
        body=b"",
        idempotency_key="",
        is_model=True,
        prefill_tokens=500,
        decode_tokens=100,
        token_limit=100,
        prefixes=(1, 2),
        traceparent="",
    )


def _median_microseconds(work: Callable[[], Any], repeats: int = REPEATS) -> float:
    times = []
    for _ in range(repeats):
        start = time.perf_counter()
        work()
        times.append((time.perf_counter() - start) * 1e6)
    return statistics.median(times)


def _core_share(pid: int) -> float:
    before, start = processor_seconds(pid), time.monotonic()
    time.sleep(WINDOW)
    return (processor_seconds(pid) - before) / (time.monotonic() - start)


def _end(processes: list[subprocess.Popen[str]]) -> None:
    for process in processes:
        process.kill()
        process.wait()


def main() -> None:
    """Print every slope; write them to the file that is named, if any."""
    parts = (
        routing,
        planning,
        adopting,
        propagation,
        service_calls,
        sidecar_against_entries,
        entry_against_targets,
    )
    slopes = [slope for part in parts for slope in part()]
    print("| what | unit | points | intercept | slope | residual |")
    print("|---|---|---|---|---|---|")
    for slope in slopes:
        points = ", ".join(f"{count}: {value:.3g}" for count, value in slope.points)
        print(
            f"| {slope.what} | {slope.unit} | {points} | {slope.intercept:.3g} "
            f"| {slope.slope:.3g} | {slope.residual:.0%} |"
        )
    print(json.dumps(message_bytes()))
    if len(sys.argv) > 1:
        found = [slope._asdict() for slope in slopes]
        Path(sys.argv[1]).write_text(json.dumps(found))


if __name__ == "__main__":
    main()
