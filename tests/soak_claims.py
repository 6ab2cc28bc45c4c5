"""
Repeats calls under one idempotency key beside faults of real processes.

``python -m tests.soak_claims --seeds 50 --first 1`` runs one seed after the other. With
``--listen``, this module is one of the services that are called.
"""

import io
import json
import random
import shutil
import socket
import sys
import threading
import time
from collections import Counter
from http.client import HTTPException, HTTPResponse
from pathlib import Path
from typing import NamedTuple
from uuid import uuid4

from standins.plain_service import PlainServiceStandIn
from standins.web import listen, parse, raw_body
from tests.builders import configuration
from tests.soak import NO_FAULT, Faults, main
from tools.fleet import Fleet, call, free_port, wait_until

SIZE = 3
CALLERS = 8
CALL_DURATION = 0.15
PATIENCE = 1.5
# The shorter timeout ends while calls still run, so that they are repeated beside.
CALLER_TIMEOUTS = (0.25, 4.0)
MAX_ATTEMPTS = 3
RECENT_KEYS = 6
# Seconds after the last fault within which each entry must complete a new call.
RECOVERY_SECONDS = 15.0
LINKS = {"silence": 1.0, "heartbeat": 0.25, "reconnect": 0.1}
STORE_FAULTS = ({"down": True}, {"delay": 0.2}, {"delay": 0.8}, {"lose_answers": 3})
NO_STORE_FAULT = {"down": False, "delay": 0.0, "lose_answers": 0}
COMPLETE, BROKEN = "complete", "broken"
RUN_PREFIX = "ran "


class Call(NamedTuple):
    """
    One request under a key, as its caller observed it.

    :ivar request_id: the entry's name of the request; empty if it sent none.
    :ivar outcome: ``COMPLETE``, the code of an error, or ``BROKEN`` without a response.
    :ivar may_have_run: ``False`` if the response says that the request did not run.
    :ivar ran: the key that the service ran, if it responded.
    """

    key: str
    entry: str
    request_id: str
    outcome: str
    may_have_run: bool
    ran: str = ""


class Run(NamedTuple):
    """One run of a call at a service, on behalf of one of the requests for it."""

    key: str
    request_id: str


def problems(calls: list[Call], runs: list[Run]) -> list[str]:
    """
    Check what callers were told against what the services ran.

    :param runs: those of all services.
    """
    found = []
    run_count_by_key = Counter(run.key for run in runs)
    ids_that_ran = {run.request_id for run in runs}
    unknown_keys = {item.key for item in calls if item.may_have_run}
    for key, count in run_count_by_key.items():
        if count > 1:
            found.append(f"{key} ran {count} times")
        if key not in unknown_keys:
            found.append(f"{key} ran, and each response said that it did not")
    for item in calls:
        if not item.may_have_run and item.request_id in ids_that_ran:
            found.append(f"request {item.request_id} is {item.outcome} though it ran")
        if item.outcome == COMPLETE and item.ran != item.key:
            found.append(f"{item.key} got the response to {item.ran}")
        has_run = run_count_by_key[item.key] > 0
        if item.outcome in (COMPLETE, "already_run") and not has_run:
            found.append(f"{item.key} is {item.outcome} and did not run")
    response_count_by_id = Counter(item.request_id for item in calls if item.request_id)
    for request_id, count in response_count_by_id.items():
        if count > 1:
            found.append(f"request {request_id} got {count} responses")
    return found


class LoggedService(PlainServiceStandIn):
    """Logs each run, since counts in memory would end with the process."""

    def call(self, request) -> None:
        request_id = request.getHeader("x-request-id").partition(".")[0]
        run = Run(raw_body(request).decode(), request_id)
        sys.stdout.write(RUN_PREFIX + json.dumps(run) + "\n")
        sys.stdout.flush()
        request.content.seek(0)
        super().call(request)


class ResponseReader(io.BufferedReader):
    """
    Reads all responses of one connection.

    A reader of its own for each response would drop a second one that it had buffered.
    """

    def makefile(self, mode: str) -> "ResponseReader":
        return self

    def close(self) -> None:
        """Stay open for the next response."""


class Caller(threading.Thread):
    """Makes calls on open connections and repeats them at other entries."""

    def __init__(self, world: "ClaimsWorld", seed: int) -> None:
        super().__init__(daemon=True)
        self.world = world
        self.random = random.Random(seed)
        self.calls: list[Call] = []
        self.is_stopped = threading.Event()
        self.connection_by_entry: dict[str, tuple[socket.socket, ResponseReader]] = {}

    def run(self) -> None:
        while not self.is_stopped.is_set():
            key = self.choose_key()
            for entry in self.random.choices(self.world.entries, k=MAX_ATTEMPTS):
                timeout = self.random.choice(CALLER_TIMEOUTS)
                outcome = self.make_call(key, entry, timeout)
                time.sleep(self.random.uniform(0.0, 0.05))
                if outcome == COMPLETE and self.random.random() < 0.7:
                    break
        # A second response to an earlier call would be read as one to these calls.
        for entry in list(self.connection_by_entry):
            self.make_call(self.make_key(), entry)

    def make_key(self) -> str:
        key = uuid4().hex[:16]
        self.world.keys.append(key)
        return key

    def choose_key(self) -> str:
        """Choose a new key, one that other callers may be using, or any earlier one."""
        drawn, keys = self.random.random(), self.world.keys
        if not keys or drawn < 0.5:
            return self.make_key()
        return self.random.choice(keys if drawn > 0.9 else keys[-RECENT_KEYS:])

    def make_call(self, key: str, entry: str, timeout: float = 4.0) -> str:
        """Make one call and record it, unless the entry accepts no connection."""
        if entry not in self.connection_by_entry:
            host, _, port = self.world.fleet.address(entry).rpartition(":")
            try:
                opened = socket.create_connection((host, int(port)), timeout=2.0)
            except OSError:
                return BROKEN
            reader = ResponseReader(opened.makefile("rb", 0))
            self.connection_by_entry[entry] = opened, reader
        try:
            result = self._exchange(key, entry, timeout)
        except (OSError, ValueError, HTTPException):
            self._close_connection(entry)
            result = Call(key, entry, "", BROKEN, may_have_run=True)
        self.calls.append(result)
        return result.outcome

    def _exchange(self, key: str, entry: str, timeout: float) -> Call:
        connection, reader = self.connection_by_entry[entry]
        connection.settimeout(timeout)
        head = ["POST /services/dispatch/send HTTP/1.1", "Host: soak"]
        head += [f"Idempotency-Key: {key}", f"Content-Length: {len(key)}"]
        connection.sendall("\r\n".join([*head, "", key]).encode())
        response = HTTPResponse(reader, method="POST")
        response.begin()
        body = json.loads(response.read())
        if response.will_close:
            self._close_connection(entry)
        request_id = response.getheader("pimentolink-request", "")
        if response.status == 200:
            return Call(key, entry, request_id, COMPLETE, True, body["ran"])
        error = body["error"]
        return Call(key, entry, request_id, error["code"], error["ran"])

    def _close_connection(self, entry: str) -> None:
        self.connection_by_entry.pop(entry)[0].close()


class ClaimsWorld:
    """Entries and sidecars before plain services, with fault proxies between them."""

    def __init__(self, fleet: Fleet, seed: int, size: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.entries = [f"entry-{number}" for number in range(size)]
        self.places_by_target = {f"dispatch-{n}": f"place-{n}" for n in range(size)}
        self.targets = list(self.places_by_target)
        sidecars = [f"sidecar-{name}" for name in self.targets]
        self.processes = [*self.entries, *sidecars, *self.targets]
        self.proxies: list[str] = []
        self.keys: list[str] = []

    def start(self) -> None:
        self.fleet.start_platform()
        for target, place in self.places_by_target.items():
            self.start_target(target, place)
        # Entries with few links call one key through different sidecars.
        links = {**LINKS, "most_links": self.random.choice((1, 2, 512))}
        routing = {"ejection_most": 1.0}
        options = {"links": links, "routing": routing, "stop_within": 3.0}
        places = self.places_by_target.values()
        for entry, place in zip(self.entries, places, strict=True):
            self.fleet.start_entry(entry, place, **options)
        self.fleet.apply(self.make_configuration())

    def make_configuration(self) -> dict[str, object]:
        places = self.places_by_target
        document = configuration(
            data_centres={place: {"region": "east"} for place in places.values()},
            models={},
            targets={name: {"data_centre": place} for name, place in places.items()},
        )
        del document["services"]["claims"]
        document["work"]["dispatch"]["patience"] = PATIENCE
        partitions = self.random.randint(1, 3)
        change = {"targets": self.targets, "claim_partitions": partitions}
        document["services"]["dispatch"].update(change)
        return document

    def start_target(self, name: str, place: str) -> None:
        self.fleet.start(name, "tests.soak_claims")
        address = f"127.0.0.1:{free_port()}"
        store = self.start_proxy(f"store-{name}", self.fleet.address("key_value"))
        platform = {**self.fleet.platform_settings(), "timeout": 0.5}
        self.fleet.start_sidecar(
            name,
            place,
            address,
            advertise=self.start_proxy(f"link-{name}", address),
            platform={**platform, "key_value": store},
            links=LINKS,
            claims={"commit_interval": 0.05, "answers": 20},
            probe_interval=0.3,
            target_timeout=1.0,
            stop_within=3.0,
        )

    def start_proxy(self, name: str, target: str) -> str:
        front = f"127.0.0.1:{free_port()}"
        arguments = (f"--front={front}", f"--target={target}")
        self.fleet.start(name, "tests.faultproxy", *arguments)
        self.proxies.append(name)
        return front

    def restart_ended_targets(self) -> None:
        """Restart each process that has ended, without waiting until it listens."""
        for name in self.processes:
            if not self.fleet.processes_by_name[name].is_running:
                self.fleet.start_again(name)

    def command_target(self, target: str, command: str) -> bool:
        """Drain a target or return it to service, as an operator would."""
        platform = str(self.fleet.folder / "platform.json")
        arguments = ("target", command, target, "--platform", platform)
        return self.fleet.command(*arguments).returncode == 0

    def recovery_problems(self) -> list[str]:
        """Check that each entry completes new calls."""
        found, caller = [], Caller(self, 0)

        def is_served(entry: str) -> bool:
            self.restart_ended_targets()
            return caller.make_call(uuid4().hex, entry) == COMPLETE

        for entry in self.entries:
            try:
                wait_until(lambda name=entry: is_served(name), RECOVERY_SECONDS)
            except TimeoutError:
                found.append(f"{entry} completes no call without faults")
        return found

    def runs(self) -> list[Run]:
        return [
            Run(*json.loads(line.removeprefix(RUN_PREFIX)))
            for target in self.targets
            for line in self.fleet.processes_by_name[target].log_path.open()
            if line.startswith(RUN_PREFIX)
        ]


class ClaimFaults(Faults):
    """Faults of each process on the way of a call, and of the claims' store."""

    def __init__(self, world: ClaimsWorld, seed: int) -> None:
        super().__init__(world, seed)
        self.commands: list[threading.Thread] = []

    def kinds(self) -> tuple:
        faults_of_processes = (self.freeze, self.terminate, self.kill, self.kill)
        faults_of_links = (self.set_link_fault, self.set_link_fault, self.reset)
        others = (self.fault_store, self.drain, self.play_two)
        return (*faults_of_processes, *faults_of_links, *others)

    def play_two(self) -> str:
        """Inject two faults at the same time."""
        return " and ".join(self.random.choice(self.kinds())() for _ in range(2))

    def gateway(self):
        name = self.random.choice(self.world.processes)
        return name, self.world.fleet.processes_by_name[name]

    def start_again(self, name: str) -> None:
        """Leave the restart to the world."""

    def put(self, name: str, path: str, value: object) -> None:
        # Fleet.url() would wait for restarted processes, which may be frozen.
        call(f"http://{self.world.fleet.address(name)}{path}", "PUT", value)

    def set_mode(self, name: str, mode: str) -> None:
        self.put(name, "/mode", mode)

    def set_store_fault(self, fault: dict[str, object]) -> None:
        self.put("key_value", "/faults", fault)

    def fault_store(self) -> str:
        fault, seconds = self.random.choice(STORE_FAULTS), self.random.uniform(0.2, 2.0)
        self.set_store_fault(fault)
        self.schedule(seconds, lambda: self.set_store_fault(NO_STORE_FAULT))
        return f"store {fault}"

    def command_target(self, target: str, command: str) -> None:
        arguments = (target, command)
        thread = threading.Thread(target=self.world.command_target, args=arguments)
        thread.start()
        self.commands.append(thread)

    def drain(self) -> str:
        name = self.random.choice(self.world.targets)
        self.command_target(name, "drain")
        self.schedule(1.0, lambda: self.command_target(name, "return"))
        return f"{name} drained"

    def end(self) -> None:
        """End the faults that do not end as scheduled."""
        for name in self.world.proxies:
            self.set_mode(name, NO_FAULT)
        self.set_store_fault(NO_STORE_FAULT)
        for command in self.commands:
            command.join()
        for name in self.world.targets:
            wait_until(lambda n=name: self.world.command_target(n, "return"))


def play(seed: int, keep: Path | None = None, size: int = SIZE) -> list[str]:
    """
    Run the soak with one seed; return the problems found.

    :param keep: folder to which the logs of a failed run are copied.
    :param size: number of entries, and of services with a sidecar.
    """
    with Fleet() as fleet:
        world = ClaimsWorld(fleet, seed, size)
        world.start()
        found = world.recovery_problems()
        callers = [Caller(world, seed * 100 + number) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        faults = ClaimFaults(world, seed)
        played = faults.play()
        faults.end()
        found += world.recovery_problems()
        for caller in callers:
            caller.is_stopped.set()
        for caller in callers:
            caller.join(30)
        calls = [item for caller in callers for item in caller.calls]
        keys = {item.key for item in calls}
        runs = [run for run in world.runs() if run.key in keys]
        found += problems(calls, runs) + fleet.faults()
        outcomes = dict(Counter(item.outcome for item in calls))
        print(
            f"seed {seed}: {len(calls)} calls, {len(keys)} keys, {len(runs)} runs, "
            f"{outcomes}, {played}",
            flush=True,
        )
        if found and keep is not None:
            folder = keep / f"{seed}-{uuid4().hex[:6]}"
            shutil.copytree(fleet.folder, folder)
            (folder / "calls.txt").write_text("\n".join(map(str, calls)))
    return found


if __name__ == "__main__":
    if "--listen" in sys.argv:
        options = parse(__doc__, duration=CALL_DURATION)
        listen(LoggedService(options.duration).routes, options.listen)
    else:
        sys.exit(main(play))
