"""What is held against one request that was under way at crashes of targets."""

from __future__ import annotations

# Seconds for which a crash is held against the requests that were under way; as long
# as the store's longest lease.
KEEP = 600.0
# Crashes from which on a request waits before it is sent again. One proves nothing: it
# befalls all that were under way.
SUSPECT_FROM = 2
# Seconds that it waits then: targets that crashed are back, so that the next crash does
# not take the last one.
FIRST_PAUSE = 4.0
# Seconds that it waits once its own try has crashed a target; doubled with each more.
LONG_PAUSE = 60.0


def pause_after(crashes: int, failed_tries: int) -> float:
    """
    Tell how long a request waits after it was under way at crashes of targets.

    :param failed_tries: those at which it was the one that was tried.
    :returns: seconds.
    """
    if failed_tries:
        return float(LONG_PAUSE * 2 ** (failed_tries - 1))
    return FIRST_PAUSE if crashes >= SUSPECT_FROM else 0.0


class Suspicion:
    """
    What is held against one request.

    :ivar struck_at_by_target: when each crash was learned of.
    :ivar failed_tries: those of these crashes that its own try brought about.
    :ivar stored: those that others can read of in the store.
    :ivar held_until: when it may be sent again.
    """

    def __init__(self) -> None:
        """Start with nothing."""
        self.struck_at_by_target: dict[int, float] = {}
        self.failed_tries: set[int] = set()
        self.stored: set[int] = set()
        self.held_until = 0.0

    def forget(self, now: float) -> None:
        """Hold crashes of long ago against it no more."""
        begin = now - KEEP
        old = [key for key, at in self.struck_at_by_target.items() if at < begin]
        for key in old:
            self.drop(key)

    def drop(self, target: int) -> None:
        """Hold a crash against it no more."""
        del self.struck_at_by_target[target]
        self.failed_tries.discard(target)
