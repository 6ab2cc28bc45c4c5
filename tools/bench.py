"""Measures the latency, token throughput and memory use of entry and sidecar."""

from __future__ import annotations

import json
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from tools.fleet import SHARED_KEY, Fleet, call, free_port

REQUESTS_PER_SECOND = 100.0
LATENCY_MEASUREMENT_SECONDS = 6.0
RELAY_MEASUREMENT_SECONDS = 6.0
SOURCE_PROCESSES = 3
TICKS_PER_SECOND = 100


def processor_seconds(pid: int) -> float:
    """Read the CPU time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_megabytes(pid: int) -> float:
    """Read the resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def configuration(targets: list[str], plain_targets: list[str]) -> dict[str, Any]:
    """Return a configuration with one model service and at most one plain service."""
    services: dict[str, Any] = {
        "m": {"kind": "model", "targets": targets, "work": "w", "models": ["m"]}
    }
    if plain_targets:
        services["p"] = {"kind": "plain", "targets": plain_targets, "work": "w"}
    names = [*targets, *plain_targets]
    # Orders are left to the older system, so that no planner runs.
    target = {"data_centre": "d", "orders_from": "older_system"}
    return {
        "site": "bench",
        "data_centres": {"d": {"region": "r"}},
        "work": {"w": {"priority": 0}},
        "models": {"m": {"version": "1"}},
        "services": services,
        "targets": dict.fromkeys(names, target),
        "older_system": "127.0.0.1:1",
    }


def measure_open_loop_latency(url: str, seconds: float) -> HdrHistogram:
    """
    Call a URL at ``REQUESTS_PER_SECOND`` from several threads.

    :returns: latencies in microseconds, each from the time at which the request was
        due, so that delays in sending count.
    """
    histogram = HdrHistogram(1, 60_000_000, 3)
    lock = threading.Lock()
    count = int(REQUESTS_PER_SECOND * seconds)
    start = time.monotonic() + 0.2
    numbers = iter(range(count))

    def send_requests() -> None:
        while True:
            with lock:
                number = next(numbers, None)
            if number is None:
                return
            due = start + number / REQUESTS_PER_SECOND
            time.sleep(max(0.0, due - time.monotonic()))
            call(url, "POST", b"{}")
            elapsed = time.monotonic() - due
            with lock:
                histogram.record_value(int(elapsed * 1e6))

    threads = [threading.Thread(target=send_requests) for _ in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return histogram


def measure_latency() -> dict[str, float]:
    """
    Measure the latency that entry and sidecar add to a call.

    Direct and routed calls are measured alternately within one run.
    """
    with Fleet() as fleet:
        fleet.start_platform()
        fleet.start("plain", "standins.plain_service", "--duration", "0.005")
        sidecar = fleet.start_sidecar("plain", "d")
        entry = fleet.start_entry("entry", "d")
        fleet.start("engine", "standins.engine")
        fleet.start_sidecar("engine", "d")
        fleet.apply(configuration(["engine"], ["plain"]))
        fleet.wait_ready("entry", ["plain", "engine"])
        direct_latency, routed_latency = HdrHistogram(1, 60_000_000, 3), None
        routed_latency = HdrHistogram(1, 60_000_000, 3)
        for _ in range(2):
            direct_latency.add(
                measure_open_loop_latency(
                    fleet.url("plain", "/x"), LATENCY_MEASUREMENT_SECONDS / 2
                )
            )
            url = fleet.url("entry", "/services/p/x")
            routed_latency.add(
                measure_open_loop_latency(url, LATENCY_MEASUREMENT_SECONDS / 2)
            )
        measured = {
            "entry_resident_mb": resident_megabytes(entry.popen.pid),
            "sidecar_resident_mb": resident_megabytes(sidecar.popen.pid),
        }
        for quantile in (50, 99):
            direct_ms = direct_latency.get_value_at_percentile(quantile) / 1000
            routed_ms = routed_latency.get_value_at_percentile(quantile) / 1000
            measured[f"straight_p{quantile}_ms"] = direct_ms
            measured[f"through_p{quantile}_ms"] = routed_ms
            measured[f"added_p{quantile}_ms"] = routed_ms - direct_ms
        return measured


def measure_relay(targets: int, streams: int, tokens: int) -> dict[str, float]:
    """Measure the tokens per second that one entry relays, one token per chunk."""
    with Fleet() as fleet:
        fleet.start_platform()
        fleet.settle()
        sources, names = start_sources(fleet, targets)
        try:
            entry = fleet.start_entry("entry", "d")
            fleet.apply(configuration(names, []))
            fleet.wait_ready("entry", names)
            return _measure_streams(entry, streams, tokens)
        finally:
            for source in sources:
                source.kill()
                source.wait()


def start_sources(
    fleet: Fleet, targets: int, heartbeat: float = 3.0
) -> tuple[list[subprocess.Popen[str]], list[str]]:
    """
    Start simulated targets in a few processes and register them.

    :param targets: number of targets.
    :param heartbeat: interval of their heartbeats in seconds.
    :returns: the processes, and the names of the targets.
    """
    sources, names = [], []
    targets_per_process = -(-targets // SOURCE_PROCESSES)
    for number in range(SOURCE_PROCESSES):
        count = min(targets_per_process, targets - number * targets_per_process)
        if count <= 0:
            break
        addresses = [f"127.0.0.1:{free_port()}" for _ in range(count)]
        source = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "tools.stepsource",
                SHARED_KEY,
                f"t{number}",
                "d",
                str(heartbeat),
                *addresses,
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert source.stdout is not None
        source.stdout.readline()
        sources.append(source)
        for index, address in enumerate(addresses):
            name = f"t{number}-{index}"
            names.append(name)
            register(fleet, name, address)
    return sources, names


def register(fleet: Fleet, name: str, address: str) -> None:
    """Register a target's sidecar in the list of instances."""
    host, _, port = address.rpartition(":")
    body = {
        "ID": f"sidecar-{name}",
        "Name": "pimentolink-sidecar",
        "Address": host,
        "Port": int(port),
        "Meta": {"data_centre": "d", "target": name, "leaving": "no"},
    }
    url = fleet.url("instance_list", "/v1/agent/service/register")
    call(url, "PUT", body)


def _measure_streams(entry: Any, streams: int, tokens: int) -> dict[str, float]:
    callers = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "tools.streams",
                entry.address,
                str(streams // 2),
                str(tokens),
                str(RELAY_MEASUREMENT_SECONDS),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    time.sleep(RELAY_MEASUREMENT_SECONDS / 2 + 1)
    cpu_before, start = processor_seconds(entry.popen.pid), time.monotonic()
    time.sleep(RELAY_MEASUREMENT_SECONDS / 2)
    cpu_used = processor_seconds(entry.popen.pid) - cpu_before
    core = cpu_used / (time.monotonic() - start)
    results = [json.loads(caller.communicate()[0]) for caller in callers]
    rate = sum(result["tokens_per_second"] for result in results)
    return {
        "streams": streams,
        "tokens_per_second": rate,
        "entry_core_share": core,
        "tokens_per_core_second": rate / core,
        "failures": sum(result["failures"] for result in results),
        "entry_resident_mb": resident_megabytes(entry.popen.pid),
    }


def main() -> None:
    """Run all measurements and print them as JSON."""
    print(json.dumps({"latency": measure_latency()}, indent=2))
    for targets, streams in ((8, 400), (8, 1200), (96, 1200), (355, 1200)):
        measured = {"targets": targets, **measure_relay(targets, streams, 290)}
        print(json.dumps({"relay": measured}, indent=2), flush=True)


if __name__ == "__main__":
    main()
