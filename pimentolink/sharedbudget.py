"""Limits retries by a budget that all gateways share."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import deque
from typing import NamedTuple

from pimentolink.gatewaysettings import BudgetSettings, GatewaySettings
from pimentolink.slackshare import SlackShare
from pimentolink.timers import Timers

# Fraction of the deployment's budget that gateways use. The rest covers credit that was
# earned by requests before a window and is spent within it.
USED_SHARE = 0.8
# Fraction of the window after which the credit that a request earned expires.
CREDIT_LIFETIME_SHARE = 0.25


class EarnedRetryCredit:
    """
    Unused retry credit, earned by requests.

    Each request earns a fraction of a retry once, and the credit expires after a
    fraction of the window. This keeps gateways within the budget when targets begin to
    fail after a period without failures and gateways are restarted. At a low request
    rate, the newest requests that add up to one retry are kept for a whole window.
    """

    def __init__(self, timers: Timers) -> None:
        """
        Start without credit.

        :param timers: the timer service.
        """
        self._timers = timers
        self._requests: deque[float] = deque()
        # When refunded credit was first spent, oldest first.
        self._refunded: list[float] = []
        # Fraction of the oldest request's credit that has been spent.
        self._spent_of_oldest = 0.0

    def __len__(self) -> int:
        """Return the number of stored requests."""
        return len(self._requests)

    def add(self, settings: BudgetSettings) -> None:
        """Record one request and drop expired ones, which bounds memory use."""
        self._requests.append(self._timers.boot_time())
        self._expire(settings)

    def available(self, settings: BudgetSettings) -> float:
        """Return how many retries the unspent credit allows."""
        self._expire(settings)
        requests = len(self._requests) - self._spent_of_oldest
        return len(self._refunded) + requests * USED_SHARE * settings.ratio

    def spend(self, settings: BudgetSettings) -> float:
        """
        Spend the credit for one retry, which must be available.

        :returns: when this credit was first spent, in seconds of the boot clock.
        """
        if self._refunded:
            return self._refunded.pop(0)
        spent = self._spent_of_oldest + 1 / (USED_SHARE * settings.ratio)
        while spent >= 1.0 and self._requests:
            self._requests.popleft()
            spent -= 1.0
        self._spent_of_oldest = spent if self._requests else 0.0
        return self._timers.boot_time()

    def refund(self, spent_at: float) -> None:
        """
        Restore the credit for one retry, which keeps its age.

        :param spent_at: see :meth:`spend`.
        """
        insort(self._refunded, spent_at)

    def _expire(self, settings: BudgetSettings) -> None:
        now = self._timers.boot_time()
        cutoff = now - CREDIT_LIFETIME_SHARE * settings.window
        del self._refunded[: bisect_left(self._refunded, cutoff)]
        credit_per_request = USED_SHARE * settings.ratio
        requests_per_attempt = (
            math.ceil(1 / credit_per_request) if credit_per_request > 0 else 0
        )
        requests = self._requests
        while len(requests) > requests_per_attempt and requests[0] < cutoff:
            self._drop_oldest()
        while requests and requests[0] < now - settings.window:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        self._requests.popleft()
        self._spent_of_oldest = 0.0


class RetryGrant:
    """
    Permission for one retry.

    If the retry reached no target, the grant is refunded to its source, which is the
    earned credit or the slack.
    """

    def __init__(self, budget: SharedBudget, is_earned: bool, spent_at: float) -> None:
        """
        Create a grant.

        :param budget: the budget that granted the retry.
        :param is_earned: whether earned credit was spent, as opposed to slack.
        :param spent_at: when its credit or slack was first spent, in seconds of the
            boot clock.
        """
        self._budget = budget
        self.is_earned = is_earned
        self.spent_at = spent_at

    def refund(self) -> None:
        """Return the grant to the budget, since its call used none of it."""
        self._budget.refund(self)


class RetryDecision(NamedTuple):
    """
    The decision on a retry, with its inputs.

    :ivar grant: permission for the retry; ``None`` if it is denied.
    :ivar earned: retries that the earned credit allowed before the decision.
    :ivar spent: retries granted earlier from the slack within the window.
    :ivar gateways: number of gateways that share the slack.
    :ivar part: slack that this gateway may use, in retries per window.
    """

    grant: RetryGrant | None
    earned: float
    spent: int
    gateways: int
    part: float


class SharedBudget:
    """
    One gateway's part of a budget that all gateways share.

    A retry spends earned credit if there is enough, and otherwise this gateway's part
    of the slack. Over any window, all gateways together grant at most ``USED_SHARE`` of
    the sum of the slack and ``ratio`` times the requests, plus one retry for each
    gateway. The requests are those of the window and of the ``CREDIT_LIFETIME_SHARE``
    of a window before it.
    """

    def __init__(
        self, settings: BudgetSettings, share: SlackShare, timers: Timers
    ) -> None:
        """
        Start with no earned credit and no slack used.

        :param settings: ratio, slack and window.
        :param share: determines this gateway's part of the slack.
        :param timers: the timer service.
        """
        self.settings = settings
        self._share = share
        self._timers = timers
        self._credit = EarnedRetryCredit(timers)
        self._slack_used_at: deque[float] = deque()

    def earn(self) -> None:
        """Record one request, which earns credit."""
        self._credit.add(self.settings)

    def spend(self) -> RetryDecision:
        """
        Request permission for one retry.

        :returns: the decision with its inputs.
        """
        settings, now = self.settings, self._timers.boot_time()
        while self._slack_used_at and self._slack_used_at[0] < now - settings.window:
            self._slack_used_at.popleft()
        earned, spent = self._credit.available(settings), len(self._slack_used_at)
        part = self._share.part(settings)
        grant = None
        if earned >= 1.0:
            spent_at = self._credit.spend(settings)
            grant = RetryGrant(self, is_earned=True, spent_at=spent_at)
        elif spent + 1 <= USED_SHARE * part:
            self._slack_used_at.append(now)
            grant = RetryGrant(self, is_earned=False, spent_at=now)
        gateways = self._share.gateways(settings)
        return RetryDecision(grant, earned, spent, gateways, part)

    def refund(self, grant: RetryGrant) -> None:
        """Refund a grant that no call used."""
        if grant.is_earned:
            self._credit.refund(grant.spent_at)
        elif grant.spent_at in self._slack_used_at:
            self._slack_used_at.remove(grant.spent_at)


class SharedBudgets:
    """The shared retry budget of each service."""

    def __init__(self, settings: GatewaySettings, timers: Timers) -> None:
        """
        Start with no credit for any service.

        :param settings: settings of the gateway.
        :param timers: the timer service.
        """
        self.settings = settings.budget
        self.share = SlackShare(settings, timers)
        self._timers = timers
        self._budgets_by_service: dict[str, SharedBudget] = {}

    @property
    def gateways(self) -> int:
        """Number of gateways among which shared limits are divided."""
        return self.share.gateways(self.settings)

    def earn(self, service: str) -> None:
        """Record one request to a service, which earns credit."""
        self._budget(service).earn()

    def spend(self, service: str) -> RetryDecision:
        """
        Request permission for one retry.

        :returns: the decision with its inputs.
        """
        return self._budget(service).spend()

    def _budget(self, service: str) -> SharedBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = SharedBudget(self.settings, self.share, self._timers)
            self._budgets_by_service[service] = budget
        budget.settings = self.settings
        return budget
