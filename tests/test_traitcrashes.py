"""Which traits of requests are suspected of crashing targets, and for how long."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentolink.crashhistory import CRASH_TTL, QUARANTINE_JITTER, SUSPECT_QUARANTINE
from pimentolink.failedtests import FAILED_TRAIT_QUARANTINE
from pimentolink.traitcrashes import (
    MAX_ACCUSED_TRAITS,
    MAX_SUSPECT_TRAITS,
    TRAIT_QUARANTINE,
    TraitCrash,
    TraitTracker,
)

FIRST, FATAL, BELOW, OTHER = (f"p{number:032x}" for number in range(4))


class Explained(set):
    """Keys of the targets for whose crash a single request is blamed."""


@pytest.fixture
def explained():
    return Explained()


@pytest.fixture
def tracker(explained):
    return TraitTracker(Random(1), explained.__contains__)


def crash(tracker, target, began_at, at, *traits):
    """Record that exchanges with some traits broke off as a target crashed."""
    for trait in traits:
        depth = tracker.depth(trait, began_at)
        tracker.record(trait, target, TraitCrash(depth, at), at)


def crash_in_a_row(tracker, count, *traits, first=1):
    for target in range(first, first + count):
        crash(tracker, target, target - 0.5, target, *traits)


def succeed(tracker, trait, now):
    tracker.clear(trait, tracker.crashes(trait, now), now)


def is_held_briefly(tracker, traits, now):
    """Tell whether a request with some traits may be tested soon."""
    wait = tracker.remaining_quarantine(traits, now)
    return wait <= TRAIT_QUARANTINE * (1 + QUARANTINE_JITTER)


def is_held_for_long(tracker, traits, now):
    return tracker.remaining_quarantine(traits, now) >= FAILED_TRAIT_QUARANTINE


class TestSuspicion:
    """Load pattern: requests that are all different share what crashes targets."""

    def test_three_crashes_in_a_row_make_a_suspect(self, tracker):
        crash_in_a_row(tracker, 2, FATAL)
        assert not tracker.is_suspect(FATAL, 2.0)
        crash_in_a_row(tracker, 1, FATAL, first=3)
        assert tracker.is_suspect(FATAL, 3.0)
        wait = tracker.remaining_quarantine([FIRST, FATAL], 3.0)
        assert TRAIT_QUARANTINE <= wait <= TRAIT_QUARANTINE * (1 + QUARANTINE_JITTER)
        assert tracker.remaining_quarantine([FIRST, OTHER], 3.0) == 0.0

    def test_response_in_between_clears_what_came_before(self, tracker):
        crash_in_a_row(tracker, 2, FIRST, FATAL)
        succeed(tracker, FIRST, 2.1)
        crash_in_a_row(tracker, 1, FIRST, FATAL, first=3)
        assert tracker.suspects_among([FIRST, FATAL], 3.0) == [FATAL]

    def test_targets_lost_at_once_are_one_observation(self, tracker):
        """A whole data centre is lost, with the same part in flight everywhere."""
        for target in range(12):
            crash(tracker, target, 0.0, 1.0 + target / 100, FIRST)
        assert not tracker.is_suspect(FIRST, 2.0)

    def test_crash_that_others_tell_of_counts_by_its_depth(self, tracker):
        for target in (1, 2, 3):
            tracker.record(FATAL, target, TraitCrash(target, 1.0), 1.0)
        assert tracker.is_suspect(FATAL, 1.0)

    def test_depth_does_not_count_for_more_than_the_crashes_known(self, tracker):
        for target in (1, 2):
            tracker.record(FATAL, target, TraitCrash(9, 1.0), 1.0)
        assert not tracker.is_suspect(FATAL, 1.0)

    def test_crashes_that_a_request_is_blamed_for_are_explained(
        self, tracker, explained
    ):
        explained |= {1, 2}
        crash_in_a_row(tracker, 3, FIRST)
        assert not tracker.is_suspect(FIRST, 3.0)
        crash_in_a_row(tracker, 1, FIRST, first=4)
        assert tracker.is_suspect(FIRST, 4.0)

    def test_exchange_of_unknown_begin_begins_a_row(self, tracker):
        crash_in_a_row(tracker, 2, FATAL)
        assert tracker.depth(FATAL, None) == 1

    def test_crashes_are_forgotten(self, tracker):
        crash_in_a_row(tracker, 3, FATAL)
        assert not tracker.is_suspect(FATAL, 4.0 + CRASH_TTL)
        assert tracker.crashes(FATAL, 4.0 + CRASH_TTL) == []


class TestTest:
    """A suspect's request is sent on its own, to tell which trait is to blame."""

    def test_failure_holds_requests_with_all_that_was_tested(self, tracker):
        crash_in_a_row(tracker, 3, FIRST, FATAL)
        tested = frozenset(tracker.suspects_among([FIRST, FATAL, OTHER], 5.0))
        assert tested == {FIRST, FATAL}
        crash(tracker, 4, 5.0, 5.1, FIRST, FATAL, OTHER)
        assert tracker.record_failed_test(4, tested, 5.1) == sorted(tested)
        wait = tracker.remaining_quarantine([FIRST, FATAL, BELOW], 5.1)
        assert wait >= FAILED_TRAIT_QUARANTINE
        assert tracker.remaining_quarantine([OTHER], 5.1) == 0.0

    def test_request_without_all_of_them_is_tested_soon(self, tracker):
        """Otherwise all requests below the first part would wait with the fatal one."""
        crash_in_a_row(tracker, 4, FIRST, FATAL)
        tracker.record_failed_test(4, frozenset([FIRST, FATAL]), 4.0)
        wait = tracker.remaining_quarantine([FIRST, OTHER], 4.0)
        assert wait <= TRAIT_QUARANTINE * (1 + QUARANTINE_JITTER)
        succeed(tracker, FIRST, 6.0)
        assert tracker.remaining_quarantine([FIRST, OTHER], 6.0) == 0.0
        for traits in ([FATAL], [FIRST, FATAL]):
            wait = tracker.remaining_quarantine(traits, 6.0)
            assert wait >= FAILED_TRAIT_QUARANTINE - 2.0

    def test_keeps_what_has_fewer_crashes_than_a_part_that_all_have(self, tracker):
        """Targets that end by themselves count against common parts alone."""
        crash_in_a_row(tracker, 3, FIRST, FATAL)
        crash_in_a_row(tracker, 1, FIRST, first=4)
        tested = frozenset(tracker.suspects_among([FIRST, FATAL], 4.0))
        crash(tracker, 5, 4.5, 5.0, FIRST, FATAL)
        tracker.record_failed_test(5, tested, 5.0)
        wait = tracker.remaining_quarantine([FIRST, OTHER], 5.0)
        assert wait <= TRAIT_QUARANTINE * (1 + QUARANTINE_JITTER)
        wait = tracker.remaining_quarantine([FIRST, FATAL], 5.0)
        assert wait >= FAILED_TRAIT_QUARANTINE

    def test_two_at_one_target_blame_only_what_has_all_of_both(self, tracker):
        """Either of the two requests may have crashed it, so FATAL need not have."""
        crash_in_a_row(tracker, 4, FIRST, FATAL, BELOW)
        tracker.record_failed_test(4, frozenset([FIRST, FATAL]), 4.0)
        tracker.record_failed_test(4, frozenset([FATAL, BELOW]), 4.1)
        for traits in ([FATAL], [FIRST, FATAL], [FATAL, BELOW]):
            assert is_held_briefly(tracker, traits, 4.1)
        assert is_held_for_long(tracker, [FIRST, FATAL, BELOW], 4.1)

    def test_two_without_anything_in_common_blame_neither(self, tracker):
        crash_in_a_row(tracker, 4, FIRST, FATAL)
        tracker.record_failed_test(4, frozenset([FIRST]), 4.0)
        tracker.record_failed_test(4, frozenset([FATAL]), 4.1)
        for trait in (FIRST, FATAL):
            assert is_held_briefly(tracker, [trait], 4.1)

    def test_one_with_fewer_crashes_than_others_may_be_to_blame(self, tracker):
        """
        Guards against holding harmless requests for another request's part.

        A target that ended by itself counted against the harmless parts alone. These
        were suspects first and were blamed for a crash during the test of a request
        that had the fatal part as well.
        """
        crash_in_a_row(tracker, 1, FIRST, OTHER, BELOW)
        crash_in_a_row(tracker, 2, FIRST, FATAL, BELOW, first=2)
        assert tracker.suspects_among([FIRST, FATAL, BELOW], 3.0) == [FIRST, BELOW]
        crash_in_a_row(tracker, 1, FIRST, FATAL, BELOW, first=4)
        tracker.record_failed_test(4, frozenset([FIRST, FATAL, BELOW]), 4.0)
        assert is_held_briefly(tracker, [FIRST, OTHER, BELOW], 4.0)
        assert is_held_for_long(tracker, [FIRST, FATAL, BELOW], 4.0)
        for trait in (FIRST, BELOW):
            succeed(tracker, trait, 5.0)
        assert tracker.candidates(4, 5.0) == {FATAL}

    def test_traits_that_only_one_request_has_do_not_hide_another(self, tracker):
        """A prompt's own history is in no other prompt, and gets no response either."""
        crash_in_a_row(tracker, 3, FIRST, FATAL)
        crash_in_a_row(tracker, 1, FIRST, FATAL, BELOW, first=4)
        tracker.record_failed_test(4, frozenset([FIRST, FATAL, BELOW]), 4.0)
        assert is_held_for_long(tracker, [FIRST, FATAL, OTHER], 4.0)

    def test_request_that_is_a_suspect_may_be_to_blame(self):
        """Otherwise harmless requests with the same parts would be held with it."""
        requests = {4: {"f" * 32: 2}}
        tracker = TraitTracker(
            Random(1), lambda target: False, lambda target: requests.get(target, {})
        )
        crash_in_a_row(tracker, 4, FIRST)
        tracker.record_failed_test(4, frozenset([FIRST]), 4.0)
        assert tracker.candidates(4, 4.0) == {FIRST, "f" * 32}
        assert is_held_briefly(tracker, [FIRST], 4.0)
        wait = tracker.remaining_quarantine([FIRST], 4.0, "f" * 32)
        assert wait >= FAILED_TRAIT_QUARANTINE

    def test_traits_with_a_response_are_not_held_for_a_target_that_ended_by_itself(
        self, tracker
    ):
        """Each of them ends during a test of a harmless request."""
        tracker.record_answer([FIRST, OTHER], 0.0)
        crash_in_a_row(tracker, 3, FIRST, OTHER)
        for target in (4, 5):
            crash_in_a_row(tracker, 1, FIRST, OTHER, first=target)
            tracker.record_failed_test(target, frozenset([FIRST, OTHER]), target)
            wait = tracker.remaining_quarantine([FIRST, OTHER], target)
            assert wait <= SUSPECT_QUARANTINE * (1 + QUARANTINE_JITTER)
        crash_in_a_row(tracker, 1, FIRST, OTHER, first=6)
        tracker.record_failed_test(6, frozenset([FIRST, OTHER]), 6.0)
        assert is_held_for_long(tracker, [FIRST, OTHER], 6.0)

    def test_common_trait_is_not_blamed_for_the_crashes_of_two_fatal_ones(
        self, tracker
    ):
        """It fails in the tests of both, and once more beside a lost target."""
        tracker.record_answer([FIRST], 0.0)
        crash_in_a_row(tracker, 3, FIRST, FATAL)
        crash_in_a_row(tracker, 3, FIRST, OTHER, first=4)
        for target, tested in enumerate(
            ([FIRST, FATAL], [FIRST, FATAL], [FIRST, OTHER], [FIRST]), start=7
        ):
            crash_in_a_row(tracker, 1, *tested, first=target)
            tracker.record_failed_test(target, frozenset(tested), target)
        assert tracker.candidates(7, 10.0) == {FIRST, FATAL}
        assert tracker.candidates(9, 10.0) == {FIRST, OTHER}
        wait = tracker.remaining_quarantine([FIRST], 10.0)
        assert wait <= SUSPECT_QUARANTINE * (1 + QUARANTINE_JITTER)

    def test_news_that_is_told_again_does_not_hold_for_longer(self, tracker):
        crash_in_a_row(tracker, 4, FATAL)
        tracker.record_failed_test(4, frozenset([FATAL]), 4.0)
        until = 4.0 + tracker.remaining_quarantine([FATAL], 4.0)
        tracker.record_failed_test(4, frozenset([FATAL]), 50.0)
        wait = tracker.remaining_quarantine([FATAL], 50.0)
        assert wait == pytest.approx(until - 50.0)

    def test_each_failure_doubles_the_quarantine(self, tracker):
        crash_in_a_row(tracker, 5, FATAL)
        for target, factor in ((4, 1), (5, 2)):
            tracker.record_failed_test(target, frozenset([FATAL]), 5.0)
            wait = tracker.remaining_quarantine([FATAL], 5.0)
            assert wait >= factor * FAILED_TRAIT_QUARANTINE

    def test_that_broke_off_is_waited_for(self, tracker):
        crash_in_a_row(tracker, 3, FATAL)
        tracker.test_broken([FATAL], 10.0)
        assert tracker.remaining_quarantine([FATAL], 10.0) > 2 * TRAIT_QUARANTINE


class TestBounds:
    def test_mass_of_traits_does_not_push_suspects_out(self, tracker):
        crash_in_a_row(tracker, 3, FATAL)
        for number in range(2 * MAX_ACCUSED_TRAITS):
            crash(tracker, 9, 3.0, 4.0, f"p{number + 100:032x}")
        assert tracker.is_suspect(FATAL, 5.0)
        assert len(tracker.unstored(1, 5.0)) == MAX_ACCUSED_TRAITS + 3

    def test_suspects_are_bounded(self, tracker):
        for number in range(MAX_SUSPECT_TRAITS + 10):
            crash_in_a_row(tracker, 3, f"p{number:032x}")
        assert len(tracker.unstored(3, 4.0)) == 3 * MAX_SUSPECT_TRAITS

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["crash", "test", "clear", "told"]),
                st.integers(0, 5),
                st.sampled_from([FIRST, FATAL]),
                st.floats(0, 100),
            )
        )
    )
    def test_order_of_news_never_holds_a_cleared_crash(self, steps):
        tracker, now = TraitTracker(Random(1), lambda target: False), 0.0
        cleared = set()
        for what, target, trait, wait in steps:
            now += wait
            if what == "crash":
                crash(tracker, target, now, now, trait)
            elif what == "test":
                tracker.record_failed_test(target, frozenset([trait]), now)
            elif what == "clear":
                tracker.clear(trait, [target], now)
                cleared.add((trait, target))
            else:
                tracker.record(trait, target, TraitCrash(target + 1, now), now)
            for name in (FIRST, FATAL):
                held = set(tracker.crashes(name, now))
                assert not held & {key for one, key in cleared if one == name}
                if tracker.remaining_quarantine([name], now):
                    assert len(held) >= 3

    @given(
        st.permutations(
            [(target, trait) for target in (1, 2, 3) for trait in (FIRST, FATAL)]
        )
    )
    def test_order_of_news_does_not_matter(self, news):
        tracker = TraitTracker(Random(1), lambda target: False)
        for target, trait in news:
            tracker.record(trait, target, TraitCrash(target, 1.0), 1.0)
        tracker.record_failed_test(3, frozenset([FATAL]), 1.0)
        assert tracker.suspects_among([FIRST, FATAL], 1.0) == [FIRST, FATAL]
        assert tracker.is_blamed(FATAL, 3)

    @given(st.permutations(range(9)), st.sets(st.integers(0, 8), max_size=4))
    def test_order_of_news_does_not_change_what_may_be_to_blame(self, order, repeated):
        """News of other gateways come late, in any order and more than once."""
        tracker = TraitTracker(Random(1), lambda target: False)
        for number in (*order, *repeated):
            tell(tracker, number)
        assert tracker.candidates(4, 1.0) == {FATAL, BELOW}
        assert is_held_briefly(tracker, [FIRST, OTHER, BELOW], 1.0)
        assert is_held_for_long(tracker, [FIRST, FATAL, BELOW], 1.0)


def tell(tracker, number):
    """
    Tell a tracker a piece of news: four crashes, a failed test or a response.

    The first target ended by itself, the others were crashed by FATAL.
    """
    crashes = [
        (target, trait)
        for target, traits in (
            (1, [FIRST]),
            (2, [FIRST, FATAL]),
            (3, [FATAL]),
            (4, [FATAL, BELOW]),
        )
        for trait in traits
    ]
    if number < len(crashes):
        target, trait = crashes[number]
        tracker.record(trait, target, TraitCrash(target, 1.0), 1.0)
    elif number == 6:
        tracker.record_failed_test(4, frozenset([FIRST, FATAL]), 1.0)
    elif number == 7:
        tracker.record_failed_test(4, frozenset([FATAL, BELOW]), 1.0)
    else:
        tracker.clear(FIRST, [1, 2, 4], 1.0)
