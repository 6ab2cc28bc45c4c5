"""
Parts of prompts that crash engines, beside engines that are lost for other reasons.

Each seed draws a mixture: how often harmless requests and those with a fatal part come,
which parts they share, which engines are lost when. The gateways' own decisions are
played in virtual time.
"""

from collections import Counter
from random import Random

import pytest

from tools.replay import (
    EngineFigures,
    Fatal,
    Fault,
    Kind,
    Load,
    generate_requests,
    replay,
)

MIXTURES_PER_TEST = 10
FATAL_FROM, LASTS = 20.0, 60.0
FIRST_FATAL_PART = 30_000_000
# Crashes after which a part is to be known, and seconds until all gateways know it.
CRASHES, PROPAGATION_TIME = 5, 3.0
# Engines that it may crash from then on: three arrivals are allowed, and each of these
# crashes takes a prefill and a run.
MAX_LATE = 1
# Seconds from the last loss of an engine until harmless requests must be served again.
RECOVERY_TIME = 6.0
# Share of the harmless requests that have to be served from then on, compared with the
# time before.
MIN_SERVED = 0.5
# Seconds before the first engine is lost.
QUIET_TIME = 14
ENGINE = EngineFigures(
    read_rate=36_700, step=0.004, slots=64, cache_tokens=457_705, copy_rate=1_220_000
)


def draw_load(seed: int) -> Load:
    random = Random(f"mixture {seed}")
    writers = random.choice([3, 5])
    unique = random.choice([0, 100])
    kind = Kind(
        rate=random.choice([0.33, 0.7, 1.0, 2.0, 5.0, 20.0]),
        shared=800,
        topics=random.choice([1, 1, 3]),
        own=200,
        output=random.choice([20, 100, 400]),
        latency_target=0.5,
        patience=6.0,
        worth=1.6,
        late=0.5,
        unique=random.choice([0, unique]),
    )
    return Load(
        why="parts that crash engines, beside engines lost for other reasons",
        gateways=random.choice([2, 4]),
        readers=2,
        writers=writers,
        lasts=LASTS,
        engine=ENGINE,
        kinds={"short": kind},
        faults=[draw_fault(random, writers) for _ in range(random.randint(0, 5))],
        fatal=[
            Fatal(
                kind="short",
                requests=1,
                begins=FATAL_FROM + 3.0 * number,
                ends=LASTS,
                every=random.choice([0.3, 0.5, 1.0, 2.0]),
                returns=random.uniform(1.5, 4.0),
                part=FIRST_FATAL_PART + number,
                unique=unique,
            )
            for number in range(random.choice([1, 1, 1, 2]))
        ],
        resumes=True,
    )


def draw_fault(random: Random, writers: int) -> Fault:
    """Lose a writer, or three of them, before, between or after the first crashes."""
    count = random.choice([1, 1, 1, 3])
    return Fault(
        at=FATAL_FROM + random.uniform(-5.0, 14.0),
        engines=count,
        speed=0,
        first=2 + random.randrange(writers - count + 1),
        returns=random.uniform(1.5, 4.0),
    )


def share_served(load: Load, at_once: dict[int, float], seed: int, seconds: range):
    """Return the share served at the first attempt, and how many requests came."""
    counts = Counter(int(request.at) for request in generate_requests(load, seed))
    count = sum(counts[second] for second in seconds)
    served = sum(at_once.get(second, 0.0) * counts[second] for second in seconds)
    return served / count if count else 1.0, count


def problems(seed: int) -> list[str]:
    """Play the mixture of a seed; return what is wrong."""
    load = draw_load(seed)
    figures = replay(load, "current", seed)
    found, last_crash = [], FATAL_FROM
    for fatal in load.fatal:
        times = [
            crash.at
            for crash in figures.crashes
            if fatal.part in [part.part_id for part in crash.parts]
        ]
        if times:
            last_crash = max(last_crash, times[:CRASHES][-1])
        late = [
            at for at in times[CRASHES:] if at > times[CRASHES - 1] + PROPAGATION_TIME
        ]
        if len(late) > MAX_LATE:
            found.append(f"{len(late)} engines crashed once the part was to be known")
    last_loss = max([last_crash, *(fault.at for fault in load.faults)])
    before, _ = share_served(load, figures.at_once, seed, range(QUIET_TIME))
    seconds = range(int(last_loss + RECOVERY_TIME) + 1, int(LASTS))
    after, count = share_served(load, figures.at_once, seed, seconds)
    if after < MIN_SERVED * before:
        found.append(f"{after:.2f} of {count} served, {before:.2f} before")
    return found


@pytest.mark.parametrize("first", range(0, 60, MIXTURES_PER_TEST))
def test_part_is_held_and_harmless_requests_are_served(first):
    """Guards against holding harmless requests for a crash that another part caused."""
    seeds = range(first, first + MIXTURES_PER_TEST)
    assert {seed: found for seed in seeds if (found := problems(seed))} == {}
