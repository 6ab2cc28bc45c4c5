"""Links between entries and sidecars: one gRPC stream for each pair."""

from __future__ import annotations

import asyncio
import hmac
from collections import deque
from typing import Any, Protocol

import grpc
from grpc import aio

from pimentolink import link_pb2, link_pb2_grpc
from pimentolink.logs import Log, LogEvent
from pimentolink.settings import LinkSettings

KEY_HEADER = "pimentolink-key"
CHANNEL_OPTIONS = (
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 4_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.max_receive_message_length", 16_000_000),
    ("grpc.max_send_message_length", 16_000_000),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
)
SERVER_OPTIONS = (
    # Binding is the target's one slot, so the port must not be shared.
    ("grpc.so_reuseport", 0),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
    ("grpc.max_receive_message_length", 16_000_000),
    ("grpc.max_send_message_length", 16_000_000),
)


class EntryLink(Protocol):
    """A link as the entry holds it."""

    def send(self, message: link_pb2.EntryMessage) -> None:
        """Queue a message to the sidecar."""


class EntryLinkListener(Protocol):
    """What an entry does about its links."""

    def greeting(self) -> link_pb2.EntryHello:
        """Make the first message of a link."""

    def link_up(self, link: EntryLink, hello: link_pb2.SidecarHello) -> None:
        """Take note that a sidecar answers."""

    def link_message(self, link: EntryLink, message: link_pb2.SidecarMessage) -> None:
        """Handle a message of a sidecar that is up."""

    def link_down(self, link: EntryLink) -> None:
        """Take note that a link that was up has ended."""


class SidecarLink(Protocol):
    """A link as the sidecar holds it."""

    def send(self, message: link_pb2.SidecarMessage) -> None:
        """Queue a message to the entry."""

    def send_event(self, event: link_pb2.Event) -> None:
        """Queue an event; those of one turn of the loop share a message."""


class SidecarLinkListener(Protocol):
    """What a sidecar does about its links."""

    def greeting(self) -> link_pb2.SidecarHello:
        """Make the first message of a link."""

    def link_up(self, link: SidecarLink, hello: link_pb2.EntryHello) -> None:
        """Take note that an entry has attached."""

    def link_message(self, link: SidecarLink, message: link_pb2.EntryMessage) -> None:
        """Handle a message of an entry."""

    def link_down(self, link: SidecarLink) -> None:
        """Take note that an entry is gone."""


class _Outbox:
    """Messages waiting for a stream that takes them one at a time."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._messages: deque[Any] = deque()
        self._events: list[link_pb2.Event] = []
        self._ready = asyncio.Event()
        self.is_full = False

    def put(self, message: Any) -> None:
        self._messages.append(message)
        self._wake()

    def put_event(self, event: link_pb2.Event) -> None:
        self._events.append(event)
        self._wake()

    def close(self) -> None:
        self.is_full = True
        self._ready.set()

    def _wake(self) -> None:
        if len(self._messages) + len(self._events) > self._most:
            self.is_full = True
        self._ready.set()

    async def next(self) -> Any:
        """Wait for a message; ``None`` once the bound was passed."""
        while not self._messages and not self._events and not self.is_full:
            self._ready.clear()
            await self._ready.wait()
        if self.is_full:
            return None
        # Events first: a control message must not overtake an earlier answer.
        if self._events:
            events, self._events = self._events, []
            return link_pb2.SidecarMessage(step=link_pb2.Step(events=events))
        return self._messages.popleft()


class LinkClient:
    """The entry's end of one link; attaches again whenever it is lost."""

    def __init__(
        self,
        address: str,
        shared_key: str,
        settings: LinkSettings,
        listener: EntryLinkListener,
        log: Log,
    ) -> None:
        """
        Start attaching.

        :param address: the sidecar's address.
        :param shared_key: proof that this process belongs to the system.
        :param settings: heartbeats and patience.
        :param listener: told of all that happens.
        :param log: where events go.
        """
        self.address = address
        self._shared_key = shared_key
        self._settings = settings
        self._listener = listener
        self._log = log
        self._outbox: _Outbox | None = None
        self._task = asyncio.get_event_loop().create_task(self._run())

    def send(self, message: link_pb2.EntryMessage) -> None:
        """Queue a message; dropped if the link is down, which is told separately."""
        if self._outbox is not None:
            self._outbox.put(message)

    def close(self) -> asyncio.Task[None]:
        """
        End the link for good.

        :returns: ends when the link has.
        """
        self._task.cancel()
        return self._task

    async def _run(self) -> None:
        options = (*CHANNEL_OPTIONS,)
        async with aio.insecure_channel(self.address, options=options) as channel:
            stub = link_pb2_grpc.LinkStub(channel)
            while True:
                await self._attach(stub)
                await asyncio.sleep(self._settings.reconnect)

    async def _attach(self, stub: Any) -> None:
        call = stub.Attach(metadata=((KEY_HEADER, self._shared_key),))
        outbox = _Outbox(self._settings.most_pending)
        outbox.put(link_pb2.EntryMessage(hello=self._listener.greeting()))
        writer = asyncio.ensure_future(self._write(call, outbox))
        is_up = False
        try:
            first = await self._read(call)
            if first is None or first.WhichOneof("body") != "hello":
                return
            self._outbox = outbox
            is_up = True
            self._listener.link_up(self, first.hello)
            while (message := await self._read(call)) is not None:
                self._listener.link_message(self, message)
        except (TimeoutError, aio.AioRpcError) as error:
            self._tell_refusal(error)
        finally:
            writer.cancel()
            call.cancel()
            self._outbox = None
            if is_up:
                self._listener.link_down(self)

    async def _read(self, call: Any) -> link_pb2.SidecarMessage | None:
        message = await asyncio.wait_for(call.read(), self._settings.silence)
        return None if message is aio.EOF else message

    async def _write(self, call: Any, outbox: _Outbox) -> None:
        try:
            while (message := await outbox.next()) is not None:
                await call.write(message)
        except (aio.AioRpcError, asyncio.InvalidStateError):
            pass
        call.cancel()

    def _tell_refusal(self, error: Exception) -> None:
        if (
            isinstance(error, aio.AioRpcError)
            and error.code() is grpc.StatusCode.UNAUTHENTICATED
        ):
            self._log.write(LogEvent.LINK_REFUSED, address=self.address)


class _ServerLink:
    """The sidecar's end of one link."""

    def __init__(self, most_pending: int) -> None:
        self.outbox = _Outbox(most_pending)

    def send(self, message: link_pb2.SidecarMessage) -> None:
        self.outbox.put(message)

    def send_event(self, event: link_pb2.Event) -> None:
        self.outbox.put_event(event)


class LinkServer:
    """Takes the links of all entries."""

    def __init__(
        self,
        shared_key: str,
        settings: LinkSettings,
        listener: SidecarLinkListener,
        log: Log,
    ) -> None:
        """
        Prepare; nothing listens yet.

        :param shared_key: what entries prove themselves with.
        :param settings: bounds and patience.
        :param listener: told of all that happens.
        :param log: where events go.
        """
        self._shared_key = shared_key.encode()
        self._settings = settings
        self._listener = listener
        self._log = log
        self._server = aio.server(options=SERVER_OPTIONS)
        link_pb2_grpc.add_LinkServicer_to_server(self, self._server)

    async def start(self, address: str) -> bool:
        """
        Listen; holding the port holds the target's one slot.

        :param address: where.
        :returns: whether the slot was free.
        """
        try:
            bound = self._server.add_insecure_port(address)
        except RuntimeError:
            return False
        if bound == 0:
            return False
        await self._server.start()
        return True

    async def stop(self, grace: float) -> None:
        """
        End every link.

        :param grace: seconds for what is queued to go out.
        """
        await self._server.stop(grace)

    async def Attach(self, requests: Any, context: Any) -> Any:  # noqa: N802
        """Serve one link until either side ends it."""
        if not self._is_known(context):
            self._log.write(LogEvent.LINK_REFUSED, peer=context.peer())
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "unauthenticated")
        link = _ServerLink(self._settings.most_pending)
        link.send(link_pb2.SidecarMessage(hello=self._listener.greeting()))
        reader = asyncio.ensure_future(self._read(link, requests))
        try:
            while (message := await link.outbox.next()) is not None:
                yield message
        finally:
            reader.cancel()
            self._listener.link_down(link)

    async def _read(self, link: _ServerLink, requests: Any) -> None:
        try:
            async for message in requests:
                if message.WhichOneof("body") == "hello":
                    self._listener.link_up(link, message.hello)
                else:
                    self._listener.link_message(link, message)
        finally:
            link.outbox.close()

    def _is_known(self, context: Any) -> bool:
        metadata = dict(context.invocation_metadata() or ())
        key = str(metadata.get(KEY_HEADER, "")).encode()
        return hmac.compare_digest(key, self._shared_key)
