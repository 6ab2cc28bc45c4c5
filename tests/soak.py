"""
Injects random faults into real processes and checks what callers and targets observe.

``python -m tests.soak --seeds 50 --first 1`` runs one seed after the other.
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
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple
from uuid import uuid4

from tests.faultproxy import MODES, NO_FAULT
from tools.fleet import Fleet, call, free_port, wait_until
from tools.platformworld import HOST, PARTS, PlatformWorld

EVENTS_PER_STREAM = 6
FAULTS_FOR = 6.0
CALLERS = 6
# Events of targets that the checks of delivery use.
DELIVERY_EVENTS = ("run", "read", "order", "crash")
REFUSALS = {408, 421, 429, 503}
# A request body that crashes each engine that starts to run it, and the seconds between
# two requests with it.
FATAL_BODY = "fatal"
FATAL_INTERVAL = 0.4
# A part of a prompt that crashes each engine that starts to run it.
FATAL_PART = "ee01"
# Crashes after which the request counts as fatal, seconds until all gateways that reach
# the store know this, and how many more runs and prefills it may cause from then on.
CRASHES_UNTIL_KNOWN = 3
SECONDS_UNTIL_KNOWN = 3.0
MAX_EVENTS_ONCE_KNOWN = 3
# Seconds after the last fault within which all kinds of requests must be served again.
RECOVERY_SECONDS = 12.0
# Seconds from listing a target as draining until no request may reach it. A gateway may
# be frozen or cut off from the store for 2 s of them, more than once.
DRAIN_SECONDS = 8.0


class ClientRequest(NamedTuple):
    """
    A request and its response.

    :ivar name: request id.
    :ivar kind: name of the route.
    :ivar status: 0 if the connection broke.
    :ivar is_whole: whether the response was received completely.
    """

    name: str
    kind: str
    status: int
    is_whole: bool
    body: bytes
    sent_at: float


class TargetEvent(NamedTuple):
    """
    A logged event of a target.

    :ivar event: ``run``, ``read`` (a prefill), ``order`` or ``crash``; for calls that
        were not run, ``reject``, ``reset`` or ``ignore``.
    :ivar name: request id, or the holder that sent the order.
    :ivar at: seconds since the epoch.
    :ivar fence: fencing token of an order; otherwise 0.
    """

    target: str
    event: str
    name: str
    at: float
    fence: int


def problems(
    client_requests: list[ClientRequest],
    target_events: list[TargetEvent],
    drained_at: dict[str, float],
) -> list[str]:
    """
    Check the delivery guarantees against the observations of callers and targets.

    :param drained_at: time from which a target may receive no requests, by its name.
    """
    found = []
    run_events_by_name: dict[str, list[TargetEvent]] = {}
    for event in target_events:
        if event.event == "run":
            run_events_by_name.setdefault(event.name, []).append(event)
    for request in client_requests:
        run_events = run_events_by_name.get(request.name, [])
        found += _problems_of_request(request, run_events)
    for event in target_events:
        drain_end = drained_at.get(event.target)
        if event.event != "order" and drain_end is not None and event.at > drain_end:
            found.append(f"{event.name} reached {event.target} after it had left")
    return found + _problems_of_orders(target_events)


def _problems_of_request(
    request: ClientRequest, run_events: list[TargetEvent]
) -> list[str]:
    found = []
    if request.kind in ("once", "stream") and len(run_events) > 1:
        found.append(f"{request.kind} {request.name} ran {len(run_events)} times")
    if request.kind in ("once", "stream") and request.status in REFUSALS and run_events:
        found.append(f"{request.name} got {request.status} though it ran")
    if request.status == 200 and request.is_whole:
        found += _problems_of_answer(request)
    return found


def _problems_of_answer(request: ClientRequest) -> list[str]:
    if request.kind in ("read", "once"):
        owner = json.loads(request.body)["name"]
        return [] if owner == request.name else [f"{request.name} got {owner}'s answer"]
    lines = request.body.decode().splitlines()
    ids = [int(line[3:]) for line in lines if line.startswith("id:")]
    names = {json.loads(line[5:])["request"] for line in lines if line[:5] == "data:"}
    if ids != list(range(1, EVENTS_PER_STREAM + 1)):
        return [f"{request.name} got events {ids} as a whole stream"]
    if names != {request.name}:
        return [f"{request.name} got events of {names}"]
    return []


def _problems_of_orders(target_events: list[TargetEvent]) -> list[str]:
    found = []
    fences_by_target: dict[str, int] = {}
    holder_by_fence: dict[int, str] = {}
    for event in sorted(target_events, key=lambda item: item.at):
        if event.event != "order":
            continue
        if event.fence < fences_by_target.get(event.target, 0):
            found.append(f"{event.target} got order {event.fence} after a newer one")
        fences_by_target[event.target] = event.fence
        if holder_by_fence.setdefault(event.fence, event.name) != event.name:
            found.append(f"two holders with fence {event.fence}")
    return found


class Caller(threading.Thread):
    """
    Sends requests one after the other on a persistent connection.

    :cvar recovery_prompts: prompts that must be served once all faults have ended.
    :ivar max_pause: seconds between two requests, at most.
    """

    recovery_prompts: tuple[str, ...] = (PARTS,)

    def __init__(self, world: "SoakWorld", seed: int) -> None:
        super().__init__(daemon=True)
        self.world = world
        self.random = random.Random(seed)
        self.client_requests: list[ClientRequest] = []
        self.is_stopped = threading.Event()
        self.connection: socket.socket | None = None
        self.max_pause = 0.05

    def run(self) -> None:
        while not self.is_stopped.is_set():
            self.client_requests.append(self.send_request())
            time.sleep(self.random.uniform(0.0, self.max_pause))

    def send_request(self, kind: str = "") -> ClientRequest:
        kind = kind or self.random.choice(("read", "once", "resume", "stream"))
        name, sent_at = uuid4().hex[:16], time.time()
        try:
            found = self._exchange(kind, name)
        except (OSError, ValueError):
            self._close_connection()
            return ClientRequest(name, kind, 0, False, b"", sent_at)
        return ClientRequest(name, kind, *found, sent_at)

    def body(self) -> str:
        """Return the body of the next request."""
        return "x"

    def parts(self) -> str:
        """Return the parts of the next request's prompt."""
        return PARTS

    def _exchange(self, kind: str, name: str) -> tuple[int, bool, bytes]:
        if self.connection is None:
            gateway = self.random.choice(self.world.gateways)
            host, _, port = self.world.fleet.address(gateway).rpartition(":")
            self.connection = socket.create_connection((host, int(port)), timeout=4.0)
        body = self.body()
        lines = [
            f"POST /{kind}/x HTTP/1.1",
            f"Host: {HOST}",
            f"Pimentolink-Request-Id: {name}",
            "Pimentolink-Deadline-Ms: 3000",
            f"Content-Length: {len(body)}",
        ]
        if kind in ("resume", "stream"):
            lines += [
                f"Pimentolink-Prompt-Prefix: {self.parts()}",
                "Pimentolink-Token-Counts: 1200,50",
            ]
        self.connection.sendall("\r\n".join([*lines, "", body]).encode())
        return self._read()

    def _read(self) -> tuple[int, bool, bytes]:
        answer = http.client.HTTPResponse(self.connection, method="POST")
        answer.begin()
        try:
            body, is_whole = answer.read(), True
        except (http.client.IncompleteRead, OSError) as error:
            body, is_whole = getattr(error, "partial", b""), False
        if answer.will_close or not is_whole:
            self._close_connection()
        return answer.status, is_whole, body

    def _close_connection(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class RecoveryCaller(Caller):
    """Sends requests with one prompt to one gateway."""

    def __init__(self, world: "SoakWorld", gateway: str, prompt: str) -> None:
        super().__init__(_SingleGatewayWorld(world, gateway), 1)
        self.prompt = prompt

    def parts(self) -> str:
        return self.prompt


class FatalCaller(Caller):
    """
    Repeats a request that crashes engines, at a random gateway each time.

    :cvar crashes_until_known: crashes after which gateways must know the request.
    """

    crashes_until_known = CRASHES_UNTIL_KNOWN

    def run(self) -> None:
        while not self.is_stopped.is_set():
            self._close_connection()
            self.client_requests.append(self.send_request("resume"))
            time.sleep(FATAL_INTERVAL)

    def body(self) -> str:
        return FATAL_BODY


def fatal_request_problems(
    client_requests: list[ClientRequest],
    target_events: list[TargetEvent],
    crashes_until_known: int = CRASHES_UNTIL_KNOWN,
) -> list[str]:
    """Check that fatal requests are not sent to targets once they are known."""
    names = {request.name for request in client_requests}
    sent = [event for event in target_events if event.name in names]
    crashes = sorted(event.at for event in sent if event.event == "crash")
    if len(crashes) < crashes_until_known:
        return []
    known_at = crashes[crashes_until_known - 1] + SECONDS_UNTIL_KNOWN
    late = [item for item in sent if item.event != "crash" and item.at > known_at]
    if len(late) <= MAX_EVENTS_ONCE_KNOWN:
        return []
    return [f"what crashed {len(crashes)} targets was sent to {len(late)} more"]


class SoakWorld(PlatformWorld):
    """A deployment whose connections to the store and to targets use fault proxies."""

    def __init__(
        self, fleet: Fleet, gateway_count: int = 2, lease: float = 10.0
    ) -> None:
        super().__init__(fleet)
        self.gateways = [f"gateway-{number}" for number in range(1, gateway_count + 1)]
        self.lease = lease
        self.gateway_settings: dict[str, object] = {}
        self.proxies: list[str] = []
        self.version = 1
        self.start_count_by_replica: dict[str, int] = {}
        self.entry_by_replica: dict[str, tuple[str, str, str]] = {}
        self.drained_at: dict[str, float] = {}
        self.start_time_by_name: dict[str, int] = {}

    def start(self) -> None:
        for replica, service, phase in (
            ("reader", "llm", "prefill"),
            ("writer", "llm", "decode"),
            ("other-writer", "llm", "decode"),
            ("plain", "plain", ""),
            ("other-plain", "plain", ""),
        ):
            self.start_target(replica, service, phase)
        self.configure(1)
        for number, name in enumerate(self.gateways):
            store = self.proxy(f"store-link-{number}", self.fleet.address("store"))
            settings = {"address": store, "timeout": 0.5, "backoff_most": 0.5}
            settings["lease"] = self.lease
            self.gateway(name, store=settings, **self.gateway_settings)

    def proxy(self, name: str, target: str) -> str:
        front = f"127.0.0.1:{free_port()}"
        arguments = (f"--front={front}", f"--target={target}")
        self.fleet.start(name, "tests.faultproxy", *arguments)
        self.fleet.settle()
        self.proxies.append(name)
        return front

    def start_target(self, replica: str, service: str, phase: str) -> None:
        self.start_count_by_replica[replica] = (
            self.start_count_by_replica.get(replica, 0) + 1
        )
        name = f"{replica}-{self.start_count_by_replica[replica]}"
        arguments = [
            f"--instance={name}",
            "--gap=0.02",
            f"--pieces={EVENTS_PER_STREAM}",
        ]
        arguments += [f"--fatal={FATAL_BODY}", f"--fatal-part={FATAL_PART}"]
        arguments += [f"--phase={phase}"] if phase else []
        self.fleet.start(name, "standins.platform_engine", *arguments)
        self.fleet.settle()
        self.start_time_by_name[name] = self.born(name)
        address = self.proxy(f"link-{name}", self.fleet.address(name))
        self.entry_by_replica[replica] = (name, service, phase)
        self.put_entry(name, service, phase, address)

    def restart_ended_targets(self) -> None:
        """Restart targets that crashed because of a request they ran."""
        for name, service, phase in self.entry_by_replica.values():
            if not self.fleet.processes_by_name[name].is_running:
                self.start_again(name, service, phase)

    def start_again(self, name: str, service: str, phase: str) -> None:
        """Restart a target that has ended, with the same name and address."""
        self.fleet.start_again(name)
        self.fleet.settle()
        self.start_time_by_name[name] = self.born(name)
        self.put_entry(name, service, phase, self.addresses[name])

    def put_entry(self, name, service, phase, address, state="ready") -> None:
        entry = {"service": service, "address": address, "zone": "north", "slots": 8}
        entry |= {"born": self.start_time_by_name[name]}
        entry |= {"state": state} | ({"phase": phase} if phase else {})
        self.addresses = getattr(self, "addresses", {}) | {name: address}
        self.put(f"servers/{name}", entry)

    def target_events(
        self, kinds: tuple[str, ...] = DELIVERY_EVENTS
    ) -> list[TargetEvent]:
        """Return the logged events of all targets that are of the given kinds."""
        starts = tuple(f'{{"event": "{kind}"' for kind in kinds)
        found = []
        for name, process in self.fleet.processes_by_name.items():
            for line in process.log_path.read_text().splitlines():
                if line.startswith(starts):
                    record = json.loads(line)
                    fence = record.get("fence", 0)
                    found.append(
                        TargetEvent(
                            name, record["event"], record["name"], record["at"], fence
                        )
                    )
        return found


class Faults:
    """Injects a seeded sequence of overlapping faults."""

    def __init__(self, world: SoakWorld, seed: int) -> None:
        self.world = world
        self.random = random.Random(seed)
        self.scheduled: list[tuple[float, object]] = []

    def play(self) -> list[str]:
        """Inject faults for ``FAULTS_FOR`` seconds; return a description of each."""
        played = []
        kinds = self.kinds()
        end = time.monotonic() + FAULTS_FOR
        while time.monotonic() < end:
            played.append(self.random.choice(kinds)())
            self.change_target_faults()
            time.sleep(self.random.uniform(0.1, 0.8))
            self.run_due()
            self.world.restart_ended_targets()
        self.run_due(run_all=True)
        return played

    def finish(self, fatal: FatalCaller) -> list[str]:
        """
        Inject the last faults, after all others have ended.

        :param fatal: repeats the request that crashes engines.
        :returns: a description of each.
        """
        return []

    def kinds(self) -> tuple:
        """Return the fault methods to draw from; a repeated one is drawn more often."""
        return (
            self.set_link_fault,
            self.set_link_fault,
            self.reset,
            self.freeze,
            self.terminate,
            self.kill,
            self.crash_target,
            self.restart_target,
            self.put_invalid_entry,
            self.drain_target,
            self.configure,
            self.send_hangup,
        )

    def schedule(self, seconds: float, callback) -> None:
        """Run a callback between two faults once at least ``seconds`` have passed."""
        self.scheduled.append((time.monotonic() + seconds, callback))

    def run_due(self, run_all: bool = False) -> None:
        """Run the scheduled callbacks that are due, or all of them."""
        now = time.monotonic()
        due = [item for item in self.scheduled if run_all or item[0] <= now]
        self.scheduled = [item for item in self.scheduled if item not in due]
        for _, callback in due:
            callback()

    def set_mode(self, name: str, mode: str) -> None:
        call(self.world.fleet.url(name, "/mode"), "PUT", mode)

    def set_link_fault(self) -> str:
        name, mode = self.random.choice(self.world.proxies), self.random.choice(MODES)
        self.set_mode(name, mode)
        self.schedule(
            self.random.uniform(0.2, 2.0), lambda: self.set_mode(name, NO_FAULT)
        )
        return f"{name} {mode}"

    def reset(self) -> str:
        name = self.random.choice(self.world.proxies)
        self.set_mode(name, "reset")
        return f"{name} reset"

    def gateway(self):
        name = self.random.choice(self.world.gateways)
        return name, self.world.fleet.processes_by_name[name]

    def freeze(self) -> str:
        name, process = self.gateway()
        if process.is_running:
            process.pause()
            self.schedule(
                self.random.uniform(0.3, 2.0),
                lambda: process.is_running and process.resume(),
            )
        return f"{name} frozen"

    def start_again(self, name: str) -> None:
        """Wait until a gateway has ended, then restart it."""
        process = self.world.fleet.processes_by_name[name]
        wait_until(lambda: not process.is_running, within=10.0)
        self.world.fleet.start_again(name)
        # If another fault froze the process before it listens, the next wait for it
        # would time out.
        self.world.fleet.settle()

    def terminate(self) -> str:
        name, process = self.gateway()
        if process.is_running:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
            self.schedule(0.0, lambda: self.start_again(name))
        return f"{name} terminated"

    def kill(self) -> str:
        name, process = self.gateway()
        if process.is_running:
            process.kill()
            self.schedule(0.3, lambda: self.start_again(name))
        return f"{name} killed"

    def send_hangup(self) -> str:
        name, process = self.gateway()
        if process.is_running:
            process.send(signal.SIGHUP)
        return f"{name} hung up"

    def crash_target(self) -> str:
        replica = self.random.choice(sorted(self.world.entry_by_replica))
        name, service, phase = self.world.entry_by_replica[replica]
        self.world.fleet.processes_by_name[name].kill()

        def remove_entry() -> None:
            self.world.remove(f"servers/{name}")

        self.schedule(1.5, remove_entry)
        self.world.start_target(replica, service, phase)
        return f"{name} crashed"

    def restart_target(self) -> str:
        """Restart a target under the same name and address."""
        replica = self.random.choice(sorted(self.world.entry_by_replica))
        name, service, phase = self.world.entry_by_replica[replica]
        self.world.fleet.processes_by_name[name].kill()
        self.world.start_again(name, service, phase)
        return f"{name} restarted"

    def change_target_faults(self) -> None:
        """Do nothing: all streams end in chunks, and all refusals are true."""

    def set_target_faults(self, is_for_all: bool, **faults: object) -> None:
        """
        Change the faults of the listed targets.

        :param is_for_all: whether plain targets are included, not engines alone.
        """
        for name, _, phase in self.world.entry_by_replica.values():
            # One that crashes meanwhile keeps its other faults.
            with suppress(OSError):
                if phase or is_for_all:
                    self.world.fault(name, **faults)

    def put_invalid_entry(self) -> str:
        """Write an invalid target entry, as a faulty client of the store would."""
        entry = self.random.choice(
            ([], {}, {"service": "llm"}, {"service": "plain", "address": 7}, "x")
        )
        self.world.put(f"servers/stranger-{self.random.randint(1, 3)}", entry)
        return f"a stranger wrote {entry}"

    def drain_target(self) -> str:
        replica = self.random.choice(sorted(self.world.entry_by_replica))
        name, service, phase = self.world.entry_by_replica[replica]
        self.world.start_target(replica, service, phase)
        address = self.world.addresses[name]
        self.world.put_entry(name, service, phase, address, state="draining")
        self.schedule(4.0, lambda: self.world.remove(f"servers/{name}"))
        self.world.drained_at[name] = time.time() + DRAIN_SECONDS
        return f"{name} left"

    def configure(self) -> str:
        self.world.version += self.random.randint(1, 5)
        self.world.configure(self.world.version, added="plain")
        return f"version {self.world.version}"


class StreamEndFaults(Faults):
    """Changes how engines delimit streams and end them, beside all other faults."""

    def __init__(self, world: SoakWorld, seed: int) -> None:
        super().__init__(world, seed)
        # A source of its own, so that a seed draws the same other faults without it.
        self.stream_random = random.Random(f"streams {seed}")

    def change_target_faults(self) -> None:
        """Draw anew which streams have no chunks and which end within an event."""
        self.set_target_faults(
            is_for_all=False,
            unframed_share=self.stream_random.choice((0.0, 0.5, 1.0)),
            truncate_share=self.stream_random.choice((0.0, 0.1, 0.3)),
        )


def play(
    seed: int,
    keep: Path | None = None,
    faults_type: type[Faults] = StreamEndFaults,
    caller_type: type[Caller] = Caller,
    fatal_type: type[FatalCaller] = FatalCaller,
) -> list[str]:
    """
    Run the soak with one seed; return the problems found.

    :param keep: folder to which the logs of a failed run are copied.
    """
    with Fleet() as fleet:
        world = SoakWorld(fleet)
        world.start()
        callers = [caller_type(world, seed * 100 + number) for number in range(CALLERS)]
        fatal = fatal_type(world, seed)
        for caller in (*callers, fatal):
            caller.start()
        faults = faults_type(world, seed)
        faults.change_target_faults()
        played = faults.play()
        for name in world.proxies:
            faults.set_mode(name, NO_FAULT)
        played += faults.finish(fatal)
        found = recovery_problems(world, callers[0])
        for caller in (*callers, fatal):
            caller.is_stopped.set()
        for caller in (*callers, fatal):
            caller.join(10)
        client_requests = [
            request for caller in callers for request in caller.client_requests
        ]
        target_events = world.target_events()
        found += problems(client_requests, target_events, world.drained_at)
        found += fatal_request_problems(
            fatal.client_requests, target_events, fatal.crashes_until_known
        )
        found += fleet.faults()
        statuses = sorted({request.status for request in client_requests})
        print(
            f"seed {seed}: {len(client_requests)} requests, {statuses}, {played}",
            flush=True,
        )
        if found and keep is not None:
            shutil.copytree(fleet.folder, keep / f"{seed}-{uuid4().hex[:6]}")
    return found


def recovery_problems(world: SoakWorld, like: Caller) -> list[str]:
    """Check that every gateway serves every kind of request again."""
    missing = []
    expected = [(kind, PARTS) for kind in ("read", "once")]
    expected += [
        (kind, prompt)
        for kind in ("resume", "stream")
        for prompt in like.recovery_prompts
    ]
    for name in world.gateways:
        for kind, prompt in expected:
            caller = RecoveryCaller(world, name, prompt)
            try:
                wait_until(
                    lambda c=caller, k=kind: is_served(world, c, k), RECOVERY_SECONDS
                )
            except TimeoutError:
                missing.append(
                    f"{name} does not serve {kind} with {prompt} after all faults"
                )
    return missing


def is_served(world: SoakWorld, caller: Caller, kind: str) -> bool:
    """Restart ended targets, send one request and check that it succeeds."""
    world.restart_ended_targets()
    return caller.send_request(kind).status == 200


class _SingleGatewayWorld:
    """The part of a world that a caller uses, reduced to one gateway."""

    def __init__(self, world: SoakWorld, gateway: str) -> None:
        self.fleet = world.fleet
        self.gateways = [gateway]


def main(play_seed: Callable[[int, Path | None], list[str]] = play) -> int:
    """
    Run the soak with several seeds; print the problems found with each.

    :param play_seed: runs one seed, given the seed and the folder for logs of failed
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
