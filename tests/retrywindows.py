"""The bound on retries in any window of time, as the retry budget promises it."""

from __future__ import annotations

from collections.abc import Sequence

from pimentolink.gatewaysettings import BudgetSettings


def describe_excess(
    retried_at: Sequence[float], sent_at: Sequence[float], settings: BudgetSettings
) -> str | None:
    """
    Find a window with more retries than allowed.

    The bound uses the highest request count of the same window, the one half a window
    earlier and the one a full window earlier.

    :param retried_at: when retries reached targets, in seconds.
    :param sent_at: when the requests of the service were sent.
    :param settings: the retry budget.
    :returns: a description of the first such window; ``None`` if there is none.
    """
    window = settings.window
    for start in retried_at:
        count = sum(start <= at < start + window for at in retried_at)
        requests = max(
            sum(start - offset <= at < start - offset + window for at in sent_at)
            for offset in (0, window / 2, window)
        )
        allowed = settings.ratio * requests + settings.slack
        if count > allowed:
            return f"{count} retries for {requests} requests, {allowed:.1f} allowed"
    return None
