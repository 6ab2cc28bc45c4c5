"""One exchange with a target, and what shows that its response is complete."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from pimentolink.dialect import ReplyMatch
from pimentolink.errors import ReplyInvalid, ResponseTruncated
from pimentolink.eventstream import Event, EventSplitter
from pimentolink.httptypes import BodyFraming, HttpReply, ReplyHead
from pimentolink.targetestimate import TargetEstimate
from pimentolink.targethttp import ConnectionPool, TargetConnection

MAX_RESPONSE_BYTES = 8_000_000


class ConnectionUse(NamedTuple):
    """
    How a connection had been used when a request was written to it.

    :ivar exchanges: exchanges that it had carried before.
    :ivar age: seconds since it was opened.
    """

    exchanges: int
    age: float


class TargetCall:
    """
    One exchange with a target, up to the last byte of the response.

    :ivar use: how its connection had been used before.
    :ivar head: of the response; ``None`` before it has arrived.
    :ivar match: which request the response names; ``None`` before its head.
    :ivar has_discarded: whether a response to another request came before it.
    :ivar framing: how the response delimits its body; ``None`` before its head.
    """

    def __init__(
        self,
        estimate: TargetEstimate,
        pool: ConnectionPool,
        connection: TargetConnection,
        sent_at: float,
        on_cut_off: Callable[[], None],
        is_reachable: Callable[[], Coroutine[Any, Any, bool]],
    ) -> None:
        """
        Start an exchange.

        :param estimate: the estimated state of the target.
        :param pool: the pool to which the connection is returned.
        :param connection: the connection that carries the exchange.
        :param sent_at: seconds of the timer service.
        :param on_cut_off: called if the exchange is closed before the last byte of
            the response.
        :param is_reachable: returns whether the target still accepts connections.
        """
        self.estimate = estimate
        self.sent_at = sent_at
        self.use = ConnectionUse(
            connection.exchange_count, sent_at - connection.opened_at
        )
        self._on_cut_off = on_cut_off
        self._is_reachable = is_reachable
        self._is_complete = False
        self._pool = pool
        self._connection = connection
        self._is_closed = False
        self._events = EventSplitter()
        self.head: ReplyHead | None = None
        self.match: ReplyMatch | None = None
        self.has_discarded = False
        self.framing: BodyFraming | None = None

    async def read_events(self) -> list[Event] | None:
        """
        Read the next events of a response that is an event stream.

        :returns: the events, none if the next one is incomplete yet; ``None`` at the
            end of the stream.
        :raises ConnectionBroken: if the connection breaks before the end.
        :raises ResponseTruncated: if the response ends within an event, however it
            delimits its body; or with its connection, before the first event or while
            the target can't be reached.
        """
        data = await self._connection.read()
        if data is not None:
            return self._events.feed(data)
        if rest := self._events.rest():
            raise ResponseTruncated(f"it ended {len(rest)} bytes into an event")
        if self.framing is BodyFraming.CLOSE and not self._events.has_event:
            raise ResponseTruncated("its connection ended before the first event")
        await self._confirm_end()
        self._is_complete = True
        self.close()
        return None

    async def _confirm_end(self) -> None:
        """
        Check that the target has not ended, if the response ends with its connection.

        The connection of a target that ends within a response ends in the same way.

        :raises ResponseTruncated: if the target can't be reached any more.
        """
        if self.framing is BodyFraming.CLOSE and not await self._is_reachable():
            raise ResponseTruncated("its connection ended, and its target is gone")

    async def read_all(self, confirms_end: bool = True) -> HttpReply:
        """
        Read the complete response.

        :param confirms_end: whether the response may lack a part without the caller of
            this method noticing it.
        :raises ConnectionBroken: if the connection breaks before the end.
        :raises ResponseTruncated: if ``confirms_end``, and the response ends with its
            connection while the target can't be reached.
        """
        assert self.head is not None
        body = await self._connection.read_all(MAX_RESPONSE_BYTES)
        if confirms_end:
            await self._confirm_end()
        self._is_complete = True
        self.close()
        return HttpReply(self.head, body)

    def check_attribution(self) -> None:
        """
        Check that the response belongs to the request.

        A response that names no request may be a late one to an earlier request of its
        connection, unless there was none.

        :raises ReplyInvalid: if it may belong to another request.
        """
        may_be_late = self.use.exchanges > 0 or self.has_discarded
        if self.match is ReplyMatch.UNNAMED and may_be_late:
            raise ReplyInvalid("a response without an id, on a connection used before")

    def response_fields(self) -> dict[str, object]:
        """Return the log fields of the response and of its connection."""
        return {
            "status": None if self.head is None else self.head.status,
            "names": None if self.match is None else self.match.value,
            **self.connection_fields(),
        }

    def connection_fields(self) -> dict[str, object]:
        """Return the log fields that tell how the connection had been used."""
        return {
            "exchanges": self.use.exchanges,
            "connection_age": round(self.use.age, 4),
        }

    def record_cut_off(self) -> None:
        """Record that a part of the response is missing, though its body has ended."""
        self._on_cut_off()

    def pause(self, is_paused: bool) -> None:
        """Pause or resume reading from the target."""
        transport: Any = self._connection.transport
        if self._is_closed or transport is None:
            return
        if is_paused:
            transport.pauseProducing()
        else:
            transport.resumeProducing()

    def close(self) -> None:
        """End the exchange; abort the connection if the response is incomplete."""
        if self._is_closed:
            return
        self._is_closed = True
        self.estimate.in_flight -= 1
        self._pool.release(self._connection)
        if not self._is_complete:
            self._on_cut_off()
