"""Every order of events around two trials that begin at the same moment."""

import pickle
from random import Random
from typing import NamedTuple

import pytest
from minicheck import check_safety

from pimentolink.crashhistory import FAILED_TRIAL_QUARANTINE, SUSPECT_QUARANTINE
from pimentolink.crashreports import CrashReports
from pimentolink.peermessages import SuspectTried
from pimentolink.suspects import SuspectTracker
from pimentolink.timers import ManualTimers
from specs.protocol import make_protocol
from tests.gatewaybuilders import fleet, target
from tests.test_crashreports import make_request
from tools.replay import QuietLog

FATAL = "8" * 32
# Innocent requests. When both gateways begin a trial at once, that of the first is kept
# and the fatal one ends; that of the second ends and the fatal one is kept.
LESSER, GREATER = "0" * 32, "f" * 32
EARLIER_CRASHES = (1, 2)
MAX_STATES = 300_000
NOW = 2 * SUSPECT_QUARANTINE

ASKED, NOTICED, SENT, BROKEN, OVER = "asked", "noticed", "sent", "broken", "over"


class WithoutJitter(Random):
    """Adds no jitter, so that equal states compare equal."""

    def uniform(self, a, b):
        return a


class World(NamedTuple):
    """
    Two gateways, each with one request, and the only target that both may use.

    :ivar suspects: each gateway's tracked suspects, pickled.
    :ivar phases: of each gateway's request.
    :ivar wire: messages in transit to each gateway, pickled.
    :ivar has_ended: whether the target crashed.
    :ivar knows_end: whether each gateway detected the crash.
    """

    suspects: tuple[bytes, bytes]
    phases: tuple[str, str]
    wire: tuple[tuple[bytes, ...], tuple[bytes, ...]]
    has_ended: bool
    knows_end: tuple[bool, bool]


def replace_item(values, number, value):
    return (value, values[1]) if number == 0 else (values[0], value)


class Scenario:
    """
    The orders in which two gateways may try two suspects.

    The steps run the gateways' own code. Messages arrive in any order.

    :param fingerprints: of the request that each gateway gets.
    :param is_announced_in_time: whether announcements of a trial arrive before it is
        sent.
    """

    def __init__(self, fingerprints, is_announced_in_time):
        self.fingerprints = fingerprints
        self.is_announced_in_time = is_announced_in_time
        self.estimate = fleet(target("t3")).targets_by_id["t3"]
        known = SuspectTracker(WithoutJitter(1))
        for key in EARLIER_CRASHES:
            known.record_crash(key, sorted(set(fingerprints) | {FATAL}), 0.0)
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
                yield f"{number} hears", self.receive(world, number, place)
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
            if not (self.is_announced_in_time and has_announcements(world)):
                yield f"{number} sends", self.act(world, number, "send")
        elif phase == SENT and world.has_ended:
            yield f"{number} breaks off", self.act(world, number, "break")
        elif phase == SENT and not is_fatal:
            yield f"{number} is answered", self.act(world, number, "answer")

    def act(self, world, number, step):
        """Run one step of a gateway, and put the messages that it sends on the wire."""
        suspects = pickle.loads(world.suspects[number])
        messages = []
        phase = self._act(suspects, messages, world, number, step)
        other = 1 - number
        arriving = (*world.wire[other], *(pickle.dumps(item) for item in messages))
        return world._replace(
            suspects=replace_item(world.suspects, number, pickle.dumps(suspects)),
            phases=replace_item(world.phases, number, phase),
            wire=replace_item(world.wire, other, tuple(sorted(arriving))),
            knows_end=replace_item(
                world.knows_end, number, step == "ended" or world.knows_end[number]
            ),
        )

    def _act(self, suspects, messages, world, number, step):
        request = make_request(self.fingerprints[number], f"r{number}")
        reports = make_reports(suspects, messages)
        if step == "begin":
            if reports.is_refused(request):
                return OVER
            reports.announce(request)
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
            reports.request_succeeded(request, self.estimate)
            return OVER
        reports.target_ended(self.estimate.target, "nothing listens")
        return world.phases[number]

    def receive(self, world, number, place):
        suspects = pickle.loads(world.suspects[number])
        arriving = world.wire[number]
        message = pickle.loads(arriving[place])
        make_reports(suspects, []).receive(message, "peer")
        return world._replace(
            suspects=replace_item(world.suspects, number, pickle.dumps(suspects)),
            wire=replace_item(
                world.wire, number, arriving[:place] + arriving[place + 1 :]
            ),
        )

    def is_ambiguous(self, values):
        """Tell whether the target crashed during trials not announced to each other."""
        is_unannounced = (
            not self.is_announced_in_time and len(set(self.fingerprints)) > 1
        )
        return is_unannounced and values["phases"] == (BROKEN, BROKEN)

    def fatal_is_held(self, values):
        least = (
            SUSPECT_QUARANTINE if self.is_ambiguous(values) else FAILED_TRIAL_QUARANTINE
        )
        return not is_settled(values) or min(quarantine_times(values, FATAL)) >= least

    def others_are_not_blamed(self, values):
        held = [max(quarantine_times(values, name)) for name in (LESSER, GREATER)]
        return not is_settled(values) or max(held) < FAILED_TRIAL_QUARANTINE

    def violations(self):
        """Return the shortest order of events that violates each invariant."""
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


def has_announcements(world):
    """Tell whether an announcement of a trial is still in transit."""
    arriving = [pickle.loads(data) for wire in world.wire for data in wire]
    return any(isinstance(message, SuspectTried) for message in arriving)


class Reports(CrashReports):
    """Reports in which the scenario decides when an announced trial is sent."""

    def is_refused(self, request):
        found = self._suspects.refusal(request.fingerprint, request.request_id, NOW)
        return found is not None

    def announce(self, request):
        name, request_id = request.fingerprint, request.request_id
        if self._suspects.begin_trial(name, request_id, NOW):
            self._publisher.broadcast(SuspectTried(name))

    def send(self, request):
        self._suspects.trial_sent(request.request_id)


class MessageList:
    def __init__(self, messages):
        self.broadcast = messages.append


def make_reports(suspects, messages):
    timers = ManualTimers()
    timers.advance(NOW)
    return Reports(suspects, MessageList(messages), timers, QuietLog())


def is_settled(values):
    """Tell whether both gateways know of the crash and both requests are done."""
    return (
        values["has_ended"]
        and all(values["knows_end"])
        and not any(values["wire"])
        and all(phase in (BROKEN, OVER) for phase in values["phases"])
    )


def quarantine_times(values, name):
    found = [pickle.loads(data) for data in values["suspects"]]
    return [
        item.remaining_quarantine(name, NOW) if item.is_suspect(name, NOW) else 0.0
        for item in found
    ]


@pytest.mark.parametrize("other", [LESSER, GREATER, FATAL])
@pytest.mark.parametrize("is_announced_in_time", [True, False])
def test_one_that_crashes_its_target_is_to_blame(other, is_announced_in_time):
    """
    Guards that the request whose trial crashes its target is blamed.

    Nobody was blamed for a crash during a trial that was announced late or that another
    gateway's trial had superseded.
    """
    assert Scenario((FATAL, other), is_announced_in_time).violations() == {}
