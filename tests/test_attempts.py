"""Tests of which requests may be retried and which failure is reported."""

import pytest

from pimentolink.attempts import Attempts
from pimentolink.errors import (
    CannotBeInTime,
    ConnectionBroken,
    LateAnswer,
    NotListening,
    OutcomeUnknown,
    Quarantined,
    RejectedUnrun,
)
from pimentolink.routes import Repeatability
from tests.gatewaybuilders import route


class TestOnce:
    def setup_method(self):
        self.attempts = Attempts(route(repeatability=Repeatability.ONCE))

    def test_is_sent_again_after_a_target_said_that_it_did_not_run(self):
        self.attempts.sent("a")
        self.attempts.not_run()
        assert self.attempts.may_repeat()

    def test_is_not_sent_again_while_it_may_have_run(self):
        self.attempts.sent("a")
        assert not self.attempts.may_repeat()
        self.attempts.ran()
        assert not self.attempts.may_repeat()

    def test_is_never_said_not_to_have_run_once_it_may_have(self):
        self.attempts.sent("a")
        self.attempts.ran()
        assert isinstance(self.attempts.final_failure(RejectedUnrun()), OutcomeUnknown)
        assert isinstance(self.attempts.deadline_failure(CannotBeInTime()), LateAnswer)

    def test_is_said_not_to_have_run_if_all_rejected_it(self):
        self.attempts.sent("a")
        self.attempts.not_run()
        rejected = RejectedUnrun()
        assert self.attempts.final_failure(rejected) is rejected

    @pytest.mark.parametrize("failure", [NotListening(), Quarantined()])
    def test_sending_that_reached_no_target_is_none(self, failure):
        self.attempts.sent("a")
        self.attempts.failed(failure)
        assert self.attempts.tried_target_ids == []
        assert self.attempts.may_repeat()


class TestIdempotent:
    def test_runs_on_no_more_targets_than_its_route_allows(self):
        attempts = Attempts(route(max_targets=2))
        for name in ("a", "b"):
            assert attempts.may_send(name)
            attempts.sent(name)
            attempts.ran()
        assert not attempts.may_send("c")
        assert attempts.may_send("b")

    def test_keeps_a_failure_that_says_that_it_may_have_run(self):
        attempts = Attempts(route())
        attempts.sent("a")
        attempts.ran()
        broken = ConnectionBroken()
        assert attempts.final_failure(broken) is broken
