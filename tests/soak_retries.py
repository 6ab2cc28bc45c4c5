"""
Restarts gateways while all targets of a service fail, and checks the retry budget.

``python -m tests.soak_retries --seeds 50 --first 1`` runs one seed after the other.
"""

import shutil
import signal
import sys
import time
from pathlib import Path
from uuid import uuid4

from tests.soak import Caller, ClientRequest, Faults, SoakWorld, TargetEvent, main
from tools.fleet import Fleet

GATEWAYS = 3
CALLERS = 6
RATIO = 0.2
SLACK = 36.0
WINDOW = 6.0
LEASE = 2.0
# A new gateway uses no slack for one window and one lease; the rest is margin.
ESTABLISHED_AFTER = WINDOW + LEASE + 1.5


def problems_of_retries(
    client_requests: list[ClientRequest], run_events: list[TargetEvent]
) -> list[str]:
    """
    Check that retries over all gateways stay within the budget in every window.

    The bound uses the highest request count of the same window, the one half a window
    earlier and the one a full window earlier.

    :param client_requests: all requests to the service.
    :param run_events: the ``run`` events of its targets.
    """
    arrivals_by_name: dict[str, list[float]] = {}
    for event in sorted(run_events, key=lambda item: item.at):
        arrivals_by_name.setdefault(event.name, []).append(event.at)
    retries = sorted(at for times in arrivals_by_name.values() for at in times[1:])
    for start in retries:
        count = sum(start <= at < start + WINDOW for at in retries)
        requests = max(
            sum(
                start - offset <= item.sent_at < start - offset + WINDOW
                for item in client_requests
            )
            for offset in (0, WINDOW / 2, WINDOW)
        )
        allowed = RATIO * requests + SLACK
        if count > allowed:
            return [f"{count} retries for {requests} requests, {allowed:.1f} allowed"]
    return []


class ReadCaller(Caller):
    """Sends retryable requests, at a rate where slack is about half of the budget."""

    def run(self) -> None:
        while not self.is_stopped.is_set():
            self.client_requests.append(self.send_request())
            time.sleep(self.random.uniform(0.1, 0.2))

    def send_request(self, kind: str = "read") -> ClientRequest:
        return super().send_request(kind)


class GatewayFaults(Faults):
    """Injects faults only into gateways and their connections to the store."""

    def kinds(self) -> tuple:
        return (
            self.kill,
            self.kill,
            self.terminate,
            self.freeze,
            self.reset_store_link,
            self.kill_all_gateways,
        )

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
        budget = {"ratio": RATIO, "slack": SLACK, "window": WINDOW}
        world.gateway_settings = {"budget": budget}
        world.start()
        callers = [ReadCaller(world, seed * 100 + n) for n in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(ESTABLISHED_AFTER)
        for replica in ("plain", "other-plain"):
            world.fault(f"{replica}-1", status=500)
        played = GatewayFaults(world, seed).play()
        for caller in callers:
            caller.is_stopped.set()
        for caller in callers:
            caller.join(10)
        client_requests = [
            request for caller in callers for request in caller.client_requests
        ]
        names = {request.name for request in client_requests}
        run_events = [
            event
            for event in world.target_events()
            if event.name in names and event.event == "run"
        ]
        found = problems_of_retries(client_requests, run_events) + fleet.faults()
        retry_count = len(run_events) - len({event.name for event in run_events})
        print(
            f"seed {seed}: {len(client_requests)} requests, {retry_count} retries, "
            f"{played}",
            flush=True,
        )
        if found and keep is not None:
            shutil.copytree(fleet.folder, keep / f"{seed}-{uuid4().hex[:6]}")
    return found


if __name__ == "__main__":
    sys.exit(main(play))
