"""What was sent for one request, and whether it may be sent again."""

from __future__ import annotations

from pimentolink.errors import (
    UNSENT,
    Failure,
    LateAnswer,
    OutcomeUnknown,
    TargetFailed,
)
from pimentolink.routes import Repeatability, Route


class Attempts:
    """
    The attempts of one request.

    Guards that a request that may not be repeated is sent again only if no target can
    have run it, and that it runs on no more targets than its route allows.
    """

    def __init__(self, route: Route) -> None:
        """
        Start without an attempt.

        :param route: says what may be repeated.
        """
        self._route = route
        self._ran_at: set[str] = set()
        self._in_doubt = ""
        self.tried_target_ids: list[str] = []

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run the request."""
        return bool(self._ran_at) or bool(self._in_doubt)

    @property
    def count(self) -> int:
        """How often it was sent to be run."""
        return len(self.tried_target_ids)

    def may_send(self, target_id: str) -> bool:
        """Tell whether it may be sent to a target to be run."""
        if not self.may_have_run:
            return True
        if self._route.repeatability is Repeatability.ONCE:
            return False
        ran_at = self._ran_at | {target_id}
        return len(ran_at) <= self._route.max_targets

    def may_repeat(self) -> bool:
        """Tell whether another target may get it."""
        return self.may_send("")

    def sent(self, target_id: str) -> None:
        """Count a sending; until its outcome is told, it may run."""
        self.tried_target_ids.append(target_id)
        self._in_doubt = target_id

    def failed(self, failure: Failure) -> None:
        """
        Learn how the last sending failed.

        :param failure: its ``ran`` tells whether the request may have run.
        """
        if isinstance(failure, UNSENT):
            self.not_sent()
        elif failure.ran:
            self.ran()
        else:
            self.not_run()

    def not_sent(self) -> None:
        """Learn that the last sending reached no target, so that it was none."""
        self.tried_target_ids.pop()
        self._in_doubt = ""

    def not_run(self) -> None:
        """Learn that the last sending did not run."""
        self._in_doubt = ""

    def ran(self) -> None:
        """Learn that the last sending ran, or may have."""
        if self._in_doubt:
            self._ran_at.add(self._in_doubt)
            self._in_doubt = ""

    def final(self, failure: Failure) -> Failure:
        """
        Turn the last failure into the request's final answer.

        Only a request that no target can have run is said not to have run.
        """
        if not self.may_have_run or failure.ran:
            return failure
        if self._route.repeatability is Repeatability.ONCE:
            return OutcomeUnknown(str(failure))
        return TargetFailed(str(failure))

    def expired(self, failure: Failure) -> Failure:
        """
        Choose the final answer once the time is over.

        :param failure: for a request that was not run.
        """
        if self.may_have_run:
            return LateAnswer("no whole answer within the time allowed")
        return failure
