"""Limits retries by the retry budget that all gateways share."""

from __future__ import annotations

from contextlib import AbstractContextManager, nullcontext

from pimentolink.errors import DEFAULT_RETRY_AFTER, RetryBudgetSpent
from pimentolink.forwarder import PendingRequest
from pimentolink.logs import Log, LogEvent
from pimentolink.metrics import Metrics
from pimentolink.sharedbudget import SharedBudgets


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

    def spend(
        self,
        work: PendingRequest,
        target_id: str,
        is_repeat: bool,
        is_prefill: bool = False,
    ) -> AbstractContextManager[None]:
        """
        Request permission for one attempt; first attempts do not use the budget.

        :param work: the request.
        :param target_id: the target that the attempt is sent to.
        :param is_repeat: whether this attempt is a retry.
        :param is_prefill: whether the target should only prefill the prompt.
        :returns: a context manager that must enclose the attempt.
        :raises RetryBudgetSpent: if the retry is denied.
        """
        kind = "prefill" if is_prefill else "run"
        if not is_repeat:
            self._log_call(work, target_id, kind, f"first_{kind}")
            return nullcontext()
        decision = self._budgets.spend(work.service)
        is_granted = decision.grant is not None
        self._metrics.count("retries", "granted" if is_granted else "denied")
        self._log.write(
            LogEvent.RETRY_DECIDED,
            request=work.request.request_id,
            service=work.service,
            granted=is_granted,
            earned=round(decision.earned, 2),
            spent=decision.spent,
            gateways=decision.gateways,
            part=round(decision.part, 2),
        )
        if decision.grant is None:
            raise RetryBudgetSpent("no repeated attempt is left", DEFAULT_RETRY_AFTER)
        self._log_call(work, target_id, kind, "grant")
        return decision.grant

    def _log_call(
        self, work: PendingRequest, target_id: str, kind: str, covered_by: str
    ) -> None:
        self._log.write(
            LogEvent.CALL_STARTED,
            request=work.request.request_id,
            service=work.service,
            target=target_id,
            kind=kind,
            covered_by=covered_by,
        )
