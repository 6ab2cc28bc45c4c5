"""Demonstrates a gateway with stand-ins for the users' platform."""

from __future__ import annotations

from tools.fleet import Fleet, wait_until
from tools.platformworld import PlatformWorld

MODEL_TARGETS = ("reader", "writer")
PLAIN_TARGETS = ("plain-1", "plain-2")


def main() -> None:
    """Start all processes, send typical requests, and stop all processes."""
    with Fleet() as fleet:
        world = PlatformWorld(fleet)
        world.start_default()
        print("two engines, two plain targets, one gateway: ready")
        ask_model(world)
        ask_plain(world)
        drain(world)
        change_configuration(world)
        request_during_outage(world)
        show_status(fleet)
        print(f"gateway stopped, exit code {fleet.processes_by_name['gateway'].stop()}")
    print("all processes have ended")


def ask_model(world: PlatformWorld) -> None:
    """Request a completion that one engine prefills and another decodes."""
    reply, name = world.generate("/resume/story")
    print(f"model: status {reply.status}, {reply.body.count(b'id:')} events")
    for line in world.logged("gateway", name):
        print(f"  {line['number']} {line['event']} {line.get('target', '')}")


def ask_plain(world: PlatformWorld) -> None:
    """Send a non-idempotent call."""
    reply, name = world.request("/once/send")
    runs = sum(world.runs(target)["runs"].get(name, 0) for target in PLAIN_TARGETS)
    print(f"call that runs once: status {reply.status}, ran {runs} time")


def drain(world: PlatformWorld) -> None:
    """Drain a target and wait until it receives no more requests."""
    world.list_target("plain-1", "plain", state="draining")
    wait_until(
        lambda: targets_called(world) == {"plain-2"}, what="the target to get nothing"
    )
    print("plain-1 is leaving: ten calls went to plain-2")


def targets_called(world: PlatformWorld) -> set[str]:
    """Make ten calls and return the targets that ran them."""
    names = [world.request("/read/it", "GET", b"")[1] for _ in range(10)]
    return {
        target
        for target in PLAIN_TARGETS
        if set(names) & set(world.runs(target)["runs"])
    }


def change_configuration(world: PlatformWorld) -> None:
    """Add a route and wait until requests to it succeed."""
    response_before, _ = world.request("/new/it", "GET", b"")
    world.configure(2, new="plain")

    def is_served() -> bool:
        return world.request("/new/it", "GET", b"")[0].status == 200

    wait_until(is_served, what="the new route")
    print(f"a route was added: status {response_before.status} before, 200 after")


def request_during_outage(world: PlatformWorld) -> None:
    """Send a request while the store does not respond."""
    world.fault("store", down="silent")
    reply, _ = world.request("/read/it", "GET", b"")
    world.fault("store", down="")
    print(f"the store is silent: status {reply.status}")


def show_status(fleet: Fleet) -> None:
    """Print the status of the gateway as operators see it."""
    settings = str(fleet.folder / "gateway.json")
    print(fleet.command("gateway", "status", settings).stdout)


if __name__ == "__main__":
    main()
