"""Which requests are suspected of crashing targets, and for how long they wait."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentolink.errors import Quarantined
from pimentolink.suspects import (
    MAX_BROKEN,
    MAX_STRUCK_ONCE,
    MAX_SUSPECTS,
    PAUSE_SPREAD,
    SUCCESS_KEEP,
    TRY_TIME,
    Suspects,
)
from pimentolink.suspicion import FIRST_PAUSE, KEEP, LONG_PAUSE, pause_after

FATAL, OTHER = "f" * 32, "0" * 32


@pytest.fixture
def suspects():
    return Suspects(Random(1))


def crash(suspects, target, now, *names):
    for name in names:
        suspects.broke(name, "", target, now)
    return suspects.ended(target, now)


def fail(suspects, target, now, *others):
    """Let a try of the fatal request crash a target, with others under way there."""
    suspects.try_again(FATAL, "tried", now)
    for name in others:
        suspects.broke(name, "", target, now)
    suspects.broke(FATAL, "tried", target, now)
    return suspects.ended(target, now)


class TestCrashes:
    """Pattern: one of tens of requests ends each target that begins to run it."""

    def test_all_that_was_under_way_is_struck(self, suspects):
        assert crash(suspects, 1, 0.0, FATAL, OTHER) == [FATAL, OTHER]

    def test_one_crash_keeps_nothing_from_targets(self, suspects):
        crash(suspects, 1, 0.0, FATAL)
        assert suspects.refusal(FATAL, "a", 0.0) is None

    def test_who_is_there_each_time_waits_longer_and_longer(self, suspects):
        now = 0.0
        for target in (1, 2):
            crash(suspects, target, now, FATAL, f"{target:032x}")
        for target, pause in enumerate((FIRST_PAUSE, LONG_PAUSE, 2 * LONG_PAUSE), 3):
            wait = suspects.wait(FATAL, now)
            assert pause <= wait <= pause * (1 + PAUSE_SPREAD)
            now += wait
            fail(suspects, target, now)
        for number in (1, 2):
            assert suspects.refusal(f"{number:032x}", "a", now) is None

    def test_refusal_tells_when_to_come_back(self, suspects):
        for target in (1, 2):
            crash(suspects, target, 0.0, FATAL)
        refused = suspects.refusal(FATAL, "a", 1.0)
        assert isinstance(refused, Quarantined)
        assert not refused.ran
        assert refused.retry_after == suspects.wait(FATAL, 1.0)

    def test_crash_is_held_against_a_request_once_whoever_tells_it(self, suspects):
        crash(suspects, 1, 0.0, FATAL)
        assert suspects.strike(1, [FATAL], 0.1) == []
        assert suspects.crashes(FATAL, 0.1) == [1]

    def test_break_without_an_end_of_its_target_is_no_crash(self, suspects):
        for target in (1, 2, 3):
            suspects.broke(FATAL, "", target, 0.0)
        assert suspects.crashes(FATAL, 0.0) == []

    def test_break_that_comes_to_light_after_the_end_counts(self, suspects):
        crash(suspects, 1, 0.0)
        assert suspects.broke(FATAL, "", 1, 0.1)
        assert suspects.crashes(FATAL, 0.1) == [1]

    def test_break_of_long_ago_does_not_count(self, suspects):
        suspects.broke(FATAL, "", 1, 0.0)
        assert suspects.ended(1, 100.0) == []

    def test_pauses_double_with_each_try_that_fails(self):
        assert [pause_after(n, 0) for n in range(4)] == [0, 0, 4, 4]
        assert [pause_after(2 + n, n) for n in range(1, 4)] == [60, 120, 240]


class TestTry:
    """Pattern: it is asked at several gateways at once when its wait is over."""

    @pytest.fixture
    def held(self, suspects):
        for target in (1, 2):
            crash(suspects, target, 0.0, FATAL)
        return suspects

    def test_is_made_once_at_a_time(self, held):
        now = 2 * FIRST_PAUSE
        assert held.refusal(FATAL, "a", now) is None
        assert held.try_again(FATAL, "a", now)
        assert held.refusal(FATAL, "b", now) is not None
        assert held.refusal(FATAL, "b", now + TRY_TIME) is None

    def test_goes_on_to_its_next_target_stage(self, held):
        now = 2 * FIRST_PAUSE
        held.try_again(FATAL, "a", now)
        assert held.refusal(FATAL, "a", now + 0.5) is None
        assert not held.try_again(FATAL, "a", now + 0.5)

    def test_ends_with_the_next_crash(self, held):
        now = 2 * FIRST_PAUSE
        held.try_again(FATAL, "a", now)
        crash(held, 3, now, FATAL)
        assert held.refusal(FATAL, "a", now) is not None

    def test_by_another_gateway_is_waited_for(self, held):
        now = 2 * FIRST_PAUSE
        held.tried(FATAL, now)
        assert held.refusal(FATAL, "a", now) is not None


class TestWhoIsToBlame:
    """
    Pattern: what many ask is under way at each crash that another request brings about.

    Three requests were held against three crashes each. All of them waited the same
    time, were tried at the same moment and at the same targets, and were struck anew by
    the one to blame, so that no gateway served the two others 12 s after the last
    fault:

        03.584 suspect_struck fingerprint=55ad… crashes=3 wait=70.2
        03.584 suspect_struck fingerprint=fc61… crashes=3 wait=77.1
        03.584 suspect_struck fingerprint=bba8… crashes=3 wait=86.9

    To have been there says nothing of who it was. One suspect is tried at a time; the
    one whose try crashes a target is to blame, and explains its crashes for the others.
    """

    @pytest.fixture
    def held(self, suspects):
        for target in (1, 2):
            crash(suspects, target, 0.0, FATAL, OTHER)
        return suspects

    def test_one_suspect_is_tried_at_a_time(self, held):
        now = 2 * FIRST_PAUSE
        assert held.try_again(FATAL, "a", now)
        refused = held.refusal(OTHER, "b", now)
        assert isinstance(refused, Quarantined)
        assert 0 < refused.retry_after <= TRY_TIME
        assert held.refusal(OTHER, "b", now + TRY_TIME) is None

    @pytest.mark.parametrize("ending", ["answered", "crashed"])
    def test_next_is_tried_as_soon_as_the_first_is_through(self, held, ending):
        now = 2 * FIRST_PAUSE
        held.try_again(FATAL, "a", now)
        if ending == "answered":
            held.answered(FATAL, now + 0.1)
        else:
            crash(held, 3, now + 0.1, FATAL)
        assert held.refusal(OTHER, "b", now + 0.1) is None

    def test_who_crashed_a_target_as_it_was_tried_is_to_blame(self, held):
        now = 2 * FIRST_PAUSE
        fail(held, 3, now, "1" * 32)
        assert held.crashes(FATAL, now) == [1, 2, 3]
        assert held.wait(FATAL, now) >= LONG_PAUSE
        assert held.crashes(OTHER, now) == held.crashes("1" * 32, now) == []
        assert held.refusal(OTHER, "b", now) is None

    def test_crash_that_comes_to_light_after_the_try_blames_as_well(self, held):
        now = 2 * FIRST_PAUSE
        held.try_again(FATAL, "a", now)
        held.broke(FATAL, "a", 3, now)
        assert held.refusal(FATAL, "b", now) is not None
        held.ended(3, now + 2 * TRY_TIME)
        assert held.wait(FATAL, now + 2 * TRY_TIME) >= LONG_PAUSE

    def test_crash_told_twice_blames_once_it_is_told_of_the_try(self, held):
        assert held.strike(3, [FATAL], 1.0) == [FATAL]
        assert held.wait(FATAL, 1.0) < LONG_PAUSE
        assert held.strike(3, [FATAL], 1.0, is_tried=True) == [FATAL]
        assert held.wait(FATAL, 1.0) >= LONG_PAUSE

    def test_explained_crash_is_not_held_against_others_when_told_late(self, held):
        now = 2 * FIRST_PAUSE
        fail(held, 3, now)
        for target in (1, 2, 3):
            assert held.strike(target, [OTHER], now) == []

    def test_release_of_who_was_blamed_explains_nothing_more(self, held):
        now = 2 * FIRST_PAUSE
        fail(held, 3, now)
        held.clear(FATAL, [1, 2, 3], now)
        assert held.strike(3, [OTHER], now) == [OTHER]

    @pytest.mark.parametrize("own, other", [(FATAL, OTHER), (OTHER, FATAL)])
    def test_of_tries_that_cross_exactly_one_may_blame(self, suspects, own, other):
        """Two gateways begin a try each, before they hear of the other's."""
        gateways = {own: suspects, other: Suspects(Random(2))}
        now = 2 * FIRST_PAUSE
        for name, gateway in gateways.items():
            for target in (1, 2):
                crash(gateway, target, 0.0, own, other)
            gateway.try_again(name, name, now)
        gateways[own].tried(other, now)
        gateways[other].tried(own, now)
        for name, gateway in gateways.items():
            gateway.broke(name, name, 3, now)
            gateway.ended(3, now)
        blamed = [name for name, item in gateways.items() if item.is_blamed(name, 3)]
        assert blamed == [min(own, other)]

    def test_crash_under_two_tries_blames_neither_until_one_fails_alone(self, held):
        """A try that others hear of late may have an innocent one beside it."""
        now = 2 * FIRST_PAUSE
        for name in (OTHER, FATAL):
            assert held.strike(3, [name], now, is_tried=True) == [name]
        for name in (OTHER, FATAL):
            assert held.crashes(name, now) == [1, 2, 3]
            assert FIRST_PAUSE <= held.wait(name, now) < LONG_PAUSE
        held.strike(4, [FATAL], 2 * now, is_tried=True)
        assert held.wait(FATAL, 2 * now) >= LONG_PAUSE
        assert held.crashes(OTHER, 2 * now) == []

    def test_who_is_known_to_blame_explains_a_crash_under_two_tries(self, held):
        now = 2 * FIRST_PAUSE
        held.strike(3, [FATAL], now, is_tried=True)
        for name in (OTHER, FATAL):
            held.strike(4, [name], now, is_tried=True)
        assert held.wait(FATAL, now) >= LONG_PAUSE
        assert held.crashes(OTHER, now) == []

    def test_who_was_only_there_each_time_is_not_to_blame(self, held):
        for target in (3, 4, 5):
            crash(held, target, 0.0, FATAL, OTHER)
        for name in (FATAL, OTHER):
            assert len(held.crashes(name, 0.0)) == 5
            assert held.wait(name, 0.0) < LONG_PAUSE


class TestInnocence:
    def test_answer_clears(self, suspects):
        for target in (1, 2):
            crash(suspects, target, 0.0, FATAL)
        assert suspects.answered(FATAL, 10.0) == [1, 2]
        assert suspects.refusal(FATAL, "a", 10.0) is None

    def test_what_many_ask_and_is_answered_is_not_struck(self, suspects):
        """A hall of targets is lost, with the same lookup under way at each."""
        suspects.answered(OTHER, 0.0)
        for target in range(8):
            crash(suspects, target, 1.0, OTHER)
        assert suspects.crashes(OTHER, 1.0) == []

    def test_answer_of_long_ago_proves_nothing(self, suspects):
        suspects.answered(FATAL, 0.0)
        crash(suspects, 1, SUCCESS_KEEP, FATAL)
        assert suspects.crashes(FATAL, SUCCESS_KEEP) == [1]

    def test_cleared_crash_is_not_believed_when_told_late(self, suspects):
        suspects.clear(FATAL, [1, 2], 0.0)
        assert suspects.strike(1, [FATAL], 1.0) == []
        assert suspects.strike(3, [FATAL], 1.0) == [FATAL]

    def test_crashes_are_forgotten(self, suspects):
        for target in (1, 2, 3):
            crash(suspects, target, 0.0, FATAL)
        assert suspects.crashes(FATAL, KEEP + 1) == []
        assert suspects.refusal(FATAL, "a", KEEP + 1) is None


class TestBounds:
    def test_mass_of_innocents_does_not_push_suspects_out(self, suspects):
        for target in (1, 2, 3):
            crash(suspects, target, 0.0, FATAL)
        for number in range(2 * MAX_STRUCK_ONCE):
            suspects.strike(4, [f"{number:032x}"], 1.0)
        assert suspects.refusal(FATAL, "a", 1.0) is not None
        (stored,) = [item for item in suspects.unstored(1, 1.0) if item.target == 4]
        assert len(stored.fingerprints) == MAX_STRUCK_ONCE

    def test_what_a_target_that_lives_on_cuts_off_is_forgotten(self, suspects):
        """Callers that leave cut exchanges off all day, at targets that never end."""
        for number in range(3 * MAX_BROKEN):
            suspects.broke(f"{number:032x}", "", 1, 0.001 * number)
        assert len(suspects.ended(1, 0.001 * number)) <= MAX_BROKEN
        for number in range(100):
            suspects.broke(f"{number:032x}", "", 2, 10.0 * number)
        assert sum(len(item) for item in suspects._broken_by_target.values()) <= 2

    def test_suspects_are_bounded(self, suspects):
        for number in range(MAX_SUSPECTS + 10):
            for target in (1, 2):
                suspects.strike(target, [f"{number:032x}"], 0.0)
        for crash_ in suspects.unstored(2, 0.0):
            assert len(crash_.fingerprints) == MAX_SUSPECTS

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
        suspects, now, cleared = Suspects(Random(1)), 0.0, set()
        for what, target, name, wait in steps:
            now += wait
            if what == "broke":
                suspects.broke(name, "", target, now)
            elif what == "ended":
                suspects.ended(target, now)
            elif what == "answered":
                cleared |= {(name, item) for item in suspects.answered(name, now)}
            elif what == "clear":
                suspects.clear(name, [target], now)
                cleared.add((name, target))
            else:
                suspects.strike(target, [name], now)
            for name in (FATAL, OTHER):
                held = set(suspects.crashes(name, now))
                assert not held & {key for one, key in cleared if one == name}
                if suspects.refusal(name, "a", now) is not None:
                    assert len(held) >= 2
