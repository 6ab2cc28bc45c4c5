"""Every order of events around two tries that begin at the same moment."""

import pickle
from random import Random
from typing import NamedTuple

import pytest
from minicheck import check_safety

from pimentolink.crashreports import CrashReports
from pimentolink.peermessages import SuspectTried
from pimentolink.suspects import Suspects
from pimentolink.suspicion import FIRST_PAUSE, LONG_PAUSE
from pimentolink.timers import ManualTimers
from specs.protocol import make_protocol
from tests.gatewayparts import fleet, target
from tests.test_crashreports import asked
from tools.replay import QuietLog

FATAL = "8" * 32
# Innocent requests, the first of which goes on when its try crosses that of the fatal
# one, and the second does not.
LESSER, GREATER = "0" * 32, "f" * 32
EARLIER_CRASHES = (1, 2)
MAX_STATES = 300_000
NOW = 2 * FIRST_PAUSE

ASKED, NOTICED, SENT, BROKEN, OVER = "asked", "noticed", "sent", "broken", "over"


class LeastSpread(Random):
    """Spreads nothing, so that equal states compare equal."""

    def uniform(self, a, b):
        return a


class World(NamedTuple):
    """
    Two gateways, each with one request, and the only target that both may use.

    :ivar suspects: what each gateway knows, pickled.
    :ivar phases: of each gateway's request.
    :ivar wire: messages on their way to each gateway, pickled.
    :ivar has_ended: whether the target crashed.
    :ivar knows_end: whether each gateway found that out.
    """

    suspects: tuple[bytes, bytes]
    phases: tuple[str, str]
    wire: tuple[tuple[bytes, ...], tuple[bytes, ...]]
    has_ended: bool
    knows_end: tuple[bool, bool]


def put(values, number, value):
    return (value, values[1]) if number == 0 else (values[0], value)


class Scenario:
    """
    The orders in which two gateways may try two suspects.

    The steps run the gateways' own decisions. Messages arrive in any order.

    :param fingerprints: what each gateway is asked.
    :param is_prompt: whether news of a try arrive within the notice that is given.
    """

    def __init__(self, fingerprints, is_prompt):
        self.fingerprints = fingerprints
        self.is_prompt = is_prompt
        self.estimate = fleet(target("t3")).targets_by_id["t3"]
        known = Suspects(LeastSpread(1))
        for key in EARLIER_CRASHES:
            known.strike(key, sorted(set(fingerprints) | {FATAL}), 0.0)
        snapshot = pickle.dumps(known)
        self.initial = World(
            (snapshot, snapshot), (ASKED, ASKED), ((), ()), False, (False, False)
        )

    def steps(self, world, guards):
        for number in range(2):
            yield from self.request_steps(world, number)
            if world.has_ended and not world.knows_end[number]:
                yield f"{number} finds the crash", self.act(world, number, "ended")
            for place in range(len(world.wire[number])):
                yield f"{number} hears", self.hear(world, number, place)
        if not world.has_ended and any(
            phase == SENT and name == FATAL
            for phase, name in zip(world.phases, self.fingerprints, strict=True)
        ):
            yield "the target crashes", world._replace(has_ended=True)

    def request_steps(self, world, number):
        phase = world.phases[number]
        is_fatal = self.fingerprints[number] == FATAL
        if phase == ASKED:
            yield f"{number} begins", self.act(world, number, "begin")
        elif phase == NOTICED:
            if not (self.is_prompt and has_notices(world)):
                yield f"{number} sends", self.act(world, number, "send")
        elif phase == SENT and world.has_ended:
            yield f"{number} breaks off", self.act(world, number, "break")
        elif phase == SENT and not is_fatal:
            yield f"{number} is answered", self.act(world, number, "answer")

    def act(self, world, number, step):
        """Let one gateway do something, and put what it tells on the wire."""
        suspects = pickle.loads(world.suspects[number])
        told = []
        phase = self._act(suspects, told, world, number, step)
        other = 1 - number
        arriving = (*world.wire[other], *(pickle.dumps(item) for item in told))
        return world._replace(
            suspects=put(world.suspects, number, pickle.dumps(suspects)),
            phases=put(world.phases, number, phase),
            wire=put(world.wire, other, tuple(sorted(arriving))),
            knows_end=put(
                world.knows_end, number, step == "ended" or world.knows_end[number]
            ),
        )

    def _act(self, suspects, told, world, number, step):
        request = asked(self.fingerprints[number], f"r{number}")
        reports = reports_of(suspects, told)
        if step == "begin":
            if reports.is_refused(request):
                return OVER
            reports.give_notice(request)
            return NOTICED
        if step == "send":
            if world.has_ended or reports.is_refused(request):
                return OVER
            reports.send(request)
            return SENT
        if step == "break":
            reports.cut_off(request, self.estimate)
            return BROKEN
        if step == "answer":
            reports.answered(request)
            return OVER
        reports.target_ended(self.estimate.target, "nothing listens")
        return world.phases[number]

    def hear(self, world, number, place):
        suspects = pickle.loads(world.suspects[number])
        arriving = world.wire[number]
        message = pickle.loads(arriving[place])
        reports_of(suspects, []).take(message, "peer")
        return world._replace(
            suspects=put(world.suspects, number, pickle.dumps(suspects)),
            wire=put(world.wire, number, arriving[:place] + arriving[place + 1 :]),
        )

    def is_contested(self, values):
        """Tell whether the target crashed under tries that had not heard of another."""
        is_unheard = not self.is_prompt and len(set(self.fingerprints)) > 1
        return is_unheard and values["phases"] == (BROKEN, BROKEN)

    def fatal_is_held(self, values):
        least = FIRST_PAUSE if self.is_contested(values) else LONG_PAUSE
        return not is_settled(values) or min(waits(values, FATAL)) >= least

    def others_are_not_blamed(self, values):
        held = [max(waits(values, name)) for name in (LESSER, GREATER)]
        return not is_settled(values) or max(held) < LONG_PAUSE

    def refuted(self):
        """Return the shortest orders of events in which something does not hold."""
        invariants = {
            "what crashed a target as it was tried is held": self.fatal_is_held,
            "what was only there is not held for long": self.others_are_not_blamed,
        }
        protocol = make_protocol(
            "crossed tries", self.initial, self.steps, frozenset(), invariants
        )
        result = check_safety(protocol, max_states=MAX_STATES)
        assert result["exhaustive"]
        return {
            name: [state["label"] for state in found["counterexample"]]
            for name, found in result["properties"].items()
            if not found["holds"]
        }


def has_notices(world):
    """Tell whether a try is not known to all yet."""
    arriving = [pickle.loads(data) for wire in world.wire for data in wire]
    return any(isinstance(message, SuspectTried) for message in arriving)


class Reports(CrashReports):
    """Reports whose notice of a try ends when the scenario says so."""

    def is_refused(self, request):
        found = self._suspects.refusal(request.fingerprint, request.request_id, NOW)
        return found is not None

    def give_notice(self, request):
        name, request_id = request.fingerprint, request.request_id
        if self._suspects.try_again(name, request_id, NOW):
            self._news.broadcast(SuspectTried(name))

    def send(self, request):
        self._suspects.try_sent(request.request_id)


class Told:
    def __init__(self, told):
        self.broadcast = told.append


def reports_of(suspects, told):
    timers = ManualTimers()
    timers.advance(NOW)
    return Reports(suspects, Told(told), timers, QuietLog())


def is_settled(values):
    """Tell whether all of a crash was seen and told."""
    return (
        values["has_ended"]
        and all(values["knows_end"])
        and not any(values["wire"])
        and all(phase in (BROKEN, OVER) for phase in values["phases"])
    )


def waits(values, name):
    found = [pickle.loads(data) for data in values["suspects"]]
    return [
        item.wait(name, NOW) if item.is_suspect(name, NOW) else 0.0 for item in found
    ]


@pytest.mark.parametrize("other", [LESSER, GREATER, FATAL])
@pytest.mark.parametrize("is_prompt", [True, False])
def test_one_that_crashes_its_target_is_to_blame(other, is_prompt):
    """A try of which others hear late, or that others overtook, blamed nobody."""
    assert Scenario((FATAL, other), is_prompt).refuted() == {}
