"""
Random faults on real processes, while callers' and targets' views are checked.

``python -m tests.soak --seeds 50 --first 1`` plays seeds one after the other.
"""

import argparse
import http.client
import json
import random
import shutil
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple
from uuid import uuid4

from tests.faultproxy import GOOD, MODES
from tools.fleet import Fleet, call, free_port, wait_until
from tools.platformworld import HOST, PARTS, PlatformWorld

PIECES = 6
FAULTS_FOR = 6.0
CALLERS = 6
REFUSALS = {408, 421, 429, 503}
# A body that ends each engine that begins to run it, and seconds between two askings.
FATAL = "fatal"
FATAL_EVERY = 0.4
# Crashes after which it is known for what it does, seconds in which all gateways that
# reach the store learn of it, and how often it may be sent to targets from then on.
KNOWN_AFTER = 3
KNOWN_WITHIN = 3.0
MAX_FATAL = 3
# Seconds in which all kinds of requests must be served again after the last fault.
RECOVERY = 12.0
# Seconds after a target was listed as leaving until nothing may reach it: a gateway may
# be frozen or cut off from the store for two of them, more than once.
LEFT_WITHIN = 8.0


class Asked(NamedTuple):
    """What a caller saw of one request; ``status`` is 0 for a broken connection."""

    name: str
    kind: str
    status: int
    is_whole: bool
    body: bytes
    sent_at: float


class Ran(NamedTuple):
    """What a target did: ``event`` is ``run``, ``read`` or ``order``."""

    target: str
    event: str
    name: str
    at: float
    fence: int


def problems(
    asked: list[Asked], ran: list[Ran], left_at: dict[str, float]
) -> list[str]:
    """
    Check the promises against what callers and targets saw.

    :param left_at: since when a target may get nothing any more, by name.
    """
    found = []
    runs_by_name: dict[str, list[Ran]] = {}
    for event in ran:
        if event.event == "run":
            runs_by_name.setdefault(event.name, []).append(event)
    for request in asked:
        runs = runs_by_name.get(request.name, [])
        found += _problems_of_request(request, runs)
    for event in ran:
        left = left_at.get(event.target)
        if event.event != "order" and left is not None and event.at > left:
            found.append(f"{event.name} reached {event.target} after it had left")
    return found + _problems_of_orders(ran)


def _problems_of_request(request: Asked, runs: list[Ran]) -> list[str]:
    found = []
    if request.kind in ("once", "stream") and len(runs) > 1:
        found.append(f"{request.kind} {request.name} ran {len(runs)} times")
    if request.kind in ("once", "stream") and request.status in REFUSALS and runs:
        found.append(f"{request.name} got {request.status} though it ran")
    if request.status == 200 and request.is_whole:
        found += _problems_of_answer(request)
    return found


def _problems_of_answer(request: Asked) -> list[str]:
    if request.kind in ("read", "once"):
        named = json.loads(request.body)["name"]
        return [] if named == request.name else [f"{request.name} got {named}'s answer"]
    lines = request.body.decode().splitlines()
    ids = [int(line[3:]) for line in lines if line.startswith("id:")]
    names = {json.loads(line[5:])["request"] for line in lines if line[:5] == "data:"}
    if ids != list(range(1, PIECES + 1)):
        return [f"{request.name} got events {ids} as a whole stream"]
    if names != {request.name}:
        return [f"{request.name} got events of {names}"]
    return []


def _problems_of_orders(ran: list[Ran]) -> list[str]:
    found = []
    fences_by_target: dict[str, int] = {}
    holder_by_fence: dict[int, str] = {}
    for event in sorted(ran, key=lambda item: item.at):
        if event.event != "order":
            continue
        if event.fence < fences_by_target.get(event.target, 0):
            found.append(f"{event.target} got order {event.fence} after a newer one")
        fences_by_target[event.target] = event.fence
        if holder_by_fence.setdefault(event.fence, event.name) != event.name:
            found.append(f"two holders with fence {event.fence}")
    return found


class Caller(threading.Thread):
    """Sends requests one after the other, on a kept connection while it lasts."""

    def __init__(self, world: "SoakWorld", seed: int) -> None:
        super().__init__(daemon=True)
        self.world = world
        self.random = random.Random(seed)
        self.asked: list[Asked] = []
        self.is_stopped = threading.Event()
        self.connection: socket.socket | None = None

    def run(self) -> None:
        while not self.is_stopped.is_set():
            self.asked.append(self.ask())
            time.sleep(self.random.uniform(0.0, 0.05))

    def ask(self, kind: str = "") -> Asked:
        kind = kind or self.random.choice(("read", "once", "resume", "stream"))
        name, sent_at = uuid4().hex[:16], time.time()
        try:
            found = self._exchange(kind, name)
        except (OSError, ValueError):
            self._drop()
            return Asked(name, kind, 0, False, b"", sent_at)
        return Asked(name, kind, *found, sent_at)

    def body(self) -> str:
        """Choose what is asked."""
        return "x"

    def _exchange(self, kind: str, name: str) -> tuple[int, bool, bytes]:
        if self.connection is None:
            gateway = self.random.choice(self.world.gateways)
            host, _, port = self.world.fleet.address(gateway).rpartition(":")
            self.connection = socket.create_connection((host, int(port)), timeout=4.0)
        lines = [
            f"POST /{kind}/x HTTP/1.1",
            f"Host: {HOST}",
            f"Pimentolink-Request-Id: {name}",
            "Pimentolink-Deadline-Ms: 3000",
            f"Content-Length: {len(self.body())}",
        ]
        if kind in ("resume", "stream"):
            lines += [
                f"Pimentolink-Prompt-Prefix: {PARTS}",
                "Pimentolink-Token-Counts: 1200,50",
            ]
        self.connection.sendall("\r\n".join([*lines, "", self.body()]).encode())
        return self._read()

    def _read(self) -> tuple[int, bool, bytes]:
        answer = http.client.HTTPResponse(self.connection, method="POST")
        answer.begin()
        try:
            body, is_whole = answer.read(), True
        except (http.client.IncompleteRead, OSError) as error:
            body, is_whole = getattr(error, "partial", b""), False
        if answer.will_close or not is_whole:
            self._drop()
        return answer.status, is_whole, body

    def _drop(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class FatalCaller(Caller):
    """Asks again and again for what crashes engines, at any gateway."""

    def run(self) -> None:
        while not self.is_stopped.is_set():
            self._drop()
            self.asked.append(self.ask("resume"))
            time.sleep(FATAL_EVERY)

    def body(self) -> str:
        return FATAL


def problems_of_fatal(asked: list[Asked], ran: list[Ran]) -> list[str]:
    """Check that a fatal request is kept from targets once it is known."""
    names = {request.name for request in asked}
    sent = [event for event in ran if event.name in names]
    crashes = sorted(event.at for event in sent if event.event == "crash")
    if len(crashes) < KNOWN_AFTER:
        return []
    known_at = crashes[KNOWN_AFTER - 1] + KNOWN_WITHIN
    late = [item for item in sent if item.event != "crash" and item.at > known_at]
    if len(late) <= MAX_FATAL:
        return []
    return [f"what crashed {len(crashes)} targets was sent to {len(late)} more"]


class SoakWorld(PlatformWorld):
    """A deployment whose every link goes through a fault proxy."""

    def __init__(
        self, fleet: Fleet, gateway_count: int = 2, lease: float = 10.0
    ) -> None:
        super().__init__(fleet)
        self.gateways = [f"gateway-{number}" for number in range(1, gateway_count + 1)]
        self.lease = lease
        self.gateway_settings: dict[str, object] = {}
        self.proxies: list[str] = []
        self.version = 1
        self.lives: dict[str, int] = {}
        self.listed_by_place: dict[str, tuple[str, str, str]] = {}
        self.left_at: dict[str, float] = {}
        self.born_by_name: dict[str, int] = {}

    def start(self) -> None:
        for place, service, phase in (
            ("reader", "llm", "prefill"),
            ("writer", "llm", "decode"),
            ("other-writer", "llm", "decode"),
            ("plain", "plain", ""),
            ("other-plain", "plain", ""),
        ):
            self.start_target(place, service, phase)
        self.configure(1)
        for number, name in enumerate(self.gateways):
            store = self.proxy(f"store-link-{number}", self.fleet.address("store"))
            settings = {"address": store, "timeout": 0.5, "backoff_most": 0.5}
            settings["lease"] = self.lease
            self.gateway(name, store=settings, **self.gateway_settings)

    def proxy(self, name: str, target: str) -> str:
        front = f"127.0.0.1:{free_port()}"
        words = (f"--front={front}", f"--target={target}")
        self.fleet.start(name, "tests.faultproxy", *words)
        self.fleet.settle()
        self.proxies.append(name)
        return front

    def start_target(self, place: str, service: str, phase: str) -> None:
        self.lives[place] = self.lives.get(place, 0) + 1
        name = f"{place}-{self.lives[place]}"
        words = [f"--instance={name}", "--gap=0.02", f"--pieces={PIECES}"]
        words += [f"--fatal={FATAL}"] + ([f"--phase={phase}"] if phase else [])
        self.fleet.start(name, "standins.platform_engine", *words)
        self.fleet.settle()
        self.born_by_name[name] = self.born(name)
        address = self.proxy(f"link-{name}", self.fleet.address(name))
        self.listed_by_place[place] = (name, service, phase)
        self.list_at(name, service, phase, address)

    def revive(self) -> None:
        """Start targets again that ended by what they ran, as new lives of them."""
        for name, service, phase in self.listed_by_place.values():
            if not self.fleet.processes_by_name[name].is_running:
                self.start_again(name, service, phase)

    def start_again(self, name: str, service: str, phase: str) -> None:
        """Start a target that ended; it keeps its name and its address."""
        self.fleet.start_again(name)
        self.fleet.settle()
        self.born_by_name[name] = self.born(name)
        self.list_at(name, service, phase, self.addresses[name])

    def list_at(self, name, service, phase, address, state="ready") -> None:
        entry = {"service": service, "address": address, "zone": "north", "slots": 8}
        entry |= {"born": self.born_by_name[name]}
        entry |= {"state": state} | ({"phase": phase} if phase else {})
        self.addresses = getattr(self, "addresses", {}) | {name: address}
        self.put(f"servers/{name}", entry)

    def ran(self) -> list[Ran]:
        found = []
        for name, process in self.fleet.processes_by_name.items():
            for line in process.log_path.read_text().splitlines():
                if line.startswith(('{"event": "r', '{"event": "o', '{"event": "c')):
                    told = json.loads(line)
                    fence = told.get("fence", 0)
                    found.append(
                        Ran(name, told["event"], told["name"], told["at"], fence)
                    )
        return found


class Faults:
    """A seeded series of faults that overlap."""

    def __init__(self, world: SoakWorld, seed: int) -> None:
        self.world = world
        self.random = random.Random(seed)
        self.undo: list[tuple[float, object]] = []

    def play(self) -> list[str]:
        """Play faults for a while; return what was done, in order."""
        played = []
        kinds = self.kinds()
        end = time.monotonic() + FAULTS_FOR
        while time.monotonic() < end:
            played.append(self.random.choice(kinds)())
            time.sleep(self.random.uniform(0.1, 0.8))
            self.undo_due()
            self.world.revive()
        self.undo_due(everything=True)
        return played

    def kinds(self) -> tuple:
        """Return the fault methods to choose from; repeating one raises its odds."""
        return (
            self.link,
            self.link,
            self.reset,
            self.freeze,
            self.terminate,
            self.kill,
            self.crash_target,
            self.restart_target,
            self.write_foreign,
            self.leave,
            self.configure,
            self.hang_up,
        )

    def later(self, seconds: float, call_back) -> None:
        self.undo.append((time.monotonic() + seconds, call_back))

    def undo_due(self, everything: bool = False) -> None:
        now = time.monotonic()
        due = [item for item in self.undo if everything or item[0] <= now]
        self.undo = [item for item in self.undo if item not in due]
        for _, call_back in due:
            call_back()

    def mode(self, name: str, mode: str) -> None:
        call(self.world.fleet.url(name, "/mode"), "PUT", mode)

    def link(self) -> str:
        name, mode = self.random.choice(self.world.proxies), self.random.choice(MODES)
        self.mode(name, mode)
        self.later(self.random.uniform(0.2, 2.0), lambda: self.mode(name, GOOD))
        return f"{name} {mode}"

    def reset(self) -> str:
        name = self.random.choice(self.world.proxies)
        self.mode(name, "reset")
        return f"{name} reset"

    def gateway(self):
        name = self.random.choice(self.world.gateways)
        return name, self.world.fleet.processes_by_name[name]

    def freeze(self) -> str:
        name, process = self.gateway()
        if process.is_running:
            process.pause()
            self.later(
                self.random.uniform(0.3, 2.0),
                lambda: process.is_running and process.resume(),
            )
        return f"{name} frozen"

    def start_again(self, name: str) -> None:
        process = self.world.fleet.processes_by_name[name]
        wait_until(lambda: not process.is_running, within=10.0)
        self.world.fleet.start_again(name)
        # A process that is frozen before it listens would be waited for in vain.
        self.world.fleet.settle()

    def terminate(self) -> str:
        name, process = self.gateway()
        if process.is_running:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
            self.later(0.0, lambda: self.start_again(name))
        return f"{name} terminated"

    def kill(self) -> str:
        name, process = self.gateway()
        if process.is_running:
            process.kill()
            self.later(0.3, lambda: self.start_again(name))
        return f"{name} killed"

    def hang_up(self) -> str:
        name, process = self.gateway()
        if process.is_running:
            process.send(signal.SIGHUP)
        return f"{name} hung up"

    def crash_target(self) -> str:
        place = self.random.choice(sorted(self.world.listed_by_place))
        name, service, phase = self.world.listed_by_place[place]
        self.world.fleet.processes_by_name[name].kill()

        def replace() -> None:
            self.world.remove(f"servers/{name}")

        self.later(1.5, replace)
        self.world.start_target(place, service, phase)
        return f"{name} crashed"

    def restart_target(self) -> str:
        """Start a target again that keeps its name and its address."""
        place = self.random.choice(sorted(self.world.listed_by_place))
        name, service, phase = self.world.listed_by_place[place]
        self.world.fleet.processes_by_name[name].kill()
        self.world.start_again(name, service, phase)
        return f"{name} restarted"

    def write_foreign(self) -> str:
        """Have another writer list what names no target."""
        entry = self.random.choice(
            ([], {}, {"service": "llm"}, {"service": "plain", "address": 7}, "x")
        )
        self.world.put(f"servers/stranger-{self.random.randint(1, 3)}", entry)
        return f"a stranger wrote {entry}"

    def leave(self) -> str:
        place = self.random.choice(sorted(self.world.listed_by_place))
        name, service, phase = self.world.listed_by_place[place]
        self.world.start_target(place, service, phase)
        address = self.world.addresses[name]
        self.world.list_at(name, service, phase, address, state="draining")
        self.later(4.0, lambda: self.world.remove(f"servers/{name}"))
        self.world.left_at[name] = time.time() + LEFT_WITHIN
        return f"{name} left"

    def configure(self) -> str:
        self.world.version += self.random.randint(1, 5)
        self.world.configure(self.world.version, added="plain")
        return f"version {self.world.version}"


def play(seed: int, keep: Path | None = None) -> list[str]:
    """
    Play one seed; return what was wrong.

    :param keep: folder that takes the logs of a run that failed.
    """
    with Fleet() as fleet:
        world = SoakWorld(fleet)
        world.start()
        callers = [Caller(world, seed * 100 + number) for number in range(CALLERS)]
        fatal = FatalCaller(world, seed)
        for caller in (*callers, fatal):
            caller.start()
        faults = Faults(world, seed)
        played = faults.play()
        for name in world.proxies:
            faults.mode(name, GOOD)
        found = recovery_problems(world, callers[0])
        for caller in (*callers, fatal):
            caller.is_stopped.set()
        for caller in (*callers, fatal):
            caller.join(10)
        asked = [request for caller in callers for request in caller.asked]
        ran = world.ran()
        found += problems(asked, ran, world.left_at)
        found += problems_of_fatal(fatal.asked, ran)
        found += fleet.faults()
        outcomes = sorted({request.status for request in asked})
        print(f"seed {seed}: {len(asked)} requests, {outcomes}, {played}", flush=True)
        if found and keep is not None:
            shutil.copytree(fleet.folder, keep / f"{seed}-{uuid4().hex[:6]}")
    return found


def recovery_problems(world: SoakWorld, like: Caller) -> list[str]:
    """Check that every kind of request is served again by every gateway."""
    missing = []
    for name in world.gateways:
        for kind in ("read", "once", "resume", "stream"):
            caller = Caller(world, 1)
            caller.world = _Only(world, name)
            try:
                wait_until(lambda c=caller, k=kind: serves(world, c, k), RECOVERY)
            except TimeoutError:
                missing.append(f"{name} does not serve {kind} after all faults")
    return missing


def serves(world: SoakWorld, caller: Caller, kind: str) -> bool:
    """Ask once, with all targets up."""
    world.revive()
    return caller.ask(kind).status == 200


class _Only:
    """A world of which only one gateway is used."""

    def __init__(self, world: SoakWorld, gateway: str) -> None:
        self.fleet = world.fleet
        self.gateways = [gateway]


def main(play_seed: Callable[[int, Path | None], list[str]] = play) -> int:
    """
    Play seeds; print the problems found with each.

    :param play_seed: plays one seed, given the seed and the folder for logs of failed
        runs, and returns the problems found.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--keep", type=Path, help="folder for the logs of failed runs")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        found = play_seed(seed, options.keep)
        failed += bool(found)
        for line in found[:10]:
            print(f"seed {seed}: PROBLEM {line}", flush=True)
    print(f"{options.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
