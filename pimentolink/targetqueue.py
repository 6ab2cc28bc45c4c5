"""The queue before one target: by priority, with aging, bounded."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, NamedTuple, TypeVar

from result import Err, Ok, Result

from pimentolink.errors import Overloaded
from pimentolink.settings import QueueSettings

LOWEST_PRIORITY = 9

Key = TypeVar("Key")


class Waiting(NamedTuple, Generic[Key]):
    """
    A request in the queue.

    :ivar priority: 0 is the most urgent.
    :ivar since: when it came, in seconds of the timer service.
    :ivar prefill_tokens: predicted prompt work.
    :ivar decode_tokens: predicted output work.
    """

    key: Key
    priority: int
    since: float
    prefill_tokens: int
    decode_tokens: int


class TargetQueue(Generic[Key]):
    """
    Requests before and in one target.

    Guards the bounds: at most ``slots`` run, at most ``waiting`` wait. At the bound
    the least urgent is shed, be it a waiting one or the new one.
    """

    def __init__(self, settings: QueueSettings) -> None:
        """
        Start empty.

        :param settings: bounds and aging.
        """
        self._settings = settings
        self._waiting_by_priority: list[OrderedDict[Key, Waiting[Key]]] = [
            OrderedDict() for _ in range(LOWEST_PRIORITY + 1)
        ]
        self._running_by_key: dict[Key, Waiting[Key]] = {}
        self.prefill_tokens = 0
        self.decode_tokens = 0

    @property
    def running(self) -> int:
        """Requests that the target works on."""
        return len(self._running_by_key)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return sum(len(waiting) for waiting in self._waiting_by_priority)

    def offer(self, item: Waiting[Key]) -> Result[Key | None, Overloaded]:
        """
        Queue a request.

        :param item: the request.
        :returns: the key that was shed for it, if any; or a refusal.
        """
        shed: Key | None = None
        if self.waiting >= self._settings.waiting:
            worst = self._least_urgent()
            if worst.priority <= item.priority:
                return Err(Overloaded("the target's queue is full"))
            self.remove(worst.key)
            shed = worst.key
        self._waiting_by_priority[item.priority][item.key] = item
        self._count(item, 1)
        return Ok(shed)

    def take(self, now: float) -> Waiting[Key] | None:
        """
        Move the next request into the target, if a slot is free.

        :param now: the time.
        :returns: the request to start, or ``None``.
        """
        if self.running >= self._settings.slots:
            return None
        heads = [
            next(iter(waiting.values()))
            for waiting in self._waiting_by_priority
            if waiting
        ]
        if not heads:
            return None
        item = min(heads, key=lambda head: self._rank(head, now))
        del self._waiting_by_priority[item.priority][item.key]
        self._running_by_key[item.key] = item
        return item

    def prefilled(self, key: Key) -> None:
        """
        Count a running request's prompt as read.

        :param key: the request.
        """
        item = self._running_by_key.get(key)
        if item is not None:
            self.prefill_tokens -= item.prefill_tokens
            self._running_by_key[key] = item._replace(prefill_tokens=0)

    def remove(self, key: Key) -> bool:
        """
        Forget a request, waiting or running.

        :param key: the request.
        :returns: whether it was running.
        """
        if key in self._running_by_key:
            self._count(self._running_by_key.pop(key), -1)
            return True
        for waiting in self._waiting_by_priority:
            if key in waiting:
                self._count(waiting.pop(key), -1)
        return False

    def _rank(self, item: Waiting[Key], now: float) -> tuple[float, float]:
        raised = (now - item.since) / self._settings.aging
        return item.priority - raised, item.since

    def _least_urgent(self) -> Waiting[Key]:
        for waiting in reversed(self._waiting_by_priority):
            if waiting:
                return waiting[next(reversed(waiting))]
        raise LookupError("the queue is empty")

    def _count(self, item: Waiting[Key], sign: int) -> None:
        self.prefill_tokens += sign * item.prefill_tokens
        self.decode_tokens += sign * item.decode_tokens
