"""
Soak with targets whose refusals are not true of the request that waits for them.

They run requests and respond with a status that promises the contrary, and send late
rejections over connections that are used again. ``python -m tests.soak_refusals
--seeds 50 --first 1`` runs one seed after the other.
"""

import random
import sys
from contextlib import suppress
from pathlib import Path

from tests.soak import SoakWorld, StreamEndFaults, main, play


class RefusalFaults(StreamEndFaults):
    """Changes how often targets refuse what they ran, beside all other faults."""

    def __init__(self, world: SoakWorld, seed: int) -> None:
        super().__init__(world, seed)
        # A source of its own, so that a seed draws the same other faults without it.
        self.refusal_random = random.Random(f"refusals {seed}")

    def change_stream_ends(self) -> None:
        """Draw anew how streams end, and how often targets refuse what they ran."""
        super().change_stream_ends()
        faults = {
            "promise_share": self.refusal_random.choice((0.0, 0.1, 0.3)),
            "late_share": self.refusal_random.choice((0.0, 0.1, 0.3)),
            "reject_share": self.refusal_random.choice((0.0, 0.1)),
        }
        for name, _, _ in self.world.entry_by_replica.values():
            # One that crashes meanwhile keeps its other refusals.
            with suppress(OSError):
                self.world.fault(name, **faults)

    def finish(self, fatal) -> list[str]:
        """End all refusals, so that every kind of request can be served again."""
        for name, _, _ in self.world.entry_by_replica.values():
            with suppress(OSError):
                self.world.fault(
                    name, promise_share=0.0, late_share=0.0, reject_share=0.0
                )
        return super().finish(fatal)


def play_seed(seed: int, keep: Path | None = None) -> list[str]:
    """Run the soak with one seed; return the problems found."""
    return play(seed, keep, RefusalFaults)


if __name__ == "__main__":
    sys.exit(main(play_seed))
