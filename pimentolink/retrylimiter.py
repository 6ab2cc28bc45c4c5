"""Limits retries by the retry budget that all gateways share."""

from __future__ import annotations

from pimentolink.errors import DEFAULT_RETRY_AFTER, RetryBudgetSpent
from pimentolink.forwarder import PendingRequest
from pimentolink.logs import Log, LogEvent
from pimentolink.metrics import Metrics
from pimentolink.requestcalls import StartedCall
from pimentolink.sharedbudget import RetryGrant, SharedBudgets


class RetryLimiter:
    """Applies the shared retry budget; logs and counts each decision."""

    def __init__(self, budgets: SharedBudgets, log: Log, metrics: Metrics) -> None:
        """
        Create a limiter.

        :param budgets: the retry budget of each service.
        :param log: records the decisions.
        :param metrics: counts the decisions.
        """
        self._budgets = budgets
        self._log = log
        self._metrics = metrics

    def earn(self, work: PendingRequest) -> None:
        """Record a request, which adds credit to the retry budget of its service."""
        self._budgets.earn(work.service)

    def start_call(
        self, work: PendingRequest, target_id: str, is_prefill: bool = False
    ) -> StartedCall:
        """
        Request permission for one call to a target; some calls need no grant.

        :param work: the request.
        :param target_id: the target that the call is sent to.
        :param is_prefill: whether the target should only prefill the prompt.
        :returns: a context manager that must enclose the call.
        :raises RetryBudgetSpent: if the call needs a grant, which is denied.
        """
        grant = None
        if work.calls.needs_grant:
            grant = self._spend(work, target_id, is_prefill)
        return work.calls.start(grant)

    def _spend(
        self, work: PendingRequest, target_id: str, is_prefill: bool
    ) -> RetryGrant:
        work.calls.refund_unused()
        decision = self._budgets.spend(work.service)
        is_granted = decision.grant is not None
        self._metrics.count("retries", "granted" if is_granted else "denied")
        self._log.write(
            LogEvent.RETRY_DECIDED,
            request=work.request.request_id,
            service=work.service,
            target=target_id,
            kind="prefill" if is_prefill else "run",
            granted=is_granted,
            earned=round(decision.earned, 2),
            spent=decision.spent,
            gateways=decision.gateways,
            part=round(decision.part, 2),
        )
        if decision.grant is None:
            raise RetryBudgetSpent("no repeated attempt is left", DEFAULT_RETRY_AFTER)
        return decision.grant
