"""
Seeded request traces of both sites.

Each trace has four phases: calm, a swing from short to long prompts, a swing back, and
a surge of calls in which both are frequent.
"""

from __future__ import annotations

import json
from random import Random
from typing import NamedTuple

CHARACTERS_PER_TOKEN = 4
SHARED_PREFIX_TOKENS = 4_000
SHARED_PREFIX_COUNT = 8


class Arrival(NamedTuple):
    """
    One request of a trace.

    :ivar at: arrival time in seconds since the start of the trace.
    :ivar work: kind of work, which sets the priority.
    :ivar prompt_tokens: length of the prompt in tokens.
    :ivar text: number of the shared document, such as a policy or a log, that the
        prompt begins with; -1 for none.
    :ivar tokens: length of the completion in tokens.
    """

    at: float
    work: str
    caller: str
    prompt_tokens: int
    text: int
    tokens: int

    def prompt(self, number: int) -> str:
        """
        Return the text of the prompt.

        :param number: number of the request, unique in the trace.
        """
        length = self.prompt_tokens * CHARACTERS_PER_TOKEN
        if self.text < 0:
            return f"{number} ".ljust(length, "s")
        shared = f"text {self.text} ".ljust(
            SHARED_PREFIX_TOKENS * CHARACTERS_PER_TOKEN, "t"
        )
        return (shared + f"{number} ").ljust(length, "u")


class Phase(NamedTuple):
    """
    One phase of a trace.

    :ivar seconds: duration.
    :ivar short_rate: requests per second that have short prompts.
    :ivar short_tokens: mean length of their completions in tokens.
    :ivar long_rate: requests per second that have long prompts.
    :ivar long_tokens: mean length of their completions in tokens.
    """

    seconds: float
    short_rate: float
    short_tokens: int
    long_rate: float
    long_tokens: int


class Site(NamedTuple):
    """
    Workload of one site.

    :ivar short_work: kind of work of requests with short prompts.
    :ivar long_work: kind of work of requests with long prompts.
    :ivar low_work: kind of work of low priority, at the same rate in all phases.
    :ivar low_rate: requests per second of that work.
    :ivar long_prompt: length of long prompts in tokens.
    """

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
    Generate a trace.

    :param site: a key of ``SITES``.
    :param seed: the same seed gives the same trace.
    :returns: requests ordered by arrival time.
    """
    workload = SITES[site]
    random = Random(f"{site}/{seed}")
    arrivals: list[Arrival] = []
    start = 0.0
    for phase in workload.phases:
        end = start + phase.seconds
        request_classes = (
            (phase.short_rate, workload.short_work, (150, 500), phase.short_tokens),
            (phase.long_rate, workload.long_work, None, phase.long_tokens),
            (workload.low_rate, workload.low_work, (1_000, 2_000), 50),
        )
        for rate, work, prompt_range, tokens in request_classes:
            at = start + random.expovariate(rate)
            while at < end:
                length = (
                    random.randint(*prompt_range)
                    if prompt_range
                    else workload.long_prompt
                )
                text = -1 if prompt_range else random.randrange(SHARED_PREFIX_COUNT)
                count = max(5, int(random.gauss(tokens, tokens / 5)))
                caller = f"caller-{random.randrange(12)}"
                arrivals.append(Arrival(at, work, caller, length, text, count))
                at += random.expovariate(rate)
        start = end
    return sorted(arrivals)


def save(arrivals: list[Arrival]) -> str:
    """Encode a trace as JSON."""
    return json.dumps([list(arrival) for arrival in arrivals])


def load(text: str) -> list[Arrival]:
    """Decode a trace from JSON."""
    return [Arrival(*fields) for fields in json.loads(text)]
