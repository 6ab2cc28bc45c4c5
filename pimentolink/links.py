"""Links between entries and sidecars: one connection for each pair."""

from __future__ import annotations

import hashlib
import hmac
from functools import partial
from typing import Any, Generic, Protocol, TypeVar

from google.protobuf.message import DecodeError
from twisted.internet.interfaces import IPushProducer
from twisted.protocols.basic import Int32StringReceiver
from zope.interface import implementer

from pimentolink import link_pb2
from pimentolink.logs import Log, LogEvent
from pimentolink.settings import LinkSettings
from pimentolink.timers import Repeater, Timers

NONCE_BYTES = 16
LONGEST_GREETING = 4_096
LONGEST_MESSAGE = 16_000_000
CHECKS_IN_SILENCE = 4


class EntryLink(Protocol):
    """A link as the entry holds it."""

    def send(self, message: link_pb2.EntryMessage) -> None:
        """Send a message to the sidecar."""


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
        """Send a message to the entry."""

    def send_event(self, event: link_pb2.Event) -> None:
        """Queue an event; those of one turn of the loop share a message."""


class SidecarLinkListener(Protocol):
    """What a sidecar does about its links."""

    def greeting(self) -> link_pb2.SidecarHello:
        """Make the first message of a link."""

    def load_due(self, link: SidecarLink) -> link_pb2.Load | None:
        """Tell the load if a report to this entry is due."""

    def link_up(self, link: SidecarLink, hello: link_pb2.EntryHello) -> None:
        """Take note that an entry has attached."""

    def link_message(self, link: SidecarLink, message: link_pb2.EntryMessage) -> None:
        """Handle a message of an entry."""

    def link_down(self, link: SidecarLink) -> None:
        """Take note that a link that was up has ended."""


def prove(shared_key: str, role: str, *nonces: bytes) -> bytes:
    """
    Show knowledge of the shared key without sending it.

    :param shared_key: known to all processes of the system.
    :param role: of the process that proves; keeps a proof from being sent back.
    :param nonces: fresh, one of each side.
    :returns: 32 bytes.
    :source: RFC 2104, HMAC.
    """
    text = role.encode() + b"".join(nonces)
    return hmac.new(shared_key.encode(), text, hashlib.sha256).digest()


Received = TypeVar("Received", link_pb2.EntryMessage, link_pb2.SidecarMessage)


@implementer(IPushProducer)
class LinkConnection(Int32StringReceiver, Generic[Received]):
    """What both ends of a link share: frames, bounds and the check for silence."""

    MAX_LENGTH = LONGEST_GREETING
    transport: Any
    received_type: type[Received]

    def __init__(self, settings: LinkSettings, timers: Timers, log: Log) -> None:
        """
        Start unproved.

        :param settings: bounds and patience.
        :param timers: the timer service.
        :param log: where events go.
        """
        self._settings = settings
        self._timers = timers
        self._log = log
        self._last_heard = timers.now()
        self._check_interval = settings.silence / CHECKS_IN_SILENCE
        self._check_due_at = 0.0
        self._pending = 0
        self._is_held_back = False
        self._check: Repeater | None = None
        self._is_ended = False
        self.is_up = False

    def connectionMade(self) -> None:  # noqa: N802
        """Set the connection up."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._check_due_at = self._timers.now() + self._check_interval
        self._check = Repeater(self._timers, self._check_interval, self._check_silence)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes; a part of a long message shows that the peer lives, too."""
        self._last_heard = self._timers.now()
        super().dataReceived(data)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Take one message; one that cannot be read ends the link."""
        try:
            message = self.received_type.FromString(string)
        except DecodeError:
            self.abort()
            return
        if self.is_up:
            self.message_received(message)
        else:
            self.greeting_received(message)

    def message_received(self, message: Received) -> None:
        """Handle a message of a peer that has proved itself."""
        raise NotImplementedError

    def greeting_received(self, message: Received) -> None:
        """Handle a message of a peer that has not proved itself yet."""
        raise NotImplementedError

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """End the link of a peer that announces too long a message."""
        self.abort()

    def write(self, message: link_pb2.EntryMessage | link_pb2.SidecarMessage) -> None:
        """Send a message; a peer that does not read ends its link at the bound."""
        data = message.SerializeToString()
        if self._is_held_back:
            self._pending += len(data)
            if self._pending > self._settings.most_pending:
                self.abort()
                return
        self.sendString(data)

    def rise(self) -> None:
        """Trust the peer from now on."""
        self.MAX_LENGTH = LONGEST_MESSAGE
        self.is_up = True

    def abort(self) -> None:
        """End the link at once."""
        self.transport.abortConnection()

    def end(self) -> None:
        """Clean up after the connection."""
        self._is_ended = True
        if self._check is not None:
            self._check.cancel()

    def pauseProducing(self) -> None:  # noqa: N802
        """Begin to count what the peer leaves unread."""
        self._is_held_back = True
        self._pending = 0

    def resumeProducing(self) -> None:  # noqa: N802
        """Stop counting: the peer reads again."""
        self._is_held_back = False

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the lost connection is told separately."""

    def _check_silence(self) -> None:
        now = self._timers.now()
        late = now - self._check_due_at
        self._check_due_at = now + self._check_interval
        if now - self._last_heard <= self._settings.silence:
            return
        if late > self._check_interval:
            # This process stood still; the peer's bytes may wait to be read.
            self._timers.call_later(0, partial(self._end_if_silent, late))
        else:
            self._end_if_silent(late)

    def _end_if_silent(self, late: float) -> None:
        silent = self._timers.now() - self._last_heard
        if silent <= self._settings.silence or self._is_ended:
            return
        self._log.write(
            LogEvent.LINK_SILENT,
            peer=str(self.transport.getPeer()),
            silent=round(silent, 3),
            late=round(late, 3),
        )
        self.abort()
