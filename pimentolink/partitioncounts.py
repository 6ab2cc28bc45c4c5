"""The number of claim partitions of each service, fixed by its first claim."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from pimentolink.errors import ClaimUnavailable, Failure, KeyValueUnavailable
from pimentolink.kvstore import KeyValueStore
from pimentolink.logs import Log, LogEvent
from pimentolink.settings import Count

RETRY_AFTER = 1.0


class PartitionCountDocument(msgspec.Struct, frozen=True):
    """
    A service's number of claim partitions, as stored in the key-value store.

    :ivar partitions: the number.
    """

    partitions: Count


class PartitionCounts:
    """
    Agrees with all other sidecars on the number of claim partitions of a service.

    The partition of an idempotency key depends on this number. If sidecars went by
    their configurations, a key would be looked up in another partition after a change,
    or at a sidecar with another version, where nobody has claimed it.
    """

    def __init__(
        self,
        store: KeyValueStore,
        configured_count: Callable[[str], int | None],
        log: Log,
    ) -> None:
        """
        Start without calling the store.

        :param store: the key-value store.
        :param configured_count: returns the configured number of a service; ``None`` if
            it is not configured here.
        :param log: receives log events.
        """
        self._store = store
        self._configured_count = configured_count
        self._log = log
        self._count_by_service: dict[str, int] = {}
        self._waiting_by_service: dict[str, list[Deferred[Result[int, Failure]]]] = {}

    async def find(self, service: str) -> Result[int, Failure]:
        """
        Return the number of a service; the first caller of all stores it.

        :returns: the number, or ``ClaimUnavailable``.
        """
        if service in self._count_by_service:
            return Ok(self._count_by_service[service])
        if service in self._waiting_by_service:
            waiting: Deferred[Result[int, Failure]] = Deferred()
            self._waiting_by_service[service].append(waiting)
            return await waiting
        self._waiting_by_service[service] = []
        found = await self._read_or_store(service)
        if isinstance(found, Ok):
            self._count_by_service[service] = found.ok_value
        for waiting in self._waiting_by_service.pop(service):
            waiting.callback(found)
        return found

    async def _read_or_store(self, service: str) -> Result[int, Failure]:
        path = f"pimentolink/claims/{service}/partitions"
        configured = self._configured_count(service)
        try:
            stored = await self._store.get(path)
            if stored.data is None and configured is not None:
                data = msgspec.json.encode(PartitionCountDocument(configured))
                await self._store.compare_and_swap(path, data, 0)
                stored = await self._store.get(path)
            if stored.data is None:
                return Err(ClaimUnavailable(f"{service} is unknown", RETRY_AFTER))
            found = msgspec.json.decode(stored.data, type=PartitionCountDocument)
        except (KeyValueUnavailable, msgspec.DecodeError) as error:
            return Err(ClaimUnavailable(str(error), RETRY_AFTER))
        if configured not in (None, found.partitions):
            self._log.write(
                LogEvent.CLAIM_PARTITIONS_FIXED,
                service=service,
                partitions=found.partitions,
                configured=configured,
            )
        return Ok(found.partitions)
