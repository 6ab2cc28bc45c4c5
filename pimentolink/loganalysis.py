"""Tells from gateways' logs how well engines were used and prompts were predicted."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple

import msgspec

from pimentolink.errors import ConnectionBroken, ReplyInvalid

# Shares of the ratios of time taken to time predicted that are told.
QUANTILES = (0.1, 0.5, 0.9)
# Failures after which an attempt's target may have ended.
BREAKS = frozenset({ConnectionBroken.code, ReplyInvalid.code})


class WindowFigures(NamedTuple):
    """
    What happened within some seconds, over all gateways whose logs were read.

    :ivar begins: seconds since the first line.
    :ivar refused_idle: prompts turned away while an engine had nothing to read.
    :ivar waited: mean seconds from a prompt's arrival to its sending.
    :ivar reread_share: share of prompt tokens that was read, neither held nor fetched.
    :ivar busy_by_engine: share of the time for which each engine read prompts.
    """

    begins: float
    placed: int
    refused: int
    refused_idle: int
    waited: float
    reread_share: float
    busy_by_engine: dict[str, float]


class PredictionFigures(NamedTuple):
    """
    How readings at engines of one role went against their prediction.

    :ivar ratios: time taken over time predicted, at each of ``QUANTILES``.
    :ivar tokens_per_second: while an engine was busy with them.
    """

    role: str
    readings: int
    failed: int
    ratios: tuple[float, ...]
    tokens_per_second: float


class RoleOrder(NamedTuple):
    """An order that changed an engine's role, and what it rested on."""

    at: float
    engine: str
    role: str
    streams: float
    unmet: float
    regret: float


class RouteFigures(NamedTuple):
    """Outcomes of the requests of one route, failures by code."""

    route: str
    answered: int
    failed_by_code: dict[str, int]


class BrokenRequest(NamedTuple):
    """
    One request, under all names that it came with, that broke off at several targets.

    :ivar targets: at which it broke off while it was under way.
    :ivar attempts: that broke off.
    :ivar shortest: least seconds from its sending until it broke off.
    :ivar longest: most seconds.
    """

    fingerprint: str
    targets: int
    attempts: int
    shortest: float
    longest: float


class Analysis(NamedTuple):
    """
    All that is told of some logs.

    :ivar broken: requests that broke off at two targets or more, most targets first.
    """

    lines: int
    unreadable: int
    windows: list[WindowFigures]
    predictions: list[PredictionFigures]
    orders: list[RoleOrder]
    routes: list[RouteFigures]
    broken: list[BrokenRequest]


class _Line(NamedTuple):
    at: float
    fields: dict[str, Any]


class _Break(NamedTuple):
    """An attempt that broke off at a target, seconds after its sending."""

    target: str
    after: float


class _Window:
    """Sums of one window while lines are read."""

    def __init__(self) -> None:
        self.placed = 0
        self.refused = 0
        self.refused_idle = 0
        self.waited = 0.0
        self.tokens_read = 0
        self.tokens_held = 0
        self.busy_by_engine: dict[str, float] = defaultdict(float)


class _Reader:
    """Takes lines in order of time and sums them up."""

    def __init__(self, window: float) -> None:
        self._window = window
        self._windows: dict[int, _Window] = defaultdict(_Window)
        self._outstanding: Counter[str] = Counter()
        self._role_by_engine: dict[str, str] = {}
        self._readings_by_role: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self._answered: Counter[str] = Counter()
        self._failed: dict[str, Counter[str]] = defaultdict(Counter)
        self._broken: dict[str, list[_Break]] = defaultdict(list)
        self.orders: list[RoleOrder] = []
        self._takers = {
            "target_listed": self._listed,
            "target_gone": self._gone,
            "prompt_placed": self._placed,
            "prompt_refused": self._refused,
            "reading_ended": self._read,
            "order_done": self._ordered,
            "answered": self._answer,
            "request_failed": self._failure,
            "attempt_failed": self._attempt,
        }

    def take(self, line: _Line) -> None:
        taker = self._takers.get(str(line.fields.get("event")))
        if taker is not None:
            taker(line.at, line.fields)

    def _at(self, at: float) -> _Window:
        return self._windows[int(at // self._window)]

    def _listed(self, at: float, fields: dict[str, Any]) -> None:
        if fields.get("role") != "none":
            self._role_by_engine[fields["target"]] = fields["role"]

    def _gone(self, at: float, fields: dict[str, Any]) -> None:
        self._role_by_engine.pop(fields["target"], None)
        self._outstanding.pop(fields["target"], None)

    def _placed(self, at: float, fields: dict[str, Any]) -> None:
        window = self._at(at)
        window.placed += 1
        window.waited += fields["waited"]
        window.tokens_read += fields["tokens"]
        window.tokens_held += fields["held"] + fields["copied"]
        self._outstanding[fields["target"]] += 1

    def _refused(self, at: float, fields: dict[str, Any]) -> None:
        window = self._at(at)
        window.refused += 1
        engines = self._role_by_engine
        if any(self._outstanding[engine] <= 0 for engine in engines):
            window.refused_idle += 1

    def _read(self, at: float, fields: dict[str, Any]) -> None:
        self._outstanding[fields["target"]] -= 1
        self._readings_by_role[fields["role"]].append(fields)
        if fields["busy"] is not None:
            name = f"{fields['target']} ({fields['role']})"
            self._at(at).busy_by_engine[name] += fields["busy"]

    def _ordered(self, at: float, fields: dict[str, Any]) -> None:
        self.orders.append(
            RoleOrder(
                round(at, 2),
                fields["target"],
                fields["role"],
                fields["streams"],
                fields.get("unmet", 0.0),
                fields.get("regret", 0.0),
            )
        )

    def _answer(self, at: float, fields: dict[str, Any]) -> None:
        self._answered[str(fields.get("route"))] += 1

    def _failure(self, at: float, fields: dict[str, Any]) -> None:
        self._failed[str(fields.get("route"))][str(fields.get("code"))] += 1

    def _attempt(self, at: float, fields: dict[str, Any]) -> None:
        if fields["after"] is not None and fields["code"] in BREAKS:
            found = _Break(str(fields["target"]), float(fields["after"]))
            self._broken[str(fields["fingerprint"])].append(found)

    def broken(self) -> list[BrokenRequest]:
        found = [
            BrokenRequest(
                fingerprint,
                len({item.target for item in breaks}),
                len(breaks),
                min(item.after for item in breaks),
                max(item.after for item in breaks),
            )
            for fingerprint, breaks in self._broken.items()
        ]
        several = [item for item in found if item.targets > 1]
        return sorted(several, key=lambda item: (-item.targets, item.fingerprint))

    def windows(self) -> list[WindowFigures]:
        return [
            WindowFigures(
                begins=number * self._window,
                placed=found.placed,
                refused=found.refused,
                refused_idle=found.refused_idle,
                waited=round(found.waited / max(1, found.placed), 4),
                reread_share=round(
                    found.tokens_read / max(1, found.tokens_read + found.tokens_held), 3
                ),
                busy_by_engine={
                    name: round(busy / self._window, 2)
                    for name, busy in sorted(found.busy_by_engine.items())
                },
            )
            for number, found in sorted(self._windows.items())
        ]

    def predictions(self) -> list[PredictionFigures]:
        return [
            _prediction(role, readings)
            for role, readings in sorted(self._readings_by_role.items())
        ]

    def routes(self) -> list[RouteFigures]:
        names = sorted(self._answered.keys() | self._failed.keys())
        return [
            RouteFigures(name, self._answered[name], dict(self._failed[name]))
            for name in names
        ]


def _prediction(role: str, readings: list[dict[str, Any]]) -> PredictionFigures:
    good = [item for item in readings if item["good"] and item["predicted"] > 0]
    ratios = sorted(item["took"] / item["predicted"] for item in good)
    busy = sum(item["busy"] or 0.0 for item in good)
    tokens = sum(item["tokens"] for item in good if item["busy"])
    return PredictionFigures(
        role=role,
        readings=len(readings),
        failed=sum(not item["good"] for item in readings),
        ratios=tuple(round(_quantile(ratios, share), 2) for share in QUANTILES),
        tokens_per_second=round(tokens / busy) if busy else 0.0,
    )


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(share * len(values)))]


def _lines(texts: Iterable[str]) -> Iterator[_Line | None]:
    """Read lines, also those that a collector put words before; ``None`` for others."""
    decoder = msgspec.json.Decoder(dict[str, Any])
    for text in texts:
        begin = text.find("{")
        if begin < 0:
            yield None
            continue
        try:
            fields = decoder.decode(text[begin:])
            told = datetime.fromisoformat(str(fields["timestamp"]))
        except (msgspec.DecodeError, KeyError, ValueError):
            yield None
            continue
        yield _Line(told.timestamp(), fields)


def analyze(texts: Iterable[str], window: float) -> Analysis:
    """
    Sum up the logs of some gateways.

    :param texts: lines, in any order over gateways.
    :param window: seconds of each window.
    """
    found = list(_lines(texts))
    lines = sorted((line for line in found if line), key=lambda line: line.at)
    begin = lines[0].at if lines else 0.0
    reader = _Reader(window)
    unreadable = len(found) - len(lines)
    for line in lines:
        try:
            reader.take(line._replace(at=line.at - begin))
        except (KeyError, TypeError):
            # A line of another version lacks what is summed up here.
            unreadable += 1
    return Analysis(
        len(found),
        unreadable,
        reader.windows(),
        reader.predictions(),
        reader.orders,
        reader.routes(),
        reader.broken(),
    )
