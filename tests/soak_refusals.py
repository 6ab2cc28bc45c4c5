"""
Soak with targets whose refusals are not true of the request that waits for them.

They run requests and respond with a status that promises the contrary, and send late
rejections over connections that are used again. ``python -m tests.soak_refusals
--seeds 50 --first 1`` runs one seed after the other.
"""

import random
import sys
from pathlib import Path

from tests.soak import FatalCaller, SoakWorld, StreamEndFaults, main, play


class RefusalFaults(StreamEndFaults):
    """Changes how often targets refuse what they ran, beside all other faults."""

    def __init__(self, world: SoakWorld, seed: int) -> None:
        super().__init__(world, seed)
        # A source of its own, so that a seed draws the same other faults without it.
        self.refusal_random = random.Random(f"refusals {seed}")

    def change_target_faults(self) -> None:
        """Draw anew how streams end, and how often targets refuse what they ran."""
        super().change_target_faults()
        self.set_target_faults(
            is_for_all=True,
            promise_share=self.refusal_random.choice((0.0, 0.1, 0.3)),
            late_share=self.refusal_random.choice((0.0, 0.1, 0.3)),
            reject_share=self.refusal_random.choice((0.0, 0.1)),
        )

    def finish(self, fatal: FatalCaller) -> list[str]:
        """End all refusals, so that every kind of request can be served again."""
        self.set_target_faults(
            is_for_all=True, promise_share=0.0, late_share=0.0, reject_share=0.0
        )
        return super().finish(fatal)


def play_seed(seed: int, keep: Path | None = None) -> list[str]:
    """Run the soak with one seed; return the problems found."""
    return play(seed, keep, RefusalFaults)


if __name__ == "__main__":
    sys.exit(main(play_seed))
