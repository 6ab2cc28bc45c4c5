"""Measures how CPU, memory, traffic and latency grow with targets and entries."""

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
from pimentolink.plan import EMPTY_PLAN, Group, Plan, desired_state
from pimentolink.planner import TargetView
from pimentolink.prefixes import PrefixIndex
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

TARGET_COUNTS = (16, 64, 256, 1024)
ENTRY_COUNTS = (4, 16, 64, 256)
POOL_SIZES = (89, 355, 1420, 11_000)
MEASUREMENT_SECONDS = 6.0
HEADER_BYTES = 66
REPEATS = 300


class Slope(NamedTuple):
    """
    A line fitted to measured points.

    :ivar what: the measured quantity.
    :ivar unit: unit of that quantity.
    :ivar points: pairs of a count and the value measured at it.
    :ivar intercept: value of the line at a count of 0.
    :ivar slope: increase per unit of count.
    :ivar residual: largest distance of a point from the line, as a share of the
        point's value.
    """

    what: str
    unit: str
    points: list[tuple[int, float]]
    intercept: float
    slope: float
    residual: float

    def value_at(self, count: int) -> float:
        """Return the value of the line at a count."""
        return self.intercept + self.slope * count


def fit_line(what: str, unit: str, points: list[tuple[int, float]]) -> Slope:
    """
    Fit a line that minimises relative errors.

    Weights are the inverse of the values, so that large values do not dominate.
    """
    counts = numpy.array([count for count, _ in points], dtype=float)
    values = numpy.array([value for _, value in points])
    weights = 1 / numpy.maximum(numpy.abs(values), 1e-9)
    slope, intercept = numpy.polyfit(counts, values, 1, w=weights)
    fitted = intercept + slope * counts
    residual = float(numpy.max(numpy.abs(values - fitted) * weights))
    return Slope(what, unit, points, float(intercept), float(slope), residual)


def measure_entry_by_targets() -> list[Slope]:
    """Measure CPU, memory and startup time of an idle entry linked to N sidecars."""
    cpu_percents, memory_mb, ready_seconds = [], [], []
    for count in TARGET_COUNTS:
        with Fleet() as fleet:
            fleet.start_platform()
            fleet.settle()
            sources, names = start_sources(fleet, count)
            try:
                fleet.apply(configuration(names, []))
                start = time.monotonic()
                links = {"most_links": max(TARGET_COUNTS)}
                entry = fleet.start_entry("entry", "d", links=links)
                fleet.wait_ready("entry", names)
                ready_seconds.append((count, time.monotonic() - start))
                time.sleep(1.0)
                cpu_percents.append((count, _core_share(entry.popen.pid) * 100))
                memory_mb.append((count, resident_megabytes(entry.popen.pid)))
            finally:
                _kill_all(sources)
    return [
        fit_line("entry: processor, idle links", "% of a core", cpu_percents),
        fit_line("entry: resident memory", "MB", memory_mb),
        fit_line("entry: start until all links are up", "s", ready_seconds),
    ]


def measure_sidecar_by_entries() -> list[Slope]:
    """Measure CPU and memory of an idle sidecar linked to N entries."""
    cpu_percents, memory_mb = [], []
    for count in ENTRY_COUNTS:
        with Fleet() as fleet:
            fleet.start_platform()
            fleet.start("target", "standins.plain_service")
            sidecar = fleet.start_sidecar("target", "d", links={})
            fleet.settle()
            command = [sys.executable, "-m", "tools.fakeentries", SHARED_KEY]
            fake_entries = subprocess.Popen(
                [*command, sidecar.address, str(count)],
                stdout=subprocess.PIPE,
                text=True,
            )
            assert fake_entries.stdout is not None
            fake_entries.stdout.readline()
            cpu_percents.append((count, _core_share(sidecar.popen.pid) * 100))
            memory_mb.append((count, resident_megabytes(sidecar.popen.pid)))
            _kill_all([fake_entries])
    return [
        fit_line("sidecar: processor, idle links", "% of a core", cpu_percents),
        fit_line("sidecar: resident memory", "MB", memory_mb),
    ]


def measure_key_value_calls() -> list[Slope]:
    """Measure the rate at which N idle entries call the key-value service."""
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
            time.sleep(MEASUREMENT_SECONDS)
            after = sum(call(fleet.url("key_value", "/calls")).json.values())
            points.append((count, (after - before) / MEASUREMENT_SECONDS))
    return [fit_line("key-value service: calls of idle entries", "calls/s", points)]


def measure_routing() -> list[Slope]:
    """Measure the time of one routing decision over N targets of one data centre."""
    points = []
    settings = RoutingSettings()
    for count in POOL_SIZES:
        pool = _pool(count)
        policy = PredictedWork(settings, "d", PrefixIndex(1000), Random(1))
        request = _request()
        microseconds = _median_microseconds(
            partial(policy.choose, request, pool, [], 1.0)
        )
        points.append((count, microseconds))
    return [fit_line("routing: one decision", "us", points)]


def measure_planning() -> list[Slope]:
    """Measure the time to plan a group of N targets, and the size of the plan."""
    times, sizes = [], []
    for count in (100, 400, 1600):
        names = [f"engine-{number}" for number in range(count)]
        views = [TargetView(name, True, "mixed", 0, 3, 0, 100) for name in names]
        policy = MixRoles(PlannerSettings(), ManualTimers())
        accepted = _validated_configuration(names)
        plan_once = partial(_plan_group, policy, names, views, accepted)
        times.append((count, _median_microseconds(plan_once) / 1000))
        sizes.append((count, len(msgspec.json.encode(plan_once())) / 1000))
    return [
        fit_line("planner: one look at a group", "ms", times),
        fit_line("plan: stored size", "KB", sizes),
    ]


def measure_adoption() -> list[Slope]:
    """Measure the size of a configuration of N targets, and the time to adopt it."""
    sizes, times = [], []
    for count in (100, 1000, 11_000):
        names = [f"engine-{number}" for number in range(count)]
        accepted = AcceptedConfiguration(
            version=1,
            change_id="x",
            author="x",
            applied_at="x",
            configuration=_validated_configuration(names),
        )
        data = msgspec.json.encode(accepted)
        sizes.append((count, len(data) / 1000))
        microseconds = _median_microseconds(partial(_adopt_configuration, data), 10)
        times.append((count, microseconds / 1000))
    return [
        fit_line("configuration: size", "KB", sizes),
        fit_line("configuration: adoption", "ms", times),
    ]


def measure_propagation() -> list[Slope]:
    """Measure the time between the first and the last process to adopt a change."""
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
            process_count = count + 2
            wait_until(lambda fleet=fleet, n=process_count: len(_adoptions(fleet)) == n)
            adoption_times = _adoptions(fleet)
            points.append((process_count, max(adoption_times) - min(adoption_times)))
    return [fit_line("configuration change: first to last process", "s", points)]


def _adoptions(fleet: Fleet) -> list[float]:
    """Read from the logs when each process adopted version 2 of the configuration."""
    times = []
    for process in fleet.processes_by_name.values():
        for line in process.log_path.read_text().splitlines():
            if '"version": 2, "event": "configuration_adopted"' in line:
                timestamp = json.loads(line)["timestamp"]
                times.append(datetime.fromisoformat(timestamp).timestamp())
    return times


def message_sizes() -> dict[str, int]:
    """Return the sizes of the messages on idle links, with frame and TCP/IP headers."""
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
    heartbeat = link_pb2.EntryMessage(heartbeat=link_pb2.Heartbeat())
    return {
        "load report": len(report.SerializeToString()) + 4 + HEADER_BYTES,
        "heartbeat": len(heartbeat.SerializeToString()) + 4 + HEADER_BYTES,
    }


def _plan_group(
    policy: MixRoles,
    names: list[str],
    views: list[TargetView],
    accepted: Configuration,
) -> Plan:
    """Compute the plan of one group, as the planner does in each round."""
    configured: dict[str, Role] = dict.fromkeys(names, "mixed")
    roles = policy.choose(Group("m", "r"), configured, configured, views)
    desired = {name: desired_state(accepted, "m", roles[name]) for name in names}
    return EMPTY_PLAN.changed("me", 1, desired)


def _adopt_configuration(data: bytes) -> bool:
    return Adoption(Log()).offer(data)


def _validated_configuration(names: list[str]) -> Configuration:
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


def _median_microseconds(function: Callable[[], Any], repeats: int = REPEATS) -> float:
    times = []
    for _ in range(repeats):
        start = time.perf_counter()
        function()
        times.append((time.perf_counter() - start) * 1e6)
    return statistics.median(times)


def _core_share(pid: int) -> float:
    before, start = processor_seconds(pid), time.monotonic()
    time.sleep(MEASUREMENT_SECONDS)
    return (processor_seconds(pid) - before) / (time.monotonic() - start)


def _kill_all(processes: list[subprocess.Popen[str]]) -> None:
    for process in processes:
        process.kill()
        process.wait()


def main() -> None:
    """Print all fitted lines; also write them to the file given as argument, if any."""
    measurements = (
        measure_routing,
        measure_planning,
        measure_adoption,
        measure_propagation,
        measure_key_value_calls,
        measure_sidecar_by_entries,
        measure_entry_by_targets,
    )
    slopes = [slope for measure in measurements for slope in measure()]
    print("| what | unit | points | intercept | slope | residual |")
    print("|---|---|---|---|---|---|")
    for slope in slopes:
        points = ", ".join(f"{count}: {value:.3g}" for count, value in slope.points)
        print(
            f"| {slope.what} | {slope.unit} | {points} | {slope.intercept:.3g} "
            f"| {slope.slope:.3g} | {slope.residual:.0%} |"
        )
    print(json.dumps(message_sizes()))
    if len(sys.argv) > 1:
        documents = [slope._asdict() for slope in slopes]
        Path(sys.argv[1]).write_text(json.dumps(documents))


if __name__ == "__main__":
    main()
