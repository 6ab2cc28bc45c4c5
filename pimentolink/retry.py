"""When an attempt is repeated, and after how long."""

from __future__ import annotations

from collections import deque
from random import Random
from typing import NamedTuple

from pimentolink.gatewaysettings import BudgetSettings, GatewaySettings
from pimentolink.settings import RetrySettings
from pimentolink.slackshare import SlackShare
from pimentolink.timers import Timers

# Share of the deployment's budget that gateways use; the rest is left for what they
# cannot count, such as attempts that a caller's own retries set off elsewhere.
USED_SHARE = 0.8


class RetryBudget:
    """
    Bounds retries to a share of requests, so that a failing fleet is not flooded.

    Each request earns a fraction of a retry; a reserve lets a quiet entry retry too.
    """

    def __init__(self, settings: RetrySettings) -> None:
        """
        Start with the whole reserve.

        :param settings: ratio and reserve.
        """
        self._settings = settings
        self._balance = float(settings.budget_reserve)

    def earn(self) -> None:
        """Count one request."""
        most = float(self._settings.budget_reserve)
        self._balance = min(most, self._balance + self._settings.budget_ratio)

    def spend(self) -> bool:
        """
        Ask for one retry.

        :returns: whether it is granted.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class RetryDecision(NamedTuple):
    """
    The decision on a repeated attempt, with its inputs.

    :ivar is_granted: whether the attempt may be made.
    :ivar requests: requests to the service at this gateway within the window.
    :ivar spent: repeated attempts granted earlier within the window.
    :ivar gateways: number of gateways that share the slack.
    :ivar part: slack that this gateway may use.
    :ivar allowed: limit on repeated attempts at this gateway within the window.
    """

    is_granted: bool
    requests: int
    spent: int
    gateways: int
    part: float
    allowed: float


class SharedBudget:
    """
    One gateway's part of a budget that all gateways share.

    Over any window it grants at most ``ratio`` of the requests that came here in it and
    this gateway's part of ``slack``. Nothing is saved up: a failure after a quiet hour
    must not set off a storm of attempts.
    """

    def __init__(
        self, settings: BudgetSettings, share: SlackShare, timers: Timers
    ) -> None:
        """
        Start with nothing counted.

        :param settings: ratio, slack and window.
        :param share: determines this gateway's part of the slack.
        :param timers: the timer service.
        """
        self.settings = settings
        self._share = share
        self._timers = timers
        self._requests: deque[float] = deque()
        self._granted: deque[float] = deque()

    def earn(self) -> None:
        """Count one request."""
        self._requests.append(self._timers.now())
        self._forget()

    def spend(self) -> RetryDecision:
        """
        Ask for one repeated attempt.

        :returns: the decision with its inputs.
        """
        self._forget()
        earned = self.settings.ratio * len(self._requests)
        part = self._share.part(self.settings)
        allowed = USED_SHARE * (earned + part)
        spent = len(self._granted)
        is_granted = spent + 1 <= allowed
        if is_granted:
            self._granted.append(self._timers.now())
        gateways = self._share.gateways(self.settings)
        return RetryDecision(
            is_granted, len(self._requests), spent, gateways, part, allowed
        )

    def refund(self) -> None:
        """Take back the last attempt that was granted: it reached no target."""
        if self._granted:
            self._granted.pop()

    def _forget(self) -> None:
        begin = self._timers.now() - self.settings.window
        for times in (self._requests, self._granted):
            while times and times[0] < begin:
                times.popleft()


class SharedBudgets:
    """A budget for each service."""

    def __init__(self, settings: GatewaySettings, timers: Timers) -> None:
        """
        Start without spending.

        :param settings: of the gateway.
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
        """Count one request to a service."""
        self._budget(service).earn()

    def spend(self, service: str) -> RetryDecision:
        """
        Ask for one repeated attempt.

        :returns: the decision with its inputs.
        """
        return self._budget(service).spend()

    def refund(self, service: str) -> None:
        """Take back an attempt that was granted and reached no target."""
        self._budget(service).refund()

    def _budget(self, service: str) -> SharedBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = SharedBudget(self.settings, self.share, self._timers)
            self._budgets_by_service[service] = budget
        budget.settings = self.settings
        return budget


class Backoff:
    """Growing pauses with full jitter."""

    def __init__(self, first: float, most: float, random: Random) -> None:
        """
        Start at the shortest pause.

        :param first: seconds of the first pause, at most.
        :param most: seconds of any pause, at most.
        :param random: seeded source.
        """
        self._first = first
        self._most = most
        self._random = random
        self._failures = 0

    def next(self) -> float:
        """
        Count a failure.

        :returns: seconds to wait.
        """
        ceiling = min(self._most, self._first * 2**self._failures)
        self._failures = min(self._failures + 1, 30)
        return self._random.uniform(ceiling / 2, ceiling)

    def reset(self) -> None:
        """Count a success."""
        self._failures = 0
