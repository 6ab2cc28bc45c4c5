"""
Changes the configuration beside faults of the store and of gateways.

``python -m tests.soak_configuration --seeds 50 --first 1`` runs one seed after the
other.
"""

import http.client
import itertools
import random
import shutil
import signal
import sys
import threading
import time
from pathlib import Path
from typing import NamedTuple
from uuid import uuid4

from tests.soak import main
from tools.fleet import Fleet, call, wait_until
from tools.platformworld import HOST, PlatformWorld

GATEWAYS = 3
ROUNDS = 3
# Seconds after its acknowledgement within which a version must be in force.
ADOPTION_LIMIT = 2.0
# Seconds after the last fault from which on the limit holds.
SETTLING_TIME = 3.0
# Seconds for which faults are injected in a round, and for which gateways are probed
# once the limit holds.
FAULTS_FOR = 2.0
PROBED_FOR = 0.6
# Number of probes of the newest version for each of the route that it dropped.
PROBES_PER_DROPPED_ROUTE = 4


class Probe(NamedTuple):
    """
    A request on the route of one version, and its response.

    :ivar life: number of the gateway's process.
    :ivar version: the only version with the requested route.
    :ivar status: 0 if the connection broke.
    :ivar error: why it broke.
    """

    gateway: str
    life: int
    version: int
    status: int
    sent_at: float
    error: str = ""


class Interval(NamedTuple):
    """A time in which every gateway must use one version."""

    version: int
    start: float
    end: float


def problems(probes: list[Probe], intervals: list[Interval]) -> list[str]:
    """
    Check that versions are in force in time and that no process goes back.

    :param probes: in the order in which they were sent to each gateway.
    """
    found = []
    newest_by_life: dict[tuple[str, int], int] = {}
    for probe in probes:
        life = (probe.gateway, probe.life)
        newest = newest_by_life.get(life, 0)
        if probe.status == 200 and probe.version < newest:
            found.append(f"{probe.gateway} returned from {newest} to {probe.version}")
        if probe.status == 200:
            newest_by_life[life] = max(newest, probe.version)
    for interval in intervals:
        for probe in probes:
            if not interval.start <= probe.sent_at <= interval.end:
                continue
            expected = 200 if probe.version == interval.version else 404
            if probe.status != expected:
                found.append(
                    f"{probe.gateway} responded {probe.status} {probe.error} on the "
                    f"route of version {probe.version} at {probe.sent_at:.3f} while "
                    f"{interval.version} must be in force"
                )
    return found


class Prober(threading.Thread):
    """Requests the routes of the newest versions, on a connection that stays open."""

    def __init__(self, world: "ConfigurationWorld", gateway: str) -> None:
        super().__init__(daemon=True)
        self.world = world
        self.gateway = gateway
        self.probes: list[Probe] = []
        self.is_stopped = threading.Event()
        self.connection: http.client.HTTPConnection | None = None

    def run(self) -> None:
        # The gateway closes a connection after it refused an unknown route.
        for number in itertools.count():
            if self.is_stopped.is_set():
                return
            version = self.world.version
            self.probes.append(self.send_probe(version))
            if number % PROBES_PER_DROPPED_ROUTE == 0:
                self.probes.append(self.send_probe(version - 1))
            time.sleep(0.03)

    def send_probe(self, version: int) -> Probe:
        life, sent_at = self.world.life_by_gateway[self.gateway], time.monotonic()
        error = ""
        headers = {
            "Host": HOST,
            "Pimentolink-Request-Id": uuid4().hex[:16],
            "Pimentolink-Deadline-Ms": "1000",
        }
        try:
            if self.connection is None:
                self.connection = self.world.connection(self.gateway)
                self.connection.timeout = 2.0
            self.connection.request("POST", f"/v{version}/x", b"x", headers)
            status = self._read_status(self.connection)
        except (OSError, http.client.HTTPException) as failure:
            status, error = 0, repr(failure)
            if self.connection is not None:
                self.connection.close()
            self.connection = None
        return Probe(self.gateway, life, version, status, sent_at, error)

    def _read_status(self, connection: http.client.HTTPConnection) -> int:
        response = connection.getresponse()
        response.read()
        return response.status


class ConfigurationWorld(PlatformWorld):
    """Gateways of which each version of the configuration has a route of its own."""

    def __init__(self, fleet: Fleet, seed: int, gateway_count: int) -> None:
        super().__init__(fleet)
        self.random = random.Random(seed)
        self.gateways = [f"gateway-{number}" for number in range(1, gateway_count + 1)]
        self.life_by_gateway = dict.fromkeys(self.gateways, 1)
        self.version = 1
        self.stopping: set[str] = set()
        self.played: list[str] = []

    def start(self) -> None:
        self.target("plain-1", "plain")
        self.change()
        for name in self.gateways:
            self.fleet.start_gateway(name, adopt_within_ms=int(ADOPTION_LIMIT * 1000))
        self.fleet.settle()
        for name in self.gateways:
            wait_until(lambda n=name: self.is_ready(n), what=f"{name} to be ready")

    def change(self) -> None:
        version = self.version + 1
        self.configure(version, **{f"v{version}": "plain"})
        # Probes may request the new route only once the change is acknowledged.
        self.version = version

    def inject_faults(self) -> None:
        """Inject overlapping faults and changes, then end all faults."""
        kinds = (
            self.drop_watches_after_a_change,
            self.silence_after_a_change,
            self.stop_store,
            self.compact,
            self.freeze,
            self.kill,
            self.terminate,
            self.change,
        )
        end = time.monotonic() + FAULTS_FOR
        while time.monotonic() < end:
            kind = self.random.choice(kinds)
            self.played.append(kind.__name__)
            kind()
            time.sleep(self.random.uniform(0.0, 0.4))
        self.set_store_fault()
        for name in self.gateways:
            process = self.fleet.processes_by_name[name]
            if process.is_running:
                process.send(signal.SIGCONT)
            self.restart_if_ended(name)

    def set_store_fault(self, down: str = "", lose_watches: bool = False) -> None:
        self.fault("store", down=down, lose_watches=lose_watches)

    def drop_watches_after_a_change(self) -> None:
        self.change()
        time.sleep(self.random.uniform(0.0, 0.2))
        self.set_store_fault(lose_watches=True)
        time.sleep(self.random.uniform(0.2, 0.5))
        self.set_store_fault()

    def silence_after_a_change(self) -> None:
        self.change()
        time.sleep(self.random.uniform(0.0, 0.2))
        self.set_store_fault(down="silent")
        time.sleep(self.random.uniform(0.2, 1.2))
        self.set_store_fault()

    def stop_store(self) -> None:
        self.set_store_fault(down=self.random.choice(("busy", "reset", "silent")))

    def compact(self) -> None:
        call(self.fleet.url("store", "/compact"), "PUT", {})

    def freeze(self) -> None:
        self._running_gateway().pause()

    def kill(self) -> None:
        self._running_gateway().kill()

    def terminate(self) -> None:
        process = self._running_gateway()
        process.send(signal.SIGCONT)
        process.send(signal.SIGTERM)
        self.stopping.add(process.name)

    def _running_gateway(self):
        name = self.random.choice(self.gateways)
        self.restart_if_ended(name)
        return self.fleet.processes_by_name[name]

    def restart_if_ended(self, name: str) -> None:
        """Restart a gateway that has ended or is about to."""
        process = self.fleet.processes_by_name[name]
        if process.is_running and name not in self.stopping:
            return
        self.stopping.discard(name)
        wait_until(lambda: not process.is_running, within=12.0)
        self.life_by_gateway[name] += 1
        self.fleet.start_again(name)
        self.fleet.settle()

    def check_round(self, probers: list["Prober"]) -> Interval:
        """Change the configuration after the faults, and wait until it must be used."""
        calm_since = time.monotonic()
        time.sleep(self.random.uniform(0.0, SETTLING_TIME - ADOPTION_LIMIT))
        self.change()
        start = max(calm_since + SETTLING_TIME, time.monotonic() + ADOPTION_LIMIT)
        end = start + PROBED_FOR
        time.sleep(end - time.monotonic())
        # The next faults must not affect probes that were sent in the interval.
        wait_until(lambda: all(prober.probes[-1].sent_at > end for prober in probers))
        return Interval(self.version, start, end)


def play(
    seed: int, keep: Path | None = None, gateway_count: int = GATEWAYS
) -> list[str]:
    """
    Run the soak with one seed; return the problems found.

    :param keep: folder to which the logs of a failed run are copied.
    :param gateway_count: number of gateways.
    """
    with Fleet() as fleet:
        world = ConfigurationWorld(fleet, seed, gateway_count)
        world.start()
        probers = [Prober(world, name) for name in world.gateways]
        for prober in probers:
            prober.start()
        intervals = []
        for _ in range(ROUNDS):
            world.inject_faults()
            intervals.append(world.check_round(probers))
        for prober in probers:
            prober.is_stopped.set()
        for prober in probers:
            prober.join(10)
        probes = [probe for prober in probers for probe in prober.probes]
        found = problems(probes, intervals) + fleet.faults()
        print(f"seed {seed}: {len(probes)} probes, {world.played}", flush=True)
        if found and keep is not None:
            shutil.copytree(fleet.folder, keep / f"{seed}-{uuid4().hex[:6]}")
    return found


if __name__ == "__main__":
    sys.exit(main(play))
