"""Derives engine utilisation and prediction accuracy from gateways' logs."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple

import msgspec

from pimentolink.errors import ConnectionBroken, ReplyInvalid, ResponseTruncated

# Reported quantiles of the ratio of measured to predicted prefill time.
QUANTILES = (0.1, 0.5, 0.9)
# Codes of failures that may mean that the attempt's target crashed.
BREAK_CODES = frozenset(
    {ConnectionBroken.code, ReplyInvalid.code, ResponseTruncated.code}
)


class WindowSummary(NamedTuple):
    """
    Events within one time window, over all gateways whose logs were read.

    :ivar begins: start of the window in seconds since the first line.
    :ivar placed: prompts sent to an engine.
    :ivar refused: prompts refused without a prefill.
    :ivar refused_idle: prompts refused while an engine had no prefill to do.
    :ivar waited: mean seconds from a prompt's arrival until it was sent to an engine.
    :ivar reread_share: share of prompt tokens that engines had to compute, because they
        were neither in the engine's cache nor copied from another engine.
    :ivar busy_by_engine: share of the time that each engine spent on prefills.
    """

    begins: float
    placed: int
    refused: int
    refused_idle: int
    waited: float
    reread_share: float
    busy_by_engine: dict[str, float]


class PredictionSummary(NamedTuple):
    """
    Measured against predicted prefill times at the engines of one role.

    :ivar readings: prefills that ended.
    :ivar failed: those of them that failed.
    :ivar ratios: measured over predicted time, at each of ``QUANTILES``.
    :ivar tokens_per_second: prefill rate while an engine was busy.
    """

    role: str
    readings: int
    failed: int
    ratios: tuple[float, ...]
    tokens_per_second: float


class RoleOrder(NamedTuple):
    """
    An order that changed an engine's role, and the inputs of that decision.

    :ivar at: seconds since the first line.
    """

    at: float
    engine: str
    role: str
    streams: float
    unmet: float
    regret: float


class RouteSummary(NamedTuple):
    """Outcomes of the requests of one route, with failures by code."""

    route: str
    answered: int
    failed_by_code: dict[str, int]


class BrokenRequest(NamedTuple):
    """
    A request whose attempts broke off at several targets.

    Requests of equal content have one fingerprint, whatever their request ids.

    :ivar targets: number of targets at which an attempt broke off.
    :ivar attempts: number of attempts that broke off.
    :ivar shortest: shortest time in seconds from sending an attempt until it broke off.
    :ivar longest: longest such time in seconds.
    """

    fingerprint: str
    targets: int
    attempts: int
    shortest: float
    longest: float


class BrokenTrait(NamedTuple):
    """
    A trait of which different requests broke off at several targets.

    :ivar trait: its last 16 digits are the id of a part of the prompts.
    :ivar targets: number of targets at which such a request broke off.
    :ivar requests: number of these requests that differ in content.
    """

    trait: str
    targets: int
    requests: int


class Analysis(NamedTuple):
    """
    Results of analyzing some logs.

    :ivar lines: number of lines read.
    :ivar unreadable: number of lines that could not be parsed.
    :ivar broken: requests that broke off at two or more targets, most targets first.
    :ivar broken_traits: traits of two or more requests that broke off at two or more
        targets, most targets first.
    """

    lines: int
    unreadable: int
    windows: list[WindowSummary]
    predictions: list[PredictionSummary]
    orders: list[RoleOrder]
    routes: list[RouteSummary]
    broken: list[BrokenRequest]
    broken_traits: list[BrokenTrait]


class _LogLine(NamedTuple):
    at: float
    fields: dict[str, Any]


class _BrokenAttempt(NamedTuple):
    """An attempt that broke off at a target, and how many seconds after it was sent."""

    target: str
    after: float


class _WindowSums:
    """Running sums of one window."""

    def __init__(self) -> None:
        self.placed = 0
        self.refused = 0
        self.refused_idle = 0
        self.waited = 0.0
        self.tokens_computed = 0
        self.tokens_cached = 0
        self.busy_by_engine: dict[str, float] = defaultdict(float)


class _Summarizer:
    """Aggregates log lines, which must be added in order of time."""

    def __init__(self, window: float) -> None:
        self._window = window
        self._windows: dict[int, _WindowSums] = defaultdict(_WindowSums)
        self._outstanding_by_engine: Counter[str] = Counter()
        self._role_by_engine: dict[str, str] = {}
        self._prefills_by_role: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self._answered_by_route: Counter[str] = Counter()
        self._failures_by_route: dict[str, Counter[str]] = defaultdict(Counter)
        self._broken_by_fingerprint: dict[str, list[_BrokenAttempt]] = defaultdict(list)
        self._broken_by_trait: dict[str, set[tuple[str, str]]] = defaultdict(set)
        self.orders: list[RoleOrder] = []
        self._handlers = {
            "target_listed": self._on_target_listed,
            "target_gone": self._on_target_gone,
            "prompt_placed": self._on_prompt_placed,
            "prompt_refused": self._on_prompt_refused,
            "reading_ended": self._on_reading_ended,
            "order_done": self._on_order_done,
            "answered": self._on_answered,
            "request_failed": self._on_request_failed,
            "attempt_failed": self._on_attempt_failed,
        }

    def add(self, line: _LogLine) -> None:
        handler = self._handlers.get(str(line.fields.get("event")))
        if handler is not None:
            handler(line.at, line.fields)

    def _window_at(self, at: float) -> _WindowSums:
        return self._windows[int(at // self._window)]

    def _on_target_listed(self, at: float, fields: dict[str, Any]) -> None:
        if fields.get("role") != "none":
            self._role_by_engine[fields["target"]] = fields["role"]

    def _on_target_gone(self, at: float, fields: dict[str, Any]) -> None:
        self._role_by_engine.pop(fields["target"], None)
        self._outstanding_by_engine.pop(fields["target"], None)

    def _on_prompt_placed(self, at: float, fields: dict[str, Any]) -> None:
        window = self._window_at(at)
        window.placed += 1
        window.waited += fields["waited"]
        window.tokens_computed += fields["tokens"]
        window.tokens_cached += fields["held"] + fields["copied"]
        self._outstanding_by_engine[fields["target"]] += 1

    def _on_prompt_refused(self, at: float, fields: dict[str, Any]) -> None:
        window = self._window_at(at)
        window.refused += 1
        engines = self._role_by_engine
        if any(self._outstanding_by_engine[engine] <= 0 for engine in engines):
            window.refused_idle += 1

    def _on_reading_ended(self, at: float, fields: dict[str, Any]) -> None:
        self._outstanding_by_engine[fields["target"]] -= 1
        self._prefills_by_role[fields["role"]].append(fields)
        if fields["busy"] is not None:
            name = f"{fields['target']} ({fields['role']})"
            self._window_at(at).busy_by_engine[name] += fields["busy"]

    def _on_order_done(self, at: float, fields: dict[str, Any]) -> None:
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

    def _on_answered(self, at: float, fields: dict[str, Any]) -> None:
        self._answered_by_route[str(fields.get("route"))] += 1

    def _on_request_failed(self, at: float, fields: dict[str, Any]) -> None:
        self._failures_by_route[str(fields.get("route"))][str(fields.get("code"))] += 1

    def _on_attempt_failed(self, at: float, fields: dict[str, Any]) -> None:
        if fields["after"] is not None and fields["code"] in BREAK_CODES:
            attempt = _BrokenAttempt(str(fields["target"]), float(fields["after"]))
            fingerprint = str(fields["fingerprint"])
            self._broken_by_fingerprint[fingerprint].append(attempt)
            for trait in fields.get("traits", ()):
                self._broken_by_trait[str(trait)].add((attempt.target, fingerprint))

    def broken(self) -> list[BrokenRequest]:
        requests = [
            BrokenRequest(
                fingerprint,
                len({item.target for item in attempts}),
                len(attempts),
                min(item.after for item in attempts),
                max(item.after for item in attempts),
            )
            for fingerprint, attempts in self._broken_by_fingerprint.items()
        ]
        several = [item for item in requests if item.targets > 1]
        return sorted(several, key=lambda item: (-item.targets, item.fingerprint))

    def broken_traits(self) -> list[BrokenTrait]:
        traits = [
            BrokenTrait(
                trait,
                len({target for target, _ in broken}),
                len({fingerprint for _, fingerprint in broken}),
            )
            for trait, broken in self._broken_by_trait.items()
        ]
        several = [item for item in traits if item.targets > 1 and item.requests > 1]
        return sorted(several, key=lambda item: (-item.targets, item.trait))

    def windows(self) -> list[WindowSummary]:
        return [
            WindowSummary(
                begins=number * self._window,
                placed=sums.placed,
                refused=sums.refused,
                refused_idle=sums.refused_idle,
                waited=round(sums.waited / max(1, sums.placed), 4),
                reread_share=round(
                    sums.tokens_computed
                    / max(1, sums.tokens_computed + sums.tokens_cached),
                    3,
                ),
                busy_by_engine={
                    name: round(busy / self._window, 2)
                    for name, busy in sorted(sums.busy_by_engine.items())
                },
            )
            for number, sums in sorted(self._windows.items())
        ]

    def predictions(self) -> list[PredictionSummary]:
        return [
            _summarize_predictions(role, prefills)
            for role, prefills in sorted(self._prefills_by_role.items())
        ]

    def routes(self) -> list[RouteSummary]:
        names = sorted(self._answered_by_route.keys() | self._failures_by_route.keys())
        return [
            RouteSummary(
                name, self._answered_by_route[name], dict(self._failures_by_route[name])
            )
            for name in names
        ]


def _summarize_predictions(
    role: str, prefills: list[dict[str, Any]]
) -> PredictionSummary:
    completed = [item for item in prefills if item["good"] and item["predicted"] > 0]
    ratios = sorted(item["took"] / item["predicted"] for item in completed)
    busy = sum(item["busy"] or 0.0 for item in completed)
    tokens = sum(item["tokens"] for item in completed if item["busy"])
    return PredictionSummary(
        role=role,
        readings=len(prefills),
        failed=sum(not item["good"] for item in prefills),
        ratios=tuple(round(_quantile(ratios, share), 2) for share in QUANTILES),
        tokens_per_second=round(tokens / busy) if busy else 0.0,
    )


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(share * len(values)))]


def _parse_lines(texts: Iterable[str]) -> Iterator[_LogLine | None]:
    """
    Parse log lines, including lines to which a log collector added a prefix.

    :returns: ``None`` for each line that cannot be parsed.
    """
    decoder = msgspec.json.Decoder(dict[str, Any])
    for text in texts:
        offset = text.find("{")
        if offset < 0:
            yield None
            continue
        try:
            fields = decoder.decode(text[offset:])
            parsed_time = datetime.fromisoformat(str(fields["timestamp"]))
        except (msgspec.DecodeError, KeyError, ValueError):
            yield None
            continue
        yield _LogLine(parsed_time.timestamp(), fields)


def analyze(texts: Iterable[str], window: float) -> Analysis:
    """
    Analyze the logs of some gateways.

    :param texts: log lines of one or more gateways, in any order.
    :param window: length of a window in seconds.
    """
    parsed = list(_parse_lines(texts))
    lines = sorted((line for line in parsed if line), key=lambda line: line.at)
    start = lines[0].at if lines else 0.0
    summarizer = _Summarizer(window)
    unreadable = len(parsed) - len(lines)
    for line in lines:
        try:
            summarizer.add(line._replace(at=line.at - start))
        except (KeyError, TypeError):
            # Lines written by another version may lack a field that is needed here.
            unreadable += 1
    return Analysis(
        len(parsed),
        unreadable,
        summarizer.windows(),
        summarizer.predictions(),
        summarizer.orders,
        summarizer.routes(),
        summarizer.broken(),
        summarizer.broken_traits(),
    )
