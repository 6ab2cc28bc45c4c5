"""How crashes are found out, and what is told of them."""

from random import Random

import pytest
from twisted.internet.defer import Deferred

from pimentolink.crashreports import TRY_NOTICE, CrashReports
from pimentolink.dialect import CallerRequest
from pimentolink.errors import Quarantined
from pimentolink.httptypes import HttpRequest
from pimentolink.logs import LogEvent
from pimentolink.peermessages import (
    MAX_CRASH_FINGERPRINTS,
    SuspectCleared,
    SuspectTried,
    TargetCrashed,
)
from pimentolink.suspects import Suspects
from pimentolink.suspicion import FIRST_PAUSE
from pimentolink.timers import ManualTimers
from tests.gatewayparts import fleet, target

FATAL = "f" * 32


def asked(fingerprint=FATAL, request_id="a"):
    http = HttpRequest(b"POST", b"/p/", ())
    return CallerRequest(
        request_id, http, "h.example", "/p/", 0.0, None, fingerprint=fingerprint
    )


class World:
    """One gateway's reports; whatever it tells is kept."""

    def __init__(self, *targets):
        self.timers = ManualTimers()
        self.told = []
        self.lines = []
        self.listening = set()
        self.asked = 0
        self.fleet = fleet(*targets)
        self.suspects = Suspects(Random(1))
        self.reports = CrashReports(self.suspects, self, self.timers, self)
        self.reports.is_listening = self.is_listening

    def broadcast(self, message):
        self.told.append(message)

    def write(self, event, **fields):
        self.lines.append((event, fields))

    async def is_listening(self, estimate):
        self.asked += 1
        return estimate.target.target_id in self.listening

    def estimate(self, name):
        return self.fleet.targets_by_id[name]

    def lose(self, name, request):
        self.reports.cut_off(request, self.estimate(name))
        self.reports.connection_lost(self.estimate(name))

    def admit(self, request):
        """Admit a request; raise what keeps it from targets."""
        outcome = []
        admitting = Deferred.fromCoroutine(self.reports.admit(request))
        admitting.addBoth(outcome.append)
        self.timers.advance(TRY_NOTICE)
        if outcome[0] is not None:
            outcome[0].raiseException()

    def crashes(self, request):
        return self.suspects.crashes(request.fingerprint, self.timers.now())


@pytest.fixture
def world():
    return World(target("t1"), target("t2", is_leaving=True), target("t3"))


class TestFindingOut:
    def test_target_that_refuses_connections_has_crashed(self, world):
        world.lose("t1", asked())
        key = world.estimate("t1").target.key
        assert world.told == [TargetCrashed(key, [FATAL])]
        event, fields = world.lines[0]
        assert event is LogEvent.TARGET_CRASHED
        assert fields["fingerprints"] == [FATAL]

    def test_target_that_still_listens_has_not(self, world):
        world.listening.add("t1")
        world.lose("t1", asked())
        assert world.told == []
        assert world.crashes(asked()) == []

    def test_target_whose_entry_goes_after_the_break_has_crashed(self, world):
        world.listening.add("t1")
        world.lose("t1", asked())
        world.reports.target_ended(world.estimate("t1").target, "no longer listed")
        assert len(world.crashes(asked())) == 1

    def test_target_that_leaves_as_announced_has_not(self, world):
        world.lose("t2", asked())
        assert world.told == []

    def test_target_whose_entry_went_before_the_break_has_not(self, world):
        estimate = world.estimate("t1")
        estimate.missing_since = 0.0
        world.reports.cut_off(asked(), estimate)
        world.reports.target_ended(estimate.target, "nothing listens")
        assert world.crashes(asked()) == []

    def test_request_whose_caller_left_just_before_counts(self, world):
        """Its caller's impatience does not hide what it does."""
        world.reports.cut_off(asked(), world.estimate("t1"))
        world.lose("t1", asked("0" * 32))
        assert len(world.crashes(asked())) == 1

    def test_many_breaks_at_once_ask_the_target_once(self, world):
        pending = []

        async def is_listening(estimate):
            world.asked += 1
            pending.append(Deferred())
            return await pending[-1]

        world.reports.is_listening = is_listening
        for number in range(40):
            world.lose("t1", asked(f"{number:032x}"))
        assert world.asked == 1
        pending[0].callback(False)
        sizes = [len(message.fingerprints) for message in world.told]
        assert sizes == [MAX_CRASH_FINGERPRINTS, 40 - MAX_CRASH_FINGERPRINTS]


class TestAdmission:
    def make_suspect(self, world):
        for name in ("t1", "t3"):
            world.lose(name, asked())
        world.told.clear()

    def test_suspect_is_refused_with_a_time_to_come_back(self, world):
        self.make_suspect(world)
        with pytest.raises(Quarantined) as refused:
            world.admit(asked(request_id="b"))
        assert FIRST_PAUSE <= refused.value.retry_after <= 2 * FIRST_PAUSE

    def test_others_are_told_that_it_is_tried(self, world):
        self.make_suspect(world)
        world.timers.advance(2 * FIRST_PAUSE)
        world.admit(asked(request_id="b"))
        assert world.told == [SuspectTried(FATAL)]
        world.admit(asked(request_id="b"))
        assert world.told == [SuspectTried(FATAL)]

    def test_try_gives_way_to_one_that_began_at_the_same_moment(self, world):
        self.make_suspect(world)
        world.timers.advance(2 * FIRST_PAUSE)
        outcome = []
        admitting = Deferred.fromCoroutine(world.reports.admit(asked(request_id="b")))
        admitting.addBoth(outcome.append)
        assert outcome == []
        world.reports.take(SuspectTried("0" * 32), "peer")
        world.timers.advance(TRY_NOTICE)
        assert outcome[0].check(Quarantined)

    def test_answer_of_a_suspect_is_told(self, world):
        self.make_suspect(world)
        world.reports.answered(asked())
        keys = [world.estimate(name).target.key for name in ("t1", "t3")]
        assert world.told == [SuspectCleared(FATAL, keys)]

    def test_answer_after_one_crash_is_not_worth_telling(self, world):
        world.lose("t1", asked())
        world.told.clear()
        world.reports.answered(asked())
        assert world.told == []


class TestOthersNews:
    def test_crashes_that_two_gateways_saw_add_up(self, world):
        world.lose("t1", asked())
        world.reports.take(TargetCrashed(99, [FATAL]), "peer")
        with pytest.raises(Quarantined):
            world.admit(asked(request_id="b"))
        struck = [fields for event, fields in world.lines if "wait" in fields]
        assert (struck[0]["crashes"], struck[0]["source"]) == (2, "peer")

    def test_cleared_request_may_be_sent(self, world):
        for key in (98, 99):
            world.reports.take(TargetCrashed(key, [FATAL]), "peer")
        world.reports.take(SuspectCleared(FATAL, [98]), "store")
        world.admit(asked())
