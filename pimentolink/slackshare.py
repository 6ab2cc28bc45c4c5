"""One gateway's share of the slack of the retry budget."""

from __future__ import annotations

from pimentolink.gatewaysettings import BudgetSettings, GatewaySettings
from pimentolink.timers import Timers


class SlackShare:
    """
    Computes the part of the slack that this gateway may use.

    Load pattern: all targets fail while gateways are killed, stopped or cut off from
    the store one after the other. A process that has just started does not know which
    attempts its predecessor sent, and one whose lease may have expired may have been
    replaced. Both use no slack until the lease has been held without a gap for the
    window and one lease period, so that those attempts are outside the window.
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
        self.gateways = 1

    def lease_renewed(self, asked_at: float) -> None:
        """
        Record that the store holds this gateway's entry.

        :param asked_at: when the store was asked, in seconds of the boot clock.
        """
        if not self._is_lease_valid(asked_at):
            self._lease_held_since = self._timers.boot_time()
        self._renewed_at = asked_at

    def lease_lost(self) -> None:
        """Record that the store no longer holds this gateway's entry."""
        self._renewed_at = None

    def part(self, budget: BudgetSettings) -> float:
        """
        Return the slack available to this gateway, zero while it must not use any.

        :param budget: slack and window.
        """
        now = self._timers.boot_time()
        usable_from = self._lease_held_since + budget.window + self._lease
        if not self._is_lease_valid(now) or now < usable_from:
            return 0.0
        return budget.slack / max(1, self.gateways)

    def _is_lease_valid(self, now: float) -> bool:
        """Return whether the last confirmed lease is unexpired at ``now``."""
        return self._renewed_at is not None and now - self._renewed_at < self._lease
