"""One gateway's share of the slack of the retry budget."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from pimentolink.gatewaysettings import BudgetSettings, GatewaySettings
from pimentolink.timers import Timers


class _PastCount(NamedTuple):
    """
    An earlier number of listed gateways that was higher than the current one.

    :ivar ended_at: when it was last valid, in seconds of the boot clock.
    """

    gateways: int
    ended_at: float


class ListedGatewayCount:
    """
    Tracks the maximum number of listed gateways over a sliding window.

    If many gateways stop at once, or their leases expire during an outage of the store,
    they are no longer listed but still serve requests. The maximum still counts them.
    """

    def __init__(self, timers: Timers) -> None:
        """
        Start with a count of one, for this gateway.

        :param timers: the timer service.
        """
        self._timers = timers
        self._current = 1
        # Strictly decreasing by count, oldest first, each above the current count.
        self._past: deque[_PastCount] = deque()

    def update(self, gateways: int) -> None:
        """
        Record a change in the number of listed gateways.

        :param gateways: number of listed gateways, including this one if listed.
        """
        while self._past and self._past[-1].gateways <= max(gateways, self._current):
            self._past.pop()
        if gateways < self._current:
            ended_at = self._timers.boot_time()
            self._past.append(_PastCount(self._current, ended_at))
        self._current = gateways

    def maximum_within(self, seconds: float) -> int:
        """
        Return the maximum number of listed gateways and discard older counts.

        :param seconds: length of the window that ends now.
        """
        start = self._timers.boot_time() - seconds
        while self._past and self._past[0].ended_at < start:
            self._past.popleft()
        return self._past[0].gateways if self._past else self._current


class SlackShare:
    """
    Computes the part of the slack that this gateway may use.

    This keeps the deployment within its slack when all targets fail while gateways are
    killed, stopped or disconnected from the store one after the other. A process that
    has just started does not know which attempts its predecessor sent, and one whose
    lease may have expired may have been replaced. Both use no slack until the lease has
    been held without a gap for the window and one lease period, so that those attempts
    are outside the window.
    """

    def __init__(self, settings: GatewaySettings, timers: Timers) -> None:
        """
        Start without a lease and with no slack available.

        :param settings: of the gateway.
        :param timers: the timer service.
        """
        self._lease = settings.store.lease
        self._timers = timers
        self._renewed_at: float | None = None
        self._lease_held_since = 0.0
        self.listed_count = ListedGatewayCount(timers)

    def lease_renewed(self, requested_at: float) -> None:
        """
        Record that the store holds this gateway's entry.

        :param requested_at: when the renewal was requested, in seconds of the boot
            clock.
        """
        if not self._is_lease_valid(requested_at):
            self._lease_held_since = self._timers.boot_time()
        self._renewed_at = requested_at

    def lease_lost(self) -> None:
        """Record that the store no longer holds this gateway's entry."""
        self._renewed_at = None

    def part(self, budget: BudgetSettings) -> float:
        """
        Return the slack that this gateway may use, or zero while it must not use any.

        :param budget: slack and window.
        """
        now = self._timers.boot_time()
        usable_from = self._lease_held_since + self._reassignment_delay(budget)
        if not self._is_lease_valid(now) or now < usable_from:
            return 0.0
        return budget.slack / self.gateways(budget)

    def gateways(self, budget: BudgetSettings) -> int:
        """
        Return the number of gateways that may still use a part of the slack.

        :param budget: window of the budget.
        """
        return max(
            1, self.listed_count.maximum_within(self._reassignment_delay(budget))
        )

    def _reassignment_delay(self, budget: BudgetSettings) -> float:
        """
        Return the seconds before the part of an unlisted gateway can be reassigned.

        Such a gateway may use its part until its lease expires, and the attempts it
        sent count for one more window.
        """
        return budget.window + self._lease

    def _is_lease_valid(self, now: float) -> bool:
        """Return whether the last confirmed lease is unexpired at ``now``."""
        return self._renewed_at is not None and now - self._renewed_at < self._lease
