"""Tracks the attempts of one request and decides whether it may be retried."""

from __future__ import annotations

from pimentolink.errors import (
    NOT_SENT_FAILURES,
    Failure,
    LateAnswer,
    OutcomeUnknown,
    TargetFailed,
)
from pimentolink.routes import Repeatability, Route


class Attempts:
    """
    The attempts made for one request.

    A request with ``Repeatability.ONCE`` is retried only if no target can have run it.
    Any other request runs on at most as many targets as its route allows.
    """

    def __init__(self, route: Route) -> None:
        """
        Start with no attempts.

        :param route: determines whether and on how many targets the request may be
            repeated.
        """
        self._route = route
        self._may_have_run_target_ids: set[str] = set()
        self._pending_target_id = ""
        self.tried_target_ids: list[str] = []

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run the request."""
        return bool(self._may_have_run_target_ids) or bool(self._pending_target_id)

    def may_send(self, target_id: str) -> bool:
        """Return whether the request may be sent to this target."""
        if not self.may_have_run:
            return True
        if self._route.repeatability is Repeatability.ONCE:
            return False
        target_ids = self._may_have_run_target_ids | {target_id}
        return len(target_ids) <= self._route.max_targets

    def may_repeat(self) -> bool:
        """Return whether the request may be sent to a target not tried before."""
        return self.may_send("")

    def sent(self, target_id: str) -> None:
        """Record an attempt, which may run until its outcome is recorded."""
        self.tried_target_ids.append(target_id)
        self._pending_target_id = target_id

    def failed(self, failure: Failure) -> None:
        """
        Record the failure of the last attempt.

        :param failure: its ``ran`` states whether the request may have run.
        """
        if isinstance(failure, NOT_SENT_FAILURES):
            self.not_sent()
        elif failure.ran:
            self.ran()
        else:
            self.not_run()

    def not_sent(self) -> None:
        """Discard the last attempt, which reached no target."""
        self.tried_target_ids.pop()
        self._pending_target_id = ""

    def not_run(self) -> None:
        """Record that the target did not run the last attempt."""
        self._pending_target_id = ""

    def ran(self) -> None:
        """Record that the target ran the last attempt, or may have."""
        if self._pending_target_id:
            self._may_have_run_target_ids.add(self._pending_target_id)
            self._pending_target_id = ""

    def final_failure(self, failure: Failure) -> Failure:
        """
        Return the failure to report to the caller after the last attempt.

        A failure that promises that the request did not run is reported only if no
        target can have run any of its attempts.
        """
        if not self.may_have_run or failure.ran:
            return failure
        if self._route.repeatability is Repeatability.ONCE:
            return OutcomeUnknown(str(failure))
        return TargetFailed(str(failure))

    def deadline_failure(self, failure: Failure) -> Failure:
        """
        Return the failure to report to the caller once the deadline has passed.

        :param failure: reported if no target can have run the request.
        """
        if self.may_have_run:
            return LateAnswer("no whole answer within the time allowed")
        return failure
