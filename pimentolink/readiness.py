"""Whether a process can serve, and what it still waits for."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from pimentolink.logs import Log, LogEvent
from pimentolink.timers import Timers


class Readiness:
    """
    Checks the conditions for serving, and logs when those that are unmet change.

    :ivar conditions_by_name: each returns whether it is met.
    """

    def __init__(
        self,
        conditions_by_name: Mapping[str, Callable[[], bool]],
        timers: Timers,
        log: Log,
    ) -> None:
        """
        Start counting the time for which the process has not been ready.

        :param conditions_by_name: the conditions.
        :param timers: the timer service.
        :param log: receives the changes.
        """
        self.conditions_by_name = conditions_by_name
        self._timers = timers
        self._log = log
        self._started_at = timers.boot_time()
        self._logged: list[str] | None = None

    def unmet(self) -> list[str]:
        """Return the names of the unmet conditions."""
        return [
            name for name, is_met in self.conditions_by_name.items() if not is_met()
        ]

    def log_change(self) -> None:
        """Log the unmet conditions if they have changed since the last call."""
        unmet = self.unmet()
        if unmet == self._logged:
            return
        self._logged = unmet
        after = round(self._timers.boot_time() - self._started_at, 3)
        event = LogEvent.NOT_READY if unmet else LogEvent.READY
        self._log.write(event, unmet=unmet, after=after)
