"""Requests without the part that crashes engines are held for minutes."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from world import (  # noqa: E402
    BROKEN,
    HELD,
    Consumer,
    World,
    has_trouble,
    main,
)

CONTACT_S = 3.0
# The rule asks for as many sound requests before the disruption and after it.
LEAST_REQUESTS = 20
FATAL = "ee01"
ROUTES = [
    {
        "name": "closure",
        "kind": "streaming",
        "service": "llm",
        "sticky": True,
        "resumable": True,
        "timeoutMs": 10000,
    }
]
GATEWAYS = ("edge-1", "edge-2")
READERS, WRITERS = ("i-r1", "i-r2"), ("i-w1", "i-w2", "i-w3")
# Seconds from the start of the traffic until one engine is killed, until requests with
# the part come, and until the end.
KILLED_AT, FATAL_FROM, LASTS_S = 30.3, 30.5, 65.0
# Seconds until a crashed engine is back, between two requests of either kind, and
# until one with the part comes again.
BACK_S, SOUND_EVERY_S, FATAL_EVERY_S, REPEATED_AFTER_S = 2.0, 1.0, 2.0, 0.3
# Number of the first request with the part.
FIRST_FATAL = 1000


def start_again(world: World, is_over: threading.Event) -> None:
    """Start crashed engines again, as new boots under their ids."""
    crashed_at: dict[str, float] = {}
    while not is_over.wait(0.05):
        for name in WRITERS:
            if world.processes[name].poll() is None:
                continue
            since = crashed_at.setdefault(name, time.monotonic())
            if time.monotonic() > since + BACK_S:
                del crashed_at[name]
                world.restart(name)


class Asking(threading.Thread):
    """A consumer's request; one with the part comes once more if it fails."""

    def __init__(self, world: World, number: int, is_fatal: bool) -> None:
        """Prepare a request of its own body and last part."""
        super().__init__(daemon=True)
        self.world = world
        self.number = number
        self.is_fatal = is_fatal
        self.first = self.attempt(0)

    def attempt(self, count: int) -> Consumer:
        """Return an attempt, at the gateways by turns."""
        number = self.number
        middle = FATAL if self.is_fatal else "dd04"
        gateway = GATEWAYS[(number + count) % len(GATEWAYS)]
        prompt = f"aa:800,bb05:300,{middle}:100,bb06:200,cc{number:06x}:60"
        return Consumer(
            self.world,
            self.world.addresses[gateway],
            f"/closure/x{number}",
            budget=10.0,
            body=f"request {number}".encode(),
            prompt=prompt,
        )

    def run(self) -> None:
        """Make the first attempt and perhaps another one, at the other gateway."""
        self.first.start()
        self.first.join()
        if self.is_fatal and self.first.status != 200:
            time.sleep(REPEATED_AFTER_S)
            self.attempt(1).run()


def ask(world: World, began_at: float, is_fatal: bool, sent: list[Asking]) -> None:
    """Send requests of one kind at a fixed rate until the end."""
    first_at, interval = (
        (FATAL_FROM, FATAL_EVERY_S) if is_fatal else (0.0, SOUND_EVERY_S)
    )
    while (at := first_at + len(sent) * interval) < LASTS_S:
        time.sleep(max(0.0, began_at + at - time.monotonic()))
        number = len(sent) + (FIRST_FATAL if is_fatal else 0)
        sent.append(Asking(world, number, is_fatal))
        sent[-1].start()
    for asking in sent:
        asking.join()


def kill_busy_engine(world: World) -> None:
    """Kill the engine that has begun a stream last."""
    runs = [item for item in world.entries() if item["event"] == "run"]
    world.signal(runs[-1]["engine"], signal.SIGKILL)


def case(world: World) -> int:
    """Let a part of prompts crash engines; check that other requests are served."""
    world.store()
    for name in READERS:
        world.engine(name, "llm", phase="prefill")
    for name in WRITERS:
        world.engine(name, "llm", phase="decode", part=FATAL, events=10, gap=0.05)
    world.configure(1, ROUTES)
    for name in GATEWAYS:
        world.gateway(name)
    world.wait_ready(*GATEWAYS)
    time.sleep(1.0)
    is_over = threading.Event()
    reviver = threading.Thread(target=start_again, args=(world, is_over), daemon=True)
    reviver.start()
    began_at, began_wall = time.monotonic(), time.time()
    sound: list[Asking] = []
    threads = [
        threading.Thread(
            target=ask, args=(world, began_at, is_fatal, sent), daemon=True
        )
        for is_fatal, sent in ((True, []), (False, sound))
    ]
    if has_trouble():
        killer = threading.Timer(KILLED_AT, kill_busy_engine, args=(world,))
        killer.daemon = True
        threads.append(killer)
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    is_over.set()
    reviver.join()
    crashes = [item["at"] for item in world.entries() if item["event"] == "crash"]
    last = crashes[:5][-1] - began_wall + began_at
    first = [asking.first for asking in sound]
    before = [item for item in first if item.sent_at < began_at + KILLED_AT - 10.0]
    after = [item for item in first if item.sent_at > last + 2 * CONTACT_S]
    shares = [
        sum(item.status == 200 for item in items) / max(1, len(items))
        for items in (before, after)
    ]
    world.note(
        f"{len(crashes)} crashes; sound requests served: {shares[0]:.2f} of "
        f"{len(before)} before, {shares[1]:.2f} of {len(after)} after"
    )
    if min(len(before), len(after)) < LEAST_REQUESTS:
        raise RuntimeError("too few requests for the rule")
    return BROKEN if shares[1] < shares[0] / 2 else HELD


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
