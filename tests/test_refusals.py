"""Refusals that promise that a request has not run, as callers receive them."""

from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentolink import errors
from pimentolink.logs import LogEvent
from tests.rawtargets import KINDS, Act, GatewayRun, Moment, Named, Stray
from tests.soak import REFUSALS

REJECTION = Act(503, disowns=True)


def lines_of(response, event):
    return [fields for line, fields in response.log if line is event]


class TestSight:
    """The log tells who said that a request was not run, and on which connection."""

    @pytest.mark.parametrize(
        ("named", "names"), [(Named.OWN, "own"), (Named.NONE, "unnamed")]
    )
    def test_rejection_tells_its_status_its_request_and_its_connection(
        self, named, names
    ):
        run = GatewayRun([REJECTION._replace(named=named)], plain_targets=1)
        (failed,) = lines_of(run.send(), LogEvent.ATTEMPT_FAILED)
        assert (failed["status"], failed["names"]) == (503, names)
        assert (failed["exchanges"], failed["connection_age"]) == (0, 0.0)

    def test_response_to_another_request_is_told(self):
        stray = Stray(Moment.AFTER_REQUEST, named=Named.PREVIOUS)
        run = GatewayRun([Act(), Act(stray=stray)], plain_targets=1)
        run.send()
        second = run.send()
        (discarded,) = lines_of(second, LogEvent.RESPONSE_DISCARDED)
        assert (discarded["status"], discarded["exchanges"]) == (503, 1)
        assert second.status == 200

    @pytest.mark.parametrize(
        ("act", "event", "status"),
        [
            (Act(), LogEvent.ANSWERED, 200),
            (Act(500), LogEvent.ANSWERED, 500),
            (REJECTION, LogEvent.REQUEST_FAILED, 503),
        ],
    )
    def test_outcome_tells_the_status_that_the_caller_got(self, act, event, status):
        response = GatewayRun([act], plain_targets=1).send()
        (outcome,) = lines_of(response, event)
        assert response.status == outcome["status"] == status


class TestStatusThatPromisesFromATargetThatRanIt:
    """Targets ran requests and responded 408, 429 or 503, which was passed on."""

    @pytest.mark.parametrize("kind", KINDS)
    def test_is_not_passed_on(self, kind):
        for status, named in product((408, 429, 503), (Named.OWN, Named.NONE)):
            response = GatewayRun([Act(status, named)] * 4).send(kind)
            assert response.runs
            assert response.status == 502

    def test_is_repeated_at_another_target_where_that_is_allowed(self):
        for status in (408, 429, 503):
            response = GatewayRun([Act(status)]).send("read")
            assert response.status == 200
            assert len(response.runs) == 2

    @pytest.mark.parametrize("status", [400, 500, 504])
    def test_other_statuses_are_passed_on(self, status):
        assert GatewayRun([Act(status)]).send("once").status == status


class TestRejectionOfAnotherRequest:
    """
    A response without an id came late, on a connection used again.

    It was taken for the rejection of the next request, which ran twice, or was refused.
    """

    @pytest.mark.parametrize("kind", ["once", "stream"])
    def test_is_not_believed(self, kind):
        for status, targets in product((400, 421, 429, 503), (1, 2)):
            stray = Stray(Moment.AFTER_REQUEST, status)
            run = GatewayRun([Act(), Act(stray=stray)], targets, targets)
            run.send(kind)
            response = run.send(kind)
            assert len(response.runs) == 1
            assert response.status not in REFUSALS

    @pytest.mark.parametrize("kind", ["once", "stream"])
    def test_of_the_same_request_is_not_believed(self, kind):
        """A rejected request was sent to its target again, which repeated itself."""
        stray = Stray(Moment.AFTER_REQUEST, named=Named.PREVIOUS)
        run = GatewayRun(
            [Act(), REJECTION, Act(stray=stray)], plain_targets=1, engine_count=1
        )
        run.send(kind)
        response = run.send(kind)
        assert len(response.runs) <= 1
        assert not response.is_falsely_refused

    def test_is_believed_if_it_names_no_request_on_a_new_connection(self):
        run = GatewayRun([REJECTION._replace(named=Named.NONE)], plain_targets=1)
        response = run.send()
        assert response.status == 503

    def test_is_believed_if_it_names_the_request(self):
        run = GatewayRun([Act(), REJECTION], plain_targets=1)
        run.send()
        assert run.send().status == 503


STRAYS = st.builds(
    Stray,
    st.sampled_from(Moment),
    st.sampled_from((200, 400, 408, 421, 429, 503)),
    st.sampled_from((Named.PREVIOUS, Named.NONE)),
    st.booleans(),
)
ENDS = {
    "sent": st.none() | st.none() | st.integers(0, 200),
    "is_reset": st.booleans(),
    "stray": st.none() | STRAYS,
}
# Statuses of targets that have run a request. A status of 421 is a promise of its own.
RUNS = st.builds(
    Act,
    st.sampled_from((200, 200, 200, 400, 408, 429, 500, 502, 503, 504)),
    st.sampled_from((Named.OWN, Named.OWN, Named.NONE)),
    **ENDS,
)
REJECTIONS = st.builds(
    Act,
    st.sampled_from((400, 421, 429, 503)),
    st.sampled_from((Named.OWN, Named.OWN, Named.NONE)),
    disowns=st.just(True),
    **ENDS,
)


@settings(max_examples=1_000, deadline=None)
@given(
    acts=st.lists(RUNS | REJECTIONS, max_size=12),
    kinds=st.lists(st.sampled_from(KINDS), min_size=4, max_size=6),
    target_count=st.integers(1, 2),
)
def test_no_request_that_a_target_ran_is_refused_as_not_run(acts, kinds, target_count):
    run = GatewayRun(acts, target_count, target_count)
    responses = [run.send(kind) for kind in kinds]
    for response in responses:
        assert not response.is_falsely_refused
        assert response.kind == "read" or len(response.runs) <= 1
        if response.status == 200 and response.kind != "stream":
            assert response.body == response.request_id.encode()


def test_no_failure_of_a_request_that_may_have_run_says_that_it_has_not():
    false_promises = [
        value.__name__
        for value in vars(errors).values()
        if isinstance(value, type)
        and issubclass(value, errors.Failure)
        and value.ran
        and value.status in REFUSALS
    ]
    assert false_promises == []
