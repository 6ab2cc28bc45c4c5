"""A bounded priority queue with aging for the requests to one target."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, NamedTuple, TypeVar

from result import Err, Ok, Result

from pimentolink.errors import Overloaded
from pimentolink.settings import QueueSettings

LOWEST_PRIORITY = 9

Key = TypeVar("Key")


class QueuedRequest(NamedTuple, Generic[Key]):
    """
    A queued or running request.

    :ivar priority: 0 is the most urgent.
    :ivar queued_at: when it was queued, in seconds of the timer service.
    :ivar prefill_tokens: predicted number of prompt tokens left to process.
    :ivar decode_tokens: predicted number of output tokens.
    """

    key: Key
    priority: int
    queued_at: float
    prefill_tokens: int
    decode_tokens: int


class TargetQueue(Generic[Key]):
    """
    The requests that wait for one target or run at it.

    At most ``slots`` requests run and at most ``waiting`` wait. If the queue is full,
    the least urgent request is shed: either one that waits or the new one.

    :ivar prefill_tokens: predicted prompt tokens of all requests, not yet processed.
    :ivar decode_tokens: predicted output tokens of all requests.
    """

    def __init__(self, settings: QueueSettings) -> None:
        """
        Create an empty queue.

        :param settings: limits and aging.
        """
        self._settings = settings
        self._waiting_by_priority: list[OrderedDict[Key, QueuedRequest[Key]]] = [
            OrderedDict() for _ in range(LOWEST_PRIORITY + 1)
        ]
        self._running_by_key: dict[Key, QueuedRequest[Key]] = {}
        self.prefill_tokens = 0
        self.decode_tokens = 0

    @property
    def running(self) -> int:
        """Number of requests that run at the target."""
        return len(self._running_by_key)

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(len(waiting) for waiting in self._waiting_by_priority)

    def offer(self, item: QueuedRequest[Key]) -> Result[Key | None, Overloaded]:
        """
        Queue a request.

        :param item: the request.
        :returns: the key of the request that was shed to make room, if any; or an
            error if this request was refused.
        """
        shed: Key | None = None
        if self.waiting >= self._settings.waiting:
            least_urgent = self._least_urgent()
            if least_urgent.priority <= item.priority:
                return Err(Overloaded("the target's queue is full"))
            self.remove(least_urgent.key)
            shed = least_urgent.key
        self._waiting_by_priority[item.priority][item.key] = item
        self._add_work(item, 1)
        return Ok(shed)

    def take(self, now: float) -> QueuedRequest[Key] | None:
        """
        Move the most urgent request to the running ones, if a slot is free.

        :param now: seconds of the timer service.
        :returns: the request to start, or ``None`` if no slot is free or none waits.
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
        item = min(heads, key=lambda head: self._aged_priority(head, now))
        del self._waiting_by_priority[item.priority][item.key]
        self._running_by_key[item.key] = item
        return item

    def prefilled(self, key: Key) -> None:
        """
        Record that the prompt of a running request was processed.

        :param key: of the request.
        """
        item = self._running_by_key.get(key)
        if item is not None:
            self.prefill_tokens -= item.prefill_tokens
            self._running_by_key[key] = item._replace(prefill_tokens=0)

    def remove(self, key: Key) -> bool:
        """
        Remove a request, waiting or running.

        :param key: of the request.
        :returns: whether it was running.
        """
        if key in self._running_by_key:
            self._add_work(self._running_by_key.pop(key), -1)
            return True
        for waiting in self._waiting_by_priority:
            if key in waiting:
                self._add_work(waiting.pop(key), -1)
        return False

    def _aged_priority(
        self, item: QueuedRequest[Key], now: float
    ) -> tuple[float, float]:
        aging_boost = (now - item.queued_at) / self._settings.aging
        return item.priority - aging_boost, item.queued_at

    def _least_urgent(self) -> QueuedRequest[Key]:
        for waiting in reversed(self._waiting_by_priority):
            if waiting:
                return waiting[next(reversed(waiting))]
        raise LookupError("the queue is empty")

    def _add_work(self, item: QueuedRequest[Key], sign: int) -> None:
        self.prefill_tokens += sign * item.prefill_tokens
        self.decode_tokens += sign * item.decode_tokens
