"""Messages that gateways exchange about load, crashes, usage and configuration."""

from __future__ import annotations

from typing import Annotated, Protocol

import msgspec
import xxhash

# Upper bound, in seconds, on how long a role change reported by another gateway makes
# an engine unavailable; a hundred times the slowest known role change.
MAX_ROLE_CHANGE_TIME = 600.0

# Upper bound on the queued work that a gateway may report, in engine seconds; an hour
# of one engine.
MAX_QUEUED_WORK = 3600.0
# Upper bound, in milliseconds, on the reported time for sending a prompt to an engine;
# callers have disconnected by then.
MAX_TRANSMISSION_DELAY_MS = 30_000
# Queued work is rounded to a multiple of this, in engine seconds, so that small changes
# are not sent.
QUEUED_WORK_STEP = 0.02
# Maximum number of requests in one crash message, so that it fits into a datagram, and
# of crashes in one message that clears a request.
MAX_CRASH_FINGERPRINTS = 32
MAX_CRASHES = 64

# Bounds on values received from other gateways. Without them, a faulty gateway could
# make a target look idle, busy or changing its role for good.
_Natural = Annotated[int, msgspec.Meta(ge=0)]
_QueuedWork = Annotated[float, msgspec.Meta(ge=0, le=MAX_QUEUED_WORK)]
_TransmissionDelay = Annotated[int, msgspec.Meta(ge=0, le=MAX_TRANSMISSION_DELAY_MS)]
Fingerprint = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{32}$")]
_RoleChangeTime = Annotated[float, msgspec.Meta(ge=0, le=MAX_ROLE_CHANGE_TIME)]


def target_key(target_id: str, born: int) -> int:
    """
    Hash a target's ID and start time to a four-byte key.

    If the keys of two targets collide, they are mistaken for each other; only their
    load estimates are then wrong.

    :param born: when the target started, in Unix milliseconds; 0 if not known.
    """
    return int(xxhash.xxh32_intdigest(f"{target_id}|{born}".encode()))


class PrefillStarted(msgspec.Struct, tag="b", array_like=True):
    """
    A prompt was sent to an engine.

    :ivar number: identifies the prefill among those of the sender's process.
    :ivar target: see :func:`target_key`.
    :ivar tokens: length of the prompt.
    :ivar parts: the prompt's parts, each as its number and its tokens.
    :ivar copied: tokens that the engine fetches from another engine first.
    :ivar way_ms: milliseconds until the prompt has reached the engine over the
        sender's link.
    """

    number: _Natural
    target: _Natural
    tokens: _Natural
    parts: list[tuple[_Natural, _Natural]]
    copied: _Natural = 0
    way_ms: _TransmissionDelay = 0


class PrefillEnded(msgspec.Struct, tag="e", array_like=True):
    """
    A prefill ended; each gateway learns from this how long prefills take.

    :ivar number: identifies the prefill, see :class:`PrefillStarted`.
    :ivar target: see :func:`target_key`.
    :ivar is_good: whether the prefill succeeded.
    """

    number: _Natural
    target: _Natural
    is_good: bool


class OpenPrefills(msgspec.Struct, tag="o", array_like=True):
    """
    The prefills of the sender's process that have not ended.

    Corrects for lost :class:`PrefillEnded` messages, which would leave prefills that
    have ended counted as work of their engine. Without it, when full links dropped
    datagrams, engines looked busy, prompts were rejected, and their retries kept the
    links full.

    :ivar next_number: the lowest prefill number that this message does not cover.
    :ivar numbers: prefills below that number that have not ended.
    """

    next_number: _Natural
    numbers: list[_Natural]


class InFlight(msgspec.Struct, tag="f", array_like=True):
    """
    A gateway's requests in flight, by target.

    :ivar gateway: the sender's name.
    :ivar counts_by_target: number of requests in flight.
    :ivar is_whole: whether this is a full update, with no requests in flight at
        targets that are not listed; otherwise only changed counts are listed, so that
        the update does not delay responses to callers on a slow link.
    :ivar waiting_by_service: engine seconds of the prompts queued at the gateway.
    """

    gateway: str
    counts_by_target: dict[str, _Natural]
    is_whole: bool
    waiting_by_service: dict[str, _QueuedWork] = {}


class RoleChanging(msgspec.Struct, tag="r", array_like=True):
    """
    An engine was ordered to change its role.

    :ivar seconds: for which the engine accepts no work.
    :ivar born: start time of the engine, in Unix milliseconds, so that the message
        does not apply after a restart.
    """

    target_id: str
    seconds: _RoleChangeTime
    born: _Natural = 0


class TargetCrashed(msgspec.Struct, tag="c", array_like=True):
    """
    A target ended without announcing a shutdown.

    :ivar target: see :func:`target_key`.
    :ivar fingerprints: identify the requests that were in flight there.
    :ivar is_tried: whether each of them was a suspect request under trial there.
    """

    target: _Natural
    fingerprints: Annotated[
        list[Fingerprint], msgspec.Meta(max_length=MAX_CRASH_FINGERPRINTS)
    ]
    is_tried: bool = False


def crash_messages(
    target: int, fingerprints: list[str], is_tried: bool
) -> list[TargetCrashed]:
    """Split the report of a crash into messages that fit into a datagram."""
    return [
        TargetCrashed(
            target, fingerprints[begin : begin + MAX_CRASH_FINGERPRINTS], is_tried
        )
        for begin in range(0, len(fingerprints), MAX_CRASH_FINGERPRINTS)
    ]


class SuspectTried(msgspec.Struct, tag="t", array_like=True):
    """A request suspected of crashing targets is on trial; others await the result."""

    fingerprint: Fingerprint


class SuspectCleared(msgspec.Struct, tag="k", array_like=True):
    """
    A request did not cause the crashes during which it was in flight.

    :ivar targets: the targets that crashed; see :func:`target_key`.
    """

    fingerprint: Fingerprint
    targets: Annotated[list[_Natural], msgspec.Meta(max_length=MAX_CRASHES)]


class ClockReport(msgspec.Struct, tag="w", array_like=True):
    """
    The time of the sender's wall clock.

    :ivar wall_ms: milliseconds since 1970.
    """

    wall_ms: _Natural


class UsageCounts(msgspec.Struct, tag="u", array_like=True):
    """
    How many requests of some organisations began to run in a time window.

    :ivar life: identifies the process that counted them, not always the sender.
    :ivar window: the window's number.
    :ivar counts: totals so far, by organisation.
    """

    life: str
    window: _Natural
    counts: dict[str, _Natural]


class VerificationRequest(msgspec.Struct, tag="p", array_like=True):
    """
    Asks how long ago the receiver's configuration was verified to be the newest.

    :ivar number: identifies the request among those of the sender's process.
    """

    number: _Natural


class VerificationReply(msgspec.Struct, tag="q", array_like=True):
    """
    The reply to a :class:`VerificationRequest`.

    :ivar number: of the request.
    :ivar version: the configuration version that was verified as the newest.
    :ivar epoch: epoch of the store that it was verified against.
    :ivar age_ms: milliseconds from the query that verified it to this reply.
    """

    number: _Natural
    version: _Natural
    epoch: _Natural
    age_ms: _Natural


LoadMessage = PrefillStarted | PrefillEnded | OpenPrefills | InFlight | RoleChanging
SuspectMessage = TargetCrashed | SuspectTried | SuspectCleared
UsageMessage = ClockReport | UsageCounts
VerificationMessage = VerificationRequest | VerificationReply
Message = LoadMessage | SuspectMessage | UsageMessage | VerificationMessage


class Datagram(msgspec.Struct, array_like=True):
    """
    Messages of one gateway.

    :ivar life: identifies the sender's process; a restart changes it.
    """

    life: str
    messages: list[Message]


class PeerPublisher(Protocol):
    """Sends messages to other gateways."""

    def broadcast(self, message: Message) -> None:
        """Send to all other gateways of the cell; delivery is not guaranteed."""
