"""
Restarts gateways while the targets of all services fail, and checks the retry budget.

Plain targets fail every call. Engines reject and reset calls, prefills included, break
streams off, never answer and change their roles.

``python -m tests.soak_retries --seeds 50 --first 1`` runs one seed after the other.
"""

import shutil
import signal
import sys
import time
from pathlib import Path
from uuid import uuid4

import msgspec

from pimentolink.gatewaysettings import BudgetSettings
from tests.retrywindows import describe_excess
from tests.soak import Caller, ClientRequest, Faults, SoakWorld, TargetEvent, main
from tools.fleet import Fleet, call

GATEWAYS = 3
CALLERS = 6
# Events of targets that are arrivals of calls, whatever became of them.
ARRIVAL_EVENTS = ("run", "read", "reject", "reset", "ignore")
ENGINES = ("reader", "writer", "other-writer")
BUDGET = BudgetSettings(ratio=0.2, slack=36.0, window=6.0)
LEASE = 2.0
# A new gateway uses no slack for one window and one lease; the rest is margin.
ESTABLISHED_AFTER = BUDGET.window + LEASE + 1.5


def problems_of_retries(
    client_requests: list[ClientRequest], arrivals: list[TargetEvent]
) -> list[str]:
    """
    Check that retries over all gateways stay within the budget in every window.

    :param client_requests: all requests to the service.
    :param arrivals: the calls that reached its targets.
    """
    sent_at = [item.sent_at for item in client_requests]
    excess = describe_excess(times_of_retries(arrivals), sent_at, BUDGET)
    return [excess] if excess else []


def times_of_retries(arrivals: list[TargetEvent]) -> list[float]:
    """
    Return when the calls arrived that use the retry budget.

    The first call of a request does not, nor does its first accepted prefill.
    """
    times_by_name: dict[str, list[float]] = {}
    names_with_prefill: set[str] = set()
    for event in sorted(arrivals, key=lambda item: item.at):
        times = times_by_name.setdefault(event.name, [])
        if event.event == "read" and event.name not in names_with_prefill:
            names_with_prefill.add(event.name)
        else:
            times.append(event.at)
    return sorted(at for times in times_by_name.values() for at in times[1:])


class ReadCaller(Caller):
    """Sends retryable requests, at a rate where slack is about half of the budget."""

    kind = "read"

    def run(self) -> None:
        while not self.is_stopped.is_set():
            self.client_requests.append(self.send_request())
            time.sleep(self.random.uniform(0.1, 0.2))

    def send_request(self, kind: str = "") -> ClientRequest:
        return super().send_request(kind or self.kind)


class StreamCaller(ReadCaller):
    """Sends requests to model engines, whose streams may be resumed."""

    kind = "resume"


class GatewayFaults(Faults):
    """Injects faults into gateways, their connections to the store, and engines."""

    def kinds(self) -> tuple:
        return (
            self.kill,
            self.kill,
            self.terminate,
            self.freeze,
            self.reset_store_link,
            self.kill_all_gateways,
            self.change_engine_faults,
            self.swap_roles,
        )

    def change_engine_faults(self) -> str:
        """Draw the shares of calls that engines reject, reset and break off anew."""
        faults = {
            "reject_share": self.random.choice((0.2, 0.5, 0.9)),
            "reset_share": self.random.choice((0.0, 0.1, 0.4)),
            "break_share": self.random.choice((0.0, 0.5)),
        }
        for replica in ENGINES:
            name, _, _ = self.world.entry_by_replica[replica]
            self.world.fault(name, **faults, silent=self.random.random() < 0.1)
        return f"engines {faults}"

    def swap_roles(self) -> str:
        """Exchange the roles of the engine for prefills and of one for decodes."""
        for replica in ("reader", "other-writer"):
            name, service, phase = self.world.entry_by_replica[replica]
            phase = "prefill" if phase == "decode" else "decode"
            self.order_role(name, phase)
            self.world.entry_by_replica[replica] = (name, service, phase)
            self.world.put_entry(name, service, phase, self.world.addresses[name])
        return "roles swapped"

    def order_role(self, name: str, phase: str) -> None:
        url = self.world.fleet.url(name, "/order")
        sequence = call(self.world.fleet.url(name, "/report")).json["sequence"]
        order = {"op": "phase", "phase": phase, "expected": sequence}
        call(url, "POST", order | {"holder": "soak", "fencingToken": 0})

    def reset_store_link(self) -> str:
        name = self.random.choice([p for p in self.world.proxies if p[:5] == "store"])
        self.set_mode(name, "reset")
        self.schedule(
            self.random.uniform(0.5, 3.0), lambda: self.set_mode(name, "good")
        )
        return f"{name} reset"

    def kill_all_gateways(self) -> str:
        for name in self.world.gateways:
            process = self.world.fleet.processes_by_name[name]
            if process.is_running:
                process.send(signal.SIGCONT)
                process.kill()
                self.schedule(0.2, lambda n=name: self.start_again(n))
        return "all gateways killed"


def play(seed: int, keep: Path | None = None) -> list[str]:
    """
    Run the soak with one seed; return the problems found.

    :param keep: folder to which the logs of a failed run are copied.
    """
    with Fleet() as fleet:
        world = SoakWorld(fleet, GATEWAYS, LEASE)
        world.gateway_settings = {"budget": msgspec.to_builtins(BUDGET)}
        world.start()
        callers = [
            kind(world, seed * 100 + number)
            for kind in (ReadCaller, StreamCaller)
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(ESTABLISHED_AFTER)
        for replica in ("plain", "other-plain"):
            world.fault(f"{replica}-1", status=500)
        faults = GatewayFaults(world, seed)
        faults.change_engine_faults()
        played = faults.play()
        for caller in callers:
            caller.is_stopped.set()
        for caller in callers:
            caller.join(10)
        found = fleet.faults()
        for kind in (ReadCaller.kind, StreamCaller.kind):
            client_requests = [
                request
                for caller in callers
                for request in caller.client_requests
                if request.kind == kind
            ]
            names = {request.name for request in client_requests}
            arrivals = [
                event
                for event in world.target_events(ARRIVAL_EVENTS)
                if event.name in names
            ]
            found += problems_of_retries(client_requests, arrivals)
            retries = len(times_of_retries(arrivals))
            print(
                f"seed {seed}: {len(client_requests)} {kind} requests, "
                f"{len(arrivals)} calls, {retries} retries",
                flush=True,
            )
        print(f"seed {seed}: {played}", flush=True)
        if found and keep is not None:
            shutil.copytree(fleet.folder, keep / f"{seed}-{uuid4().hex[:6]}")
    return found


if __name__ == "__main__":
    sys.exit(main(play))
