"""Counts the calls of one request that use the retry budget."""

from __future__ import annotations

from types import TracebackType

from pimentolink.errors import NOT_SENT_FAILURES
from pimentolink.sharedbudget import RetryGrant


class RequestCalls:
    """
    The calls to targets for one request, as the retry budget counts them.

    One call of each request is free, and so is the first prefill that an engine
    accepts. Every other call needs a grant, whatever becomes of it. A call counts from
    its start, since it may reach its target from then on, so that a prefill is only
    free once its engine has accepted it.

    :ivar sent: calls that may have reached a target, free or not.
    :ivar grants: grants that these calls use.
    """

    def __init__(self) -> None:
        """Start without calls."""
        self.sent = 0
        self.grants = 0
        self._has_accepted_prefill = False
        self._unused_grant: RetryGrant | None = None

    @property
    def needs_grant(self) -> bool:
        """Whether the next call needs a grant."""
        free_prefills = 1 if self._has_accepted_prefill else 0
        return self.sent > free_prefills

    def start(self, grant: RetryGrant | None) -> StartedCall:
        """
        Count a call that is about to be sent.

        :param grant: its grant; ``None`` if it needs none.
        :returns: a context manager that must enclose the call.
        """
        self.sent += 1
        if grant is not None:
            self.grants += 1
        return StartedCall(self, grant)

    def discard(self, grant: RetryGrant | None) -> None:
        """Discard a call that was not sent, and refund its grant."""
        self.sent -= 1
        self._refund(grant)

    def prefill_accepted(self, grant: RetryGrant | None) -> None:
        """
        Record that an engine accepted a prefill; the first one no longer counts.

        :param grant: of the prefill; it is kept for the run that follows.
        """
        if self._has_accepted_prefill:
            return
        self._has_accepted_prefill = True
        self._unused_grant = grant

    def refund_unused(self) -> None:
        """Refund the grant of a prefill that turned out to be free."""
        grant, self._unused_grant = self._unused_grant, None
        self._refund(grant)

    def _refund(self, grant: RetryGrant | None) -> None:
        if grant is not None:
            self.grants -= 1
            grant.refund()


class StartedCall:
    """One call to a target, used as a context manager around it."""

    def __init__(self, calls: RequestCalls, grant: RetryGrant | None) -> None:
        """
        Create a call; see :meth:`RequestCalls.start`.

        :param calls: the calls of its request.
        :param grant: its grant; ``None`` if it needs none.
        """
        self._calls = calls
        self._grant = grant

    def __enter__(self) -> StartedCall:
        """Enter the context of the call."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Discard the call if it reached no target."""
        if isinstance(error, NOT_SENT_FAILURES):
            self._calls.discard(self._grant)

    def prefill_accepted(self) -> None:
        """Record that an engine accepted this call, which is a prefill."""
        self._calls.prefill_accepted(self._grant)
