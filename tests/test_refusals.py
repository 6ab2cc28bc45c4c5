"""Refusals that promise that a request has not run, as callers receive them."""

import pytest

from pimentolink.logs import LogEvent
from tests.rawtargets import Act, GatewayRun, Moment, Named, Stray

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
