"""Which requests are suspected of crashing targets, and for how long quarantined."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentolink.crashhistory import (
    CRASH_TTL,
    FAILED_TRIAL_QUARANTINE,
    SUSPECT_QUARANTINE,
    quarantine_time,
)
from pimentolink.errors import Quarantined
from pimentolink.suspects import (
    MAX_BROKEN_PER_TARGET,
    MAX_SINGLE_CRASH_REQUESTS,
    MAX_SUSPECTS,
    QUARANTINE_JITTER,
    SUCCESS_TTL,
    TRIAL_TIME,
    SuspectTracker,
)

FATAL, OTHER = "f" * 32, "0" * 32


@pytest.fixture
def suspects():
    return SuspectTracker(Random(1))


def crash(suspects, target, now, *names):
    for name in names:
        suspects.exchange_broken(name, "", target, now)
    return suspects.target_ended(target, now)


def fail_trial(suspects, target, now, *others):
    """Crash a target during a trial of the fatal request, with others in flight."""
    suspects.begin_trial(FATAL, "tried", now)
    for name in others:
        suspects.exchange_broken(name, "", target, now)
    suspects.exchange_broken(FATAL, "tried", target, now)
    return suspects.target_ended(target, now)


class TestCrashes:
    """Load pattern: one of tens of requests crashes each target that starts it."""

    def test_all_that_was_under_way_is_struck(self, suspects):
        assert crash(suspects, 1, 0.0, FATAL, OTHER) == [FATAL, OTHER]

    def test_one_crash_keeps_nothing_from_targets(self, suspects):
        crash(suspects, 1, 0.0, FATAL)
        assert suspects.refusal(FATAL, "a", 0.0) is None

    def test_who_is_there_each_time_waits_longer_and_longer(self, suspects):
        now = 0.0
        for target in (1, 2):
            crash(suspects, target, now, FATAL, f"{target:032x}")
        for target, quarantine in enumerate(
            (SUSPECT_QUARANTINE, FAILED_TRIAL_QUARANTINE, 2 * FAILED_TRIAL_QUARANTINE),
            3,
        ):
            wait = suspects.remaining_quarantine(FATAL, now)
            assert quarantine <= wait <= quarantine * (1 + QUARANTINE_JITTER)
            now += wait
            fail_trial(suspects, target, now)
        for number in (1, 2):
            assert suspects.refusal(f"{number:032x}", "a", now) is None

    def test_refusal_tells_when_to_come_back(self, suspects):
        for target in (1, 2):
            crash(suspects, target, 0.0, FATAL)
        refused = suspects.refusal(FATAL, "a", 1.0)
        assert isinstance(refused, Quarantined)
        assert not refused.ran
        assert refused.retry_after == suspects.remaining_quarantine(FATAL, 1.0)

    def test_crash_is_held_against_a_request_once_whoever_tells_it(self, suspects):
        crash(suspects, 1, 0.0, FATAL)
        assert suspects.record_crash(1, [FATAL], 0.1) == []
        assert suspects.crashes(FATAL, 0.1) == [1]

    def test_break_without_an_end_of_its_target_is_no_crash(self, suspects):
        for target in (1, 2, 3):
            suspects.exchange_broken(FATAL, "", target, 0.0)
        assert suspects.crashes(FATAL, 0.0) == []

    def test_break_that_comes_to_light_after_the_end_counts(self, suspects):
        crash(suspects, 1, 0.0)
        assert suspects.exchange_broken(FATAL, "", 1, 0.1)
        assert suspects.crashes(FATAL, 0.1) == [1]

    def test_break_of_long_ago_does_not_count(self, suspects):
        suspects.exchange_broken(FATAL, "", 1, 0.0)
        assert suspects.target_ended(1, 100.0) == []

    def test_pauses_double_with_each_try_that_fails(self):
        assert [quarantine_time(n, 0) for n in range(4)] == [0, 0, 4, 4]
        assert [quarantine_time(2 + n, n) for n in range(1, 4)] == [60, 120, 240]


class TestTry:
    """Load pattern: several gateways get a suspect at once as its quarantine ends."""

    @pytest.fixture
    def suspected(self, suspects):
        for target in (1, 2):
            crash(suspects, target, 0.0, FATAL)
        return suspects

    def test_is_made_once_at_a_time(self, suspected):
        now = 2 * SUSPECT_QUARANTINE
        assert suspected.refusal(FATAL, "a", now) is None
        assert suspected.begin_trial(FATAL, "a", now)
        assert suspected.refusal(FATAL, "b", now) is not None
        assert suspected.refusal(FATAL, "b", now + TRIAL_TIME) is None

    def test_goes_on_to_its_next_target_stage(self, suspected):
        now = 2 * SUSPECT_QUARANTINE
        suspected.begin_trial(FATAL, "a", now)
        assert suspected.refusal(FATAL, "a", now + 0.5) is None
        assert not suspected.begin_trial(FATAL, "a", now + 0.5)

    def test_ends_with_the_next_crash(self, suspected):
        now = 2 * SUSPECT_QUARANTINE
        suspected.begin_trial(FATAL, "a", now)
        crash(suspected, 3, now, FATAL)
        assert suspected.refusal(FATAL, "a", now) is not None

    def test_by_another_gateway_is_waited_for(self, suspected):
        now = 2 * SUSPECT_QUARANTINE
        suspected.peer_trial_begun(FATAL, now)
        assert suspected.refusal(FATAL, "a", now) is not None

    @pytest.mark.parametrize("name", [FATAL, OTHER])
    def test_goes_on_when_another_request_alike_is_answered(self, suspected, name):
        # Two gateways had a trial under way at one engine when it crashed, since the
        # second had answered a request like the one that the first was trying.
        now = 2 * SUSPECT_QUARANTINE
        suspected.peer_trial_begun(name, now)
        suspected.answered(OTHER, "sent earlier", now + 0.01)
        assert suspected.refusal(FATAL, "a", now + 0.02) is not None


class TestWhoIsToBlame:
    """
    Load pattern: what many callers send is in flight at each crash of another request.

    Three crashes counted against each of three requests. All three were quarantined for
    the same time and tried at the same moment at the same targets, and each crash that
    the fatal one caused counted against all of them again. 12 s after the last fault,
    no gateway served the two innocent ones:

        03.584 suspect_struck fingerprint=55ad… crashes=3 wait=70.2
        03.584 suspect_struck fingerprint=fc61… crashes=3 wait=77.1
        03.584 suspect_struck fingerprint=bba8… crashes=3 wait=86.9

    Being in flight at a crash does not make a request its cause. So one suspect is
    tried at a time; one whose trial crashes a target is blamed, and its crashes no
    longer count against the others.
    """

    @pytest.fixture
    def suspected(self, suspects):
        for target in (1, 2):
            crash(suspects, target, 0.0, FATAL, OTHER)
        return suspects

    def test_one_suspect_is_tried_at_a_time(self, suspected):
        now = 2 * SUSPECT_QUARANTINE
        assert suspected.begin_trial(FATAL, "a", now)
        refused = suspected.refusal(OTHER, "b", now)
        assert isinstance(refused, Quarantined)
        assert 0 < refused.retry_after <= TRIAL_TIME
        assert suspected.refusal(OTHER, "b", now + TRIAL_TIME) is None

    @pytest.mark.parametrize("ending", ["answered", "crashed"])
    def test_next_is_tried_as_soon_as_the_first_is_through(self, suspected, ending):
        now = 2 * SUSPECT_QUARANTINE
        suspected.begin_trial(FATAL, "a", now)
        if ending == "answered":
            suspected.answered(FATAL, "a", now + 0.1)
        else:
            crash(suspected, 3, now + 0.1, FATAL)
        assert suspected.refusal(OTHER, "b", now + 0.1) is None

    def test_who_crashed_a_target_as_it_was_tried_is_to_blame(self, suspected):
        now = 2 * SUSPECT_QUARANTINE
        fail_trial(suspected, 3, now, "1" * 32)
        assert suspected.crashes(FATAL, now) == [1, 2, 3]
        assert suspected.remaining_quarantine(FATAL, now) >= FAILED_TRIAL_QUARANTINE
        assert suspected.crashes(OTHER, now) == suspected.crashes("1" * 32, now) == []
        assert suspected.refusal(OTHER, "b", now) is None

    def test_crash_that_comes_to_light_after_the_try_blames_as_well(self, suspected):
        now = 2 * SUSPECT_QUARANTINE
        suspected.begin_trial(FATAL, "a", now)
        suspected.exchange_broken(FATAL, "a", 3, now)
        assert suspected.refusal(FATAL, "b", now) is not None
        suspected.target_ended(3, now + 2 * TRIAL_TIME)
        assert (
            suspected.remaining_quarantine(FATAL, now + 2 * TRIAL_TIME)
            >= FAILED_TRIAL_QUARANTINE
        )

    def test_crash_told_twice_blames_once_it_is_told_of_the_try(self, suspected):
        assert suspected.record_crash(3, [FATAL], 1.0) == [FATAL]
        assert suspected.remaining_quarantine(FATAL, 1.0) < FAILED_TRIAL_QUARANTINE
        assert suspected.record_crash(3, [FATAL], 1.0, is_trial=True) == [FATAL]
        assert suspected.remaining_quarantine(FATAL, 1.0) >= FAILED_TRIAL_QUARANTINE

    def test_explained_crash_is_not_held_against_others_when_told_late(self, suspected):
        now = 2 * SUSPECT_QUARANTINE
        fail_trial(suspected, 3, now)
        for target in (1, 2, 3):
            assert suspected.record_crash(target, [OTHER], now) == []

    def test_release_of_who_was_blamed_explains_nothing_more(self, suspected):
        now = 2 * SUSPECT_QUARANTINE
        fail_trial(suspected, 3, now)
        suspected.clear(FATAL, [1, 2, 3], now)
        assert suspected.record_crash(3, [OTHER], now) == [OTHER]

    @pytest.mark.parametrize("own, other", [(FATAL, OTHER), (OTHER, FATAL)])
    def test_of_tries_that_cross_exactly_one_may_blame(self, suspects, own, other):
        """Two gateways begin a trial each, before they learn of the other's."""
        gateways = {own: suspects, other: SuspectTracker(Random(2))}
        now = 2 * SUSPECT_QUARANTINE
        for name, gateway in gateways.items():
            for target in (1, 2):
                crash(gateway, target, 0.0, own, other)
            gateway.begin_trial(name, name, now)
        gateways[own].peer_trial_begun(other, now)
        gateways[other].peer_trial_begun(own, now)
        for name, gateway in gateways.items():
            gateway.exchange_broken(name, name, 3, now)
            gateway.target_ended(3, now)
        blamed = [name for name, item in gateways.items() if item.is_blamed(name, 3)]
        assert blamed == [min(own, other)]

    def test_crash_under_two_tries_blames_neither_until_one_fails_alone(
        self, suspected
    ):
        """A trial announced late may run at the same time as an innocent request's."""
        now = 2 * SUSPECT_QUARANTINE
        for name in (OTHER, FATAL):
            assert suspected.record_crash(3, [name], now, is_trial=True) == [name]
        for name in (OTHER, FATAL):
            assert suspected.crashes(name, now) == [1, 2, 3]
            assert (
                SUSPECT_QUARANTINE
                <= suspected.remaining_quarantine(name, now)
                < FAILED_TRIAL_QUARANTINE
            )
        suspected.record_crash(4, [FATAL], 2 * now, is_trial=True)
        assert suspected.remaining_quarantine(FATAL, 2 * now) >= FAILED_TRIAL_QUARANTINE
        assert suspected.crashes(OTHER, 2 * now) == []

    def test_who_is_known_to_blame_explains_a_crash_under_two_tries(self, suspected):
        now = 2 * SUSPECT_QUARANTINE
        suspected.record_crash(3, [FATAL], now, is_trial=True)
        for name in (OTHER, FATAL):
            suspected.record_crash(4, [name], now, is_trial=True)
        assert suspected.remaining_quarantine(FATAL, now) >= FAILED_TRIAL_QUARANTINE
        assert suspected.crashes(OTHER, now) == []

    def test_who_was_only_there_each_time_is_not_to_blame(self, suspected):
        for target in (3, 4, 5):
            crash(suspected, target, 0.0, FATAL, OTHER)
        for name in (FATAL, OTHER):
            assert len(suspected.crashes(name, 0.0)) == 5
            assert suspected.remaining_quarantine(name, 0.0) < FAILED_TRIAL_QUARANTINE


class TestInnocence:
    def test_answer_clears(self, suspects):
        for target in (1, 2):
            crash(suspects, target, 0.0, FATAL)
        assert suspects.answered(FATAL, "a", 10.0) == [1, 2]
        assert suspects.refusal(FATAL, "a", 10.0) is None

    def test_what_many_ask_and_is_answered_is_not_struck(self, suspects):
        """Many targets fail at once, with the same lookup in flight at each."""
        suspects.answered(OTHER, "a", 0.0)
        for target in range(8):
            crash(suspects, target, 1.0, OTHER)
        assert suspects.crashes(OTHER, 1.0) == []

    def test_answer_of_long_ago_proves_nothing(self, suspects):
        suspects.answered(FATAL, "a", 0.0)
        crash(suspects, 1, SUCCESS_TTL, FATAL)
        assert suspects.crashes(FATAL, SUCCESS_TTL) == [1]

    def test_cleared_crash_is_not_believed_when_told_late(self, suspects):
        suspects.clear(FATAL, [1, 2], 0.0)
        assert suspects.record_crash(1, [FATAL], 1.0) == []
        assert suspects.record_crash(3, [FATAL], 1.0) == [FATAL]

    def test_crashes_are_forgotten(self, suspects):
        for target in (1, 2, 3):
            crash(suspects, target, 0.0, FATAL)
        assert suspects.crashes(FATAL, CRASH_TTL + 1) == []
        assert suspects.refusal(FATAL, "a", CRASH_TTL + 1) is None


class TestBounds:
    def test_mass_of_innocents_does_not_push_suspects_out(self, suspects):
        for target in (1, 2, 3):
            crash(suspects, target, 0.0, FATAL)
        for number in range(2 * MAX_SINGLE_CRASH_REQUESTS):
            suspects.record_crash(4, [f"{number:032x}"], 1.0)
        assert suspects.refusal(FATAL, "a", 1.0) is not None
        (stored,) = [item for item in suspects.unstored(1, 1.0) if item.target == 4]
        assert len(stored.fingerprints) == MAX_SINGLE_CRASH_REQUESTS

    def test_what_a_target_that_lives_on_cuts_off_is_forgotten(self, suspects):
        """Callers that disconnect cut off many exchanges at targets that never end."""
        for number in range(3 * MAX_BROKEN_PER_TARGET):
            suspects.exchange_broken(f"{number:032x}", "", 1, 0.001 * number)
        assert len(suspects.target_ended(1, 0.001 * number)) <= MAX_BROKEN_PER_TARGET
        for number in range(100):
            suspects.exchange_broken(f"{number:032x}", "", 2, 10.0 * number)
        assert sum(len(item) for item in suspects._broken_by_target.values()) <= 2

    def test_suspects_are_bounded(self, suspects):
        for number in range(MAX_SUSPECTS + 10):
            for target in (1, 2):
                suspects.record_crash(target, [f"{number:032x}"], 0.0)
        for stored in suspects.unstored(2, 0.0):
            assert len(stored.fingerprints) == MAX_SUSPECTS

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["broke", "ended", "answered", "clear", "strike"]),
                st.integers(0, 4),
                st.sampled_from([FATAL, OTHER]),
                st.floats(0, 200),
            )
        )
    )
    def test_order_of_news_never_holds_a_cleared_crash(self, steps):
        suspects, now, cleared = SuspectTracker(Random(1)), 0.0, set()
        for what, target, name, wait in steps:
            now += wait
            if what == "broke":
                suspects.exchange_broken(name, "", target, now)
            elif what == "ended":
                suspects.target_ended(target, now)
            elif what == "answered":
                cleared |= {(name, item) for item in suspects.answered(name, "a", now)}
            elif what == "clear":
                suspects.clear(name, [target], now)
                cleared.add((name, target))
            else:
                suspects.record_crash(target, [name], now)
            for name in (FATAL, OTHER):
                held = set(suspects.crashes(name, now))
                assert not held & {key for one, key in cleared if one == name}
                if suspects.refusal(name, "a", now) is not None:
                    assert len(held) >= 2
