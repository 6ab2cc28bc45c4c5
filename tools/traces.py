"""Seeded traces of both users' work: calm, swing, swing back, call surge."""

from __future__ import annotations

import json
from random import Random
from typing import NamedTuple

CHARACTERS_PER_TOKEN = 4
SHARED_TOKENS = 4_000
TEXTS = 8


class Arrival(NamedTuple):
    """
    One request of a trace.

    :ivar at: seconds from the start.
    :ivar prompt_tokens: length of the prompt.
    :ivar text: number of the policy or log that the prompt begins with; -1 for none.
    :ivar tokens: length of the answer.
    """

    at: float
    work: str
    caller: str
    prompt_tokens: int
    text: int
    tokens: int

    def prompt(self, number: int) -> str:
        """
        Write the prompt out.

        :param number: unique in the trace.
        """
        length = self.prompt_tokens * CHARACTERS_PER_TOKEN
        if self.text < 0:
            return f"{number} ".ljust(length, "s")
        shared = f"text {self.text} ".ljust(SHARED_TOKENS * CHARACTERS_PER_TOKEN, "t")
        return (shared + f"{number} ").ljust(length, "u")


class Phase(NamedTuple):
    """A stretch of a trace; rates in requests a second."""

    seconds: float
    short_rate: float
    short_tokens: int
    long_rate: float
    long_tokens: int


class Site(NamedTuple):
    """What one user's work looks like."""

    short_work: str
    long_work: str
    low_work: str
    low_rate: float
    long_prompt: int
    phases: tuple[Phase, ...]


SITES = {
    "jentera-lindung": Site(
        short_work="triage",
        long_work="triage",
        low_work="contract_check",
        low_rate=1.5,
        long_prompt=6_000,
        phases=(
            Phase(6, 24, 100, 0.5, 60),
            Phase(10, 10, 80, 8, 60),
            Phase(6, 26, 140, 0.5, 60),
            Phase(10, 22, 100, 6, 60),
        ),
    ),
    "gorski-varuhi": Site(
        short_work="summary",
        long_work="summary",
        low_work="notice",
        low_rate=1.0,
        long_prompt=8_000,
        phases=(
            Phase(6, 14, 120, 0.5, 80),
            Phase(10, 8, 100, 6, 80),
            Phase(6, 18, 160, 0.5, 80),
            Phase(10, 14, 120, 4.5, 80),
        ),
    ),
}


def make_trace(site: str, seed: int) -> list[Arrival]:
    """
    Draw a trace.

    :param site: whose work.
    :param seed: the same seed gives the same trace.
    :returns: by time.
    """
    described = SITES[site]
    random = Random(f"{site}/{seed}")
    arrivals: list[Arrival] = []
    start = 0.0
    for phase in described.phases:
        end = start + phase.seconds
        streams = (
            (phase.short_rate, described.short_work, (150, 500), phase.short_tokens),
            (phase.long_rate, described.long_work, None, phase.long_tokens),
            (described.low_rate, described.low_work, (1_000, 2_000), 50),
        )
        for rate, work, prompts, tokens in streams:
            at = start + random.expovariate(rate)
            while at < end:
                length = random.randint(*prompts) if prompts else described.long_prompt
                text = -1 if prompts else random.randrange(TEXTS)
                count = max(5, int(random.gauss(tokens, tokens / 5)))
                caller = f"caller-{random.randrange(12)}"
                arrivals.append(Arrival(at, work, caller, length, text, count))
                at += random.expovariate(rate)
        start = end
    return sorted(arrivals)


def save(arrivals: list[Arrival]) -> str:
    """Write a trace as JSON."""
    return json.dumps([list(arrival) for arrival in arrivals])


def load(text: str) -> list[Arrival]:
    """Read a trace."""
    return [Arrival(*fields) for fields in json.loads(text)]
