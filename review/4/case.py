"""A gateway goes on sending requests to an engine that leaves."""

from __future__ import annotations

import json
import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from world import (  # noqa: E402
    BROKEN,
    HELD,
    SILENCE,
    Consumer,
    World,
    has_trouble,
    main,
)

DRAIN_S = 2.0
ROUTES = [
    {"name": "lookup", "kind": "idempotent", "service": "plain", "timeoutMs": 1500}
]
GATEWAYS = ("edge-1", "edge-2")
LEAVING, OTHER = "i-1", "i-2"
# Seconds from the start of the traffic.
CUT_AT, CUT_ENDS = 1.0, 6.0
COPY_AT, DRILL_AT, DRILL_TAKES, REWRITTEN_AFTER = 7.0, 10.0, 0.5, 1.0
LEAVES_AT, TRAFFIC_ENDS = 16.0, 24.0
PER_SECOND = 20


def cut_engine_from_store(world: World) -> None:
    """Keep the reports of an engine from the store, which removes its entry."""
    world.note(f"{LEAVING} is cut off from the store")
    time.sleep(SILENCE)
    world.put(f"servers/{LEAVING}", None)
    time.sleep(CUT_ENDS - CUT_AT - SILENCE)
    world.note(f"{LEAVING} reaches the store again")
    world.tell(LEAVING, state="ready")


def drill(world: World) -> None:
    """Let the store come back from its copy; the engines write their entries again."""
    store = world.addresses["store"]
    world.note("drill: the store is away")
    world.http(store, "PUT", "/faults", json.dumps({"down": "silent"}).encode())
    time.sleep(DRILL_TAKES)
    world.http(store, "PUT", "/restore")
    world.http(store, "PUT", "/faults", json.dumps({"down": ""}).encode())
    world.note("drill: the store is back from its copy")
    time.sleep(REWRITTEN_AFTER)
    for name in (LEAVING, OTHER):
        world.tell(name, state="ready")
    world.configure(1, ROUTES)


def copy(world: World) -> None:
    """Make the copy for the drill."""
    world.http(world.addresses["store"], "PUT", "/copy")
    world.note("the store is copied")


def steps_of(world: World, leave: threading.Event) -> None:
    """Make the disruptions, and let the engine leave."""
    began_at = time.monotonic()
    # For trials with one of the two disruptions.
    wanted = os.environ.get("ONLY", "cut drill") if has_trouble() else ""
    for at, name, step in (
        (CUT_AT, "cut", cut_engine_from_store),
        (COPY_AT, "drill", copy),
        (DRILL_AT, "drill", drill),
    ):
        time.sleep(max(0.0, began_at + at - time.monotonic()))
        if name in wanted:
            step(world)
    time.sleep(max(0.0, began_at + LEAVES_AT - time.monotonic()))
    world.tell(LEAVING, state="draining")
    leave.set()


def case(world: World) -> int:
    """Send requests all the while; check where they run once the engine leaves."""
    world.store()
    for name in (LEAVING, OTHER):
        world.engine(name, "plain", slots=6, work=0.05)
    world.configure(1, ROUTES)
    for name in GATEWAYS:
        world.gateway(name)
    world.wait_ready(*GATEWAYS)
    time.sleep(1.0)
    leave = threading.Event()
    disruptions = threading.Thread(target=steps_of, args=(world, leave), daemon=True)
    disruptions.start()
    began_at = time.monotonic()
    left_at = 0.0
    consumers: list[Consumer] = []
    while time.monotonic() < began_at + TRAFFIC_ENDS:
        if leave.is_set() and not left_at:
            left_at = time.time()
        number = len(consumers)
        gateway = world.addresses[GATEWAYS[number % 2]]
        consumer = Consumer(world, gateway, f"/lookup/x{number}", budget=1.5)
        consumer.start()
        consumers.append(consumer)
        time.sleep(max(0.0, began_at + len(consumers) / PER_SECOND - time.monotonic()))
    for consumer in consumers:
        consumer.join()
    disruptions.join()
    late = [
        entry
        for entry in world.entries()
        if entry["event"] == "request"
        and entry["engine"] == LEAVING
        and entry["at"] > left_at + DRAIN_S
    ]
    for entry in late:
        world.note(f"DRAIN: {entry['request']} reaches {LEAVING}", entry["at"])
    served = sum(consumer.status == 200 for consumer in consumers)
    world.note(
        f"{len(consumers)} requests, {served} served, {len(late)} reached {LEAVING} "
        f"later than {DRAIN_S} s after its leaving was acknowledged"
    )
    return BROKEN if late else HELD


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
