"""
The link protocol between entries and sidecars, which have one connection per pair.

The sidecar sends a challenge, the entry a hello with a proof that it has the shared
key, and the sidecar a hello with its own proof. Then either side sends messages.
"""

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
MAX_HANDSHAKE_BYTES = 4_096
MAX_MESSAGE_BYTES = 16_000_000
CHECKS_PER_SILENCE_TIMEOUT = 4


class EntryLink(Protocol):
    """The interface of an entry to one of its links."""

    def send(self, message: link_pb2.EntryMessage) -> None:
        """Send a message to the sidecar."""


class EntryLinkListener(Protocol):
    """Receives the events of an entry's links."""

    def make_hello(self) -> link_pb2.EntryHello:
        """Create the hello message; nonce and proof are added by the link."""

    def link_up(self, link: EntryLink, hello: link_pb2.SidecarHello) -> None:
        """Handle a new link, after the sidecar was authenticated."""

    def link_message(self, link: EntryLink, message: link_pb2.SidecarMessage) -> None:
        """Handle a message from an authenticated sidecar."""

    def link_down(self, link: EntryLink) -> None:
        """Take note that a link that was up has ended."""


class SidecarLink(Protocol):
    """The interface of a sidecar to one of its links."""

    def send(self, message: link_pb2.SidecarMessage) -> None:
        """Send a message to the entry."""

    def send_event(self, event: link_pb2.Event) -> None:
        """Queue an event; events of one reactor iteration share a message."""


class SidecarLinkListener(Protocol):
    """Receives the events of a sidecar's links."""

    def make_hello(self) -> link_pb2.SidecarHello:
        """Create the hello message; the proof is added by the link."""

    def take_due_load(self, link: SidecarLink) -> link_pb2.Load | None:
        """Return the load if a report to this entry is due."""

    def link_up(self, link: SidecarLink, hello: link_pb2.EntryHello) -> None:
        """Handle a new link, after the entry was authenticated."""

    def link_message(self, link: SidecarLink, message: link_pb2.EntryMessage) -> None:
        """Handle a message from an authenticated entry."""

    def link_down(self, link: SidecarLink) -> None:
        """Take note that a link that was up has ended."""


def compute_proof(shared_key: str, role: str, *nonces: bytes) -> bytes:
    """
    Compute a proof that this process has the shared key, without sending the key.

    :param shared_key: known to all processes of the system.
    :param role: of the process that sends the proof; prevents a peer from reflecting
        a proof it received.
    :param nonces: random, one of each side.
    :returns: 32 bytes.
    :source: RFC 2104, HMAC.
    """
    text = role.encode() + b"".join(nonces)
    return hmac.new(shared_key.encode(), text, hashlib.sha256).digest()


Received = TypeVar("Received", link_pb2.EntryMessage, link_pb2.SidecarMessage)


@implementer(IPushProducer)
class LinkConnection(Int32StringReceiver, Generic[Received]):
    """
    The part common to both ends of a link.

    Frames messages, limits their size and the bytes left unread by the peer, and ends
    the link after a time without data from the peer.

    :ivar is_up: whether the peer was authenticated.
    """

    MAX_LENGTH = MAX_HANDSHAKE_BYTES
    transport: Any
    received_type: type[Received]

    def __init__(self, settings: LinkSettings, timers: Timers, log: Log) -> None:
        """
        Create a connection whose peer is not authenticated yet.

        :param settings: limits and timeouts.
        :param timers: the timer service.
        :param log: receives log events.
        """
        self._settings = settings
        self._timers = timers
        self._log = log
        self._last_received_at = timers.now()
        self._check_interval = settings.silence / CHECKS_PER_SILENCE_TIMEOUT
        self._check_due_at = 0.0
        self._backlog_bytes = 0
        self._is_write_paused = False
        self._silence_check: Repeater | None = None
        self._is_closed = False
        self.is_up = False

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm and start the checks for silence and backlog."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._check_due_at = self._timers.now() + self._check_interval
        self._silence_check = Repeater(
            self._timers, self._check_interval, self._check_silence
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive bytes; part of a long message counts as a sign of life, too."""
        self._last_received_at = self._timers.now()
        super().dataReceived(data)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Decode one message; one that cannot be decoded ends the link."""
        try:
            message = self.received_type.FromString(string)
        except DecodeError:
            self.abort()
            return
        if self.is_up:
            self.message_received(message)
        else:
            self.handshake_received(message)

    def message_received(self, message: Received) -> None:
        """Handle a message from an authenticated peer."""
        raise NotImplementedError

    def handshake_received(self, message: Received) -> None:
        """Handle a message from a peer that is not authenticated yet."""
        raise NotImplementedError

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """End the link if a peer announces a message over the size limit."""
        self.abort()

    def write(self, message: link_pb2.EntryMessage | link_pb2.SidecarMessage) -> None:
        """Send a message; end the link if the peer leaves too many bytes unread."""
        data = message.SerializeToString()
        if self._is_write_paused:
            self._backlog_bytes += len(data)
            if self._backlog_bytes > self._settings.most_pending:
                self.abort()
                return
        self.sendString(data)

    def accept_peer(self) -> None:
        """Mark the peer as authenticated and allow full-size messages."""
        self.MAX_LENGTH = MAX_MESSAGE_BYTES
        self.is_up = True

    def abort(self) -> None:
        """End the link at once."""
        self.transport.abortConnection()

    def clean_up(self) -> None:
        """Stop the check for silence once the connection has ended."""
        self._is_closed = True
        if self._silence_check is not None:
            self._silence_check.cancel()

    def pauseProducing(self) -> None:  # noqa: N802
        """Start counting bytes that the peer leaves unread."""
        self._is_write_paused = True
        self._backlog_bytes = 0

    def resumeProducing(self) -> None:  # noqa: N802
        """Stop counting: the peer reads again."""
        self._is_write_paused = False

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``connectionLost`` reports the end of the connection."""

    def _check_silence(self) -> None:
        now = self._timers.now()
        late = now - self._check_due_at
        self._check_due_at = now + self._check_interval
        if now - self._last_received_at <= self._settings.silence:
            return
        if late > self._check_interval:
            # This process itself was stalled. Data from the peer may be waiting in the
            # socket: let the reactor read it before the link is judged.
            self._timers.call_later(0, partial(self._abort_if_silent, late))
        else:
            self._abort_if_silent(late)

    def _abort_if_silent(self, late: float) -> None:
        silent = self._timers.now() - self._last_received_at
        if silent <= self._settings.silence or self._is_closed:
            return
        self._log.write(
            LogEvent.LINK_SILENT,
            peer=str(self.transport.getPeer()),
            silent=round(silent, 3),
            late=round(late, 3),
        )
        self.abort()
