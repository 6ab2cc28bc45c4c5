"""
Soak with requests that are all different, some of which share a fatal part.

The part crashes each engine that begins to write on it. Harmless requests have each of
the other parts; they come often or seldom, by seed. All of them must be served again
once other faults have ended, while those with the fatal part go on.

``python -m tests.soak_parts --seeds 50 --first 1`` runs one seed after the other.
"""

import random
import sys
from pathlib import Path

from tests.soak import (
    FATAL_PART,
    Caller,
    FatalCaller,
    SoakWorld,
    StreamEndFaults,
    main,
    play,
)

COMMON = "aa:600"
MIDDLES = ("bb01:300", "bb02:300", "bb03:300")
BELOW = "dd01:100"
# Seconds between two requests of a caller, at most.
PAUSES = (0.05, 1.0, 6.0)


class SharingCaller(Caller):
    """Sends requests of their own bodies, whose prompts share parts."""

    request_count = 0
    recovery_prompts = tuple(
        f"{COMMON},{middle},{below}ff:200"
        for middle in MIDDLES
        for below in ("", f"{BELOW},")
    )

    def __init__(self, world: SoakWorld, seed: int) -> None:
        super().__init__(world, seed)
        # The callers of one run differ by their last two digits.
        self.max_pause = random.Random(f"pause {seed // 100}").choice(PAUSES)

    def body(self) -> str:
        self.request_count += 1
        return f"{self.name} {self.request_count}"

    def parts(self) -> str:
        own = f"f{self.random.getrandbits(40):x}:200"
        below = [BELOW] if self.random.random() < 0.5 else []
        return ",".join([COMMON, self.random.choice(MIDDLES), *below, own])


class FatalPartCaller(SharingCaller, FatalCaller):
    """Sends requests with the fatal part, each time in the same place of the prompt."""

    crashes_until_known = 5

    def __init__(self, world: SoakWorld, seed: int) -> None:
        super().__init__(world, seed)
        self.place = self.random.randrange(3)

    def parts(self) -> str:
        parts = super().parts().split(",")
        parts.insert(self.place, f"{FATAL_PART}:100")
        return ",".join(parts)


def play_seed(seed: int, keep: Path | None = None) -> list[str]:
    """Run the soak with one seed; return the problems found."""
    return play(seed, keep, StreamEndFaults, SharingCaller, FatalPartCaller)


if __name__ == "__main__":
    sys.exit(main(play_seed))
