"""
Stops all gateways at once after a series of faults and changes of the configuration.

The store is away as they start again, and from then on it may respond slowly, or to
reads only. ``python -m tests.soak_fullstop --seeds 50 --first 1`` runs one seed after
the other.
"""

import random
import sys
import time
from pathlib import Path

from tests.soak import FatalCaller, SoakWorld, StreamEndFaults, main, play
from tools.fleet import wait_until

# Longest time in seconds for which the store is away after the gateways have started.
MAX_OUTAGE = 4.0
# How the store responds after the outage, until the end of a run. The timeout of a call
# is 0.5 s.
RESPONSES = (
    {},
    {"ignore_writes": True},
    {"delay": 0.3},
    {"delay": 0.8},
    {"delay": 0.3, "ignore_writes": True},
)


class FullStopFaults(StreamEndFaults):
    """Ends with a full stop of all gateways, and at times of all targets."""

    def __init__(self, world: SoakWorld, seed: int) -> None:
        super().__init__(world, seed)
        # A source of its own, so that a seed draws the same other faults without it.
        self.stop_random = random.Random(f"full stop {seed}")

    def kinds(self) -> tuple:
        """Draw many changes of the configuration among the faults."""
        return (*super().kinds(), *(self.configure,) * 6)

    def finish(self, fatal: FatalCaller) -> list[str]:
        """Stop all gateways while the store is away, and start them again."""
        # Gateways that are not in touch with the store need not know fatal requests.
        fatal.is_stopped.set()
        fatal.join(10)
        world, draw = self.world, self.stop_random
        down = draw.choice(("silent", "busy", "reset"))
        world.fault("store", down=down)
        for name in world.gateways:
            world.fleet.processes_by_name[name].kill()
        targets_end = draw.random() < 0.5
        if targets_end:
            for name, _, _ in world.entry_by_replica.values():
                world.fleet.processes_by_name[name].kill()
            world.restart_ended_targets()
        for name in world.gateways:
            process = world.fleet.processes_by_name[name]
            wait_until(lambda p=process: not p.is_running)
            world.fleet.start_again(name)
        world.fleet.settle()
        outage, responses = draw.uniform(0.0, MAX_OUTAGE), draw.choice(RESPONSES)
        time.sleep(outage)
        world.fault("store", down="", **responses)
        targets = "targets too, " if targets_end else ""
        return [f"full stop, {targets}store {down} for {outage:.1f} s, {responses}"]


def play_seed(seed: int, keep: Path | None = None) -> list[str]:
    """Run the soak with one seed; return the problems found."""
    return play(seed, keep, FullStopFaults)


if __name__ == "__main__":
    sys.exit(main(play_seed))
