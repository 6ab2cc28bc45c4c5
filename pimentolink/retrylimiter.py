"""Limits repeated attempts by the retry budget that all gateways share."""

from __future__ import annotations

from pimentolink.forwarder import Work
from pimentolink.logs import Log, LogEvent
from pimentolink.metrics import Metrics
from pimentolink.retry import SharedBudgets


class RetryLimiter:
    """Applies the shared retry budget; logs and counts each decision."""

    def __init__(self, budgets: SharedBudgets, log: Log, metrics: Metrics) -> None:
        """
        Create a limiter.

        :param budgets: the retry budget of each service.
        :param log: where events go.
        :param metrics: where figures go.
        """
        self._budgets = budgets
        self._log = log
        self._metrics = metrics

    def earn(self, work: Work) -> None:
        """Count a request, which adds to the retry budget of its service."""
        self._budgets.earn(work.service)

    def spend(self, work: Work) -> bool:
        """
        Ask for one repeated attempt.

        :returns: whether it is granted.
        """
        decision = self._budgets.spend(work.service)
        outcome = "granted" if decision.is_granted else "denied"
        self._metrics.count("retries", outcome)
        self._log.write(
            LogEvent.RETRY_DECIDED,
            request=work.request.request_id,
            service=work.service,
            granted=decision.is_granted,
            requests=decision.requests,
            spent=decision.spent,
            gateways=decision.gateways,
            part=round(decision.part, 2),
            allowed=round(decision.allowed, 2),
        )
        return decision.is_granted

    def refund(self, work: Work) -> None:
        """Return a granted attempt that reached no target to the budget."""
        self._budgets.refund(work.service)
