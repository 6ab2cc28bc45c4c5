"""Measures one entry and one sidecar: added latency, tokens relayed, memory."""

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

RATE = 100.0
LATENCY_SECONDS = 6.0
RELAY_SECONDS = 6.0
SOURCES = 3
TICKS_PER_SECOND = 100


def processor_seconds(pid: int) -> float:
    """Read the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_megabytes(pid: int) -> float:
    """Read the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def configuration(targets: list[str], plain: list[str]) -> dict[str, Any]:
    """Describe one model service and one plain service."""
    services: dict[str, Any] = {
        "m": {"kind": "model", "targets": targets, "work": "w", "models": ["m"]}
    }
    if plain:
        services["p"] = {"kind": "plain", "targets": plain, "work": "w"}
    names = [*targets, *plain]
    # The older system gives the orders here, so that nothing is planned.
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


def open_loop(url: str, seconds: float) -> HdrHistogram:
    """Call a URL at ``RATE`` from threads; latency counts from the due time."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    lock = threading.Lock()
    count = int(RATE * seconds)
    start = time.monotonic() + 0.2
    numbers = iter(range(count))

    def work() -> None:
        while True:
            with lock:
                number = next(numbers, None)
            if number is None:
                return
            due = start + number / RATE
            time.sleep(max(0.0, due - time.monotonic()))
            call(url, "POST", b"{}")
            took = time.monotonic() - due
            with lock:
                histogram.record_value(int(took * 1e6))

    threads = [threading.Thread(target=work) for _ in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return histogram


def latency() -> dict[str, float]:
    """Measure what entry and sidecar add to a call, both ways in turn in one run."""
    with Fleet() as fleet:
        fleet.start_platform()
        fleet.start("plain", "standins.plain_service", "--duration", "0.005")
        sidecar = fleet.start_sidecar("plain", "d")
        entry = fleet.start_entry("entry", "d")
        fleet.start("engine", "standins.engine")
        fleet.start_sidecar("engine", "d")
        fleet.apply(configuration(["engine"], ["plain"]))
        fleet.wait_ready("entry", ["plain", "engine"])
        straight, through = HdrHistogram(1, 60_000_000, 3), None
        through = HdrHistogram(1, 60_000_000, 3)
        for _ in range(2):
            straight.add(open_loop(fleet.url("plain", "/x"), LATENCY_SECONDS / 2))
            url = fleet.url("entry", "/services/p/x")
            through.add(open_loop(url, LATENCY_SECONDS / 2))
        found = {
            "entry_resident_mb": resident_megabytes(entry.popen.pid),
            "sidecar_resident_mb": resident_megabytes(sidecar.popen.pid),
        }
        for quantile in (50, 99):
            direct = straight.get_value_at_percentile(quantile) / 1000
            ours = through.get_value_at_percentile(quantile) / 1000
            found[f"straight_p{quantile}_ms"] = direct
            found[f"through_p{quantile}_ms"] = ours
            found[f"added_p{quantile}_ms"] = ours - direct
        return found


def relay(targets: int, streams: int, tokens: int) -> dict[str, float]:
    """Measure the tokens that one entry relays, one token a chunk."""
    with Fleet() as fleet:
        fleet.start_platform()
        fleet.settle()
        sources, names = start_sources(fleet, targets)
        try:
            entry = fleet.start_entry("entry", "d")
            fleet.apply(configuration(names, []))
            fleet.wait_ready("entry", names)
            return _measure_relay(entry, streams, tokens)
        finally:
            for source in sources:
                source.kill()
                source.wait()


def start_sources(
    fleet: Fleet, targets: int, heartbeat: float = 3.0
) -> tuple[list[subprocess.Popen[str]], list[str]]:
    """Start stepping targets in few processes and put them on the list."""
    sources, names = [], []
    share = -(-targets // SOURCES)
    for number in range(SOURCES):
        count = min(share, targets - number * share)
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
    """Put a target's sidecar on the list of instances."""
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


def _measure_relay(entry: Any, streams: int, tokens: int) -> dict[str, float]:
    callers = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "tools.streams",
                entry.address,
                str(streams // 2),
                str(tokens),
                str(RELAY_SECONDS),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    time.sleep(RELAY_SECONDS / 2 + 1)
    before, start = processor_seconds(entry.popen.pid), time.monotonic()
    time.sleep(RELAY_SECONDS / 2)
    used = processor_seconds(entry.popen.pid) - before
    core = used / (time.monotonic() - start)
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
    """Print all measurements as JSON."""
    print(json.dumps({"latency": latency()}, indent=2))
    for targets, streams in ((8, 400), (8, 1200), (96, 1200), (355, 1200)):
        found = {"targets": targets, **relay(targets, streams, 290)}
        print(json.dumps({"relay": found}, indent=2), flush=True)


if __name__ == "__main__":
    main()
