"""Messages that gateways exchange about load, crashes, usage and configuration."""

from __future__ import annotations

from typing import Annotated, Protocol

import msgspec
import xxhash

# Upper bound, in seconds, on how long a role change reported by another gateway makes
# an engine unavailable; a hundred times the slowest known role change.
MAX_ROLE_CHANGE_TIME = 600.0

# Upper bound on the queued work that a gateway may report, in engine seconds
# (seconds of work of one engine); an hour of one engine.
MAX_QUEUED_WORK = 3600.0
# Upper bound, in milliseconds, on the reported time for sending a prompt to an engine;
# callers have disconnected by then.
MAX_TRANSMISSION_DELAY_MS = 30_000
# Queued work is rounded to a multiple of this, in engine seconds, so that small changes
# are not sent.
QUEUED_WORK_STEP = 0.02
# Maximum number of requests in one :class:`TargetCrashed`, so that it fits into a
# datagram.
MAX_CRASH_FINGERPRINTS = 32
# Maximum number of crashed targets in one :class:`SuspectCleared`.
MAX_CRASHES = 64
# Largest number of crashes, one after the other, that is told apart.
MAX_DEPTH = 64

# Bounds on values received from other gateways. Without them, a faulty gateway could
# make a target look idle, busy or changing its role permanently.
_Natural = Annotated[int, msgspec.Meta(ge=0)]
_QueuedWork = Annotated[float, msgspec.Meta(ge=0, le=MAX_QUEUED_WORK)]
_TransmissionDelay = Annotated[int, msgspec.Meta(ge=0, le=MAX_TRANSMISSION_DELAY_MS)]
# Digest of a request, equal for all its repetitions, or a trait of several requests.
Fingerprint = Annotated[str, msgspec.Meta(pattern="^p?[0-9a-f]{32}$")]
_Depth = Annotated[int, msgspec.Meta(ge=1, le=MAX_DEPTH)]
_RoleChangeTime = Annotated[float, msgspec.Meta(ge=0, le=MAX_ROLE_CHANGE_TIME)]


def target_key(target_id: str, born: int) -> int:
    """
    Hash a target's ID and start time to a four-byte key.

    If the keys of two targets collide, messages about one may be applied to the other;
    their load estimates and the crashes recorded for them may then be wrong.

    :param born: when the target started, in Unix milliseconds; 0 if not known.
    """
    return int(xxhash.xxh32_intdigest(f"{target_id}|{born}".encode()))


class PrefillStarted(msgspec.Struct, tag="b", array_like=True):
    """
    A prompt was sent to an engine.

    :ivar number: identifies the prefill among those of the sender's process.
    :ivar target: see :func:`target_key`.
    :ivar tokens: length of the prompt.
    :ivar parts: the prompt's parts, each as its ID and its number of tokens.
    :ivar copied: tokens whose KV cache the engine first fetches from another engine.
    :ivar way_ms: predicted milliseconds for sending the prompt to the engine over the
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
    A prefill ended.

    From this and :class:`PrefillStarted`, each gateway measures how long it took.

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

    Corrects for lost :class:`PrefillEnded` messages. Otherwise, prefills that have
    ended would still count as work of their engine. Without this message, when
    saturated links dropped datagrams, engines looked busy, prompts were rejected, and
    their retries kept the links saturated.

    :ivar next_number: the lowest prefill number that this message does not cover.
    :ivar numbers: prefills below that number that have not ended.
    """

    next_number: _Natural
    numbers: list[_Natural]


class InFlight(msgspec.Struct, tag="f", array_like=True):
    """
    A gateway's requests in flight, by target.

    :ivar gateway: the sender's name.
    :ivar counts_by_target: number of requests in flight, by target ID.
    :ivar is_whole: whether this is a full update, with no requests in flight at
        targets that are not listed; otherwise only changed counts are listed, so that
        the update does not delay responses to callers on a slow link.
    :ivar waiting_by_service: prefill work of the prompts queued at the gateway, in
        engine seconds, by service.
    """

    gateway: str
    counts_by_target: dict[str, _Natural]
    is_whole: bool
    waiting_by_service: dict[str, _QueuedWork] = {}


class RoleChanging(msgspec.Struct, tag="r", array_like=True):
    """
    An engine accepted an order to change its role.

    :ivar seconds: how long the engine accepts no work.
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
    :ivar fingerprints: identify the requests that were in flight there, and their
        traits.
    :ivar is_tried: whether each of them was a suspect that was on trial there, see
        :class:`SuspectTried`.
    :ivar depths: for each of them, how many crashes followed one another up to this
        one; 1 for those beyond the end of the list.
    """

    target: _Natural
    fingerprints: Annotated[
        list[Fingerprint], msgspec.Meta(max_length=MAX_CRASH_FINGERPRINTS)
    ]
    is_tried: bool = False
    depths: Annotated[
        list[_Depth], msgspec.Meta(max_length=MAX_CRASH_FINGERPRINTS)
    ] = []


def crash_messages(
    target: int, fingerprints: list[str], is_tried: bool, depths: list[int]
) -> list[TargetCrashed]:
    """Split the report of a crash into messages that fit into a datagram."""
    messages = []
    for begin in range(0, len(fingerprints), MAX_CRASH_FINGERPRINTS):
        chunk = slice(begin, begin + MAX_CRASH_FINGERPRINTS)
        told = depths[chunk] if max(depths[chunk]) > 1 else []
        messages.append(TargetCrashed(target, fingerprints[chunk], is_tried, told))
    return messages


class ExchangesBroken(msgspec.Struct, tag="x", array_like=True):
    """
    Exchanges with a target that were cut off at a gateway which now stops.

    If the target is found to have crashed, the crash counts against these requests.

    :ivar target: see :func:`target_key`.
    :ivar fingerprints: identify the requests.
    :ivar is_tried: whether each of them was a suspect on trial, see
        :class:`SuspectTried`.
    :ivar age_ms: milliseconds since the newest of them was cut off.
    """

    target: _Natural
    fingerprints: Annotated[
        list[Fingerprint], msgspec.Meta(max_length=MAX_CRASH_FINGERPRINTS)
    ]
    is_tried: bool
    age_ms: _Natural


class SuspectTried(msgspec.Struct, tag="t", array_like=True):
    """
    The sender begins or ends the trial of a suspect; no other is tried meanwhile.

    A suspect is a request that was in flight at the crashes of at least two targets. In
    a trial, it is sent on its own to one target, to find out whether it crashes it.

    :ivar fingerprint: identifies the suspect.
    :ivar is_over: whether the trial has ended instead, without a crash so far.
    """

    fingerprint: Fingerprint
    is_over: bool = False


class SuspectCleared(msgspec.Struct, tag="k", array_like=True):
    """
    A request is no longer suspected of crashes during which it was in flight.

    :ivar fingerprint: identifies the request, or is a trait of requests.
    :ivar targets: the targets that crashed; see :func:`target_key`.
    """

    fingerprint: Fingerprint
    targets: Annotated[list[_Natural], msgspec.Meta(max_length=MAX_CRASHES)]


class ClockReport(msgspec.Struct, tag="w", array_like=True):
    """
    The time of the sender's wall clock.

    :ivar wall_ms: Unix milliseconds.
    """

    wall_ms: _Natural


class UsageCounts(msgspec.Struct, tag="u", array_like=True):
    """
    How many requests of the listed organisations started to run in one window.

    A window is a fixed interval aligned to the Unix epoch, whose counts are reported
    together.

    :ivar life: identifies the process that counted them. This is not always the
        sender: a gateway that stops, or that learns of a new leader, also sends the
        counts of other gateways that it knows.
    :ivar window: the window's number: Unix time divided by the window's length,
        rounded down.
    :ivar counts: number of requests since the window began, by organisation; one
        message need not list all organisations.
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
    :ivar epoch: epoch of the store that it was verified against; a restore of the
        store from a backup increases the epoch.
    :ivar age_ms: milliseconds from the query that verified it to this reply.
    :ivar revision: of the store, as the sender last read it; 0 if it has not.
    """

    number: _Natural
    version: _Natural
    epoch: _Natural
    age_ms: _Natural
    revision: _Natural = 0


LoadMessage = PrefillStarted | PrefillEnded | OpenPrefills | InFlight | RoleChanging
SuspectMessage = TargetCrashed | SuspectTried | SuspectCleared | ExchangesBroken
# The gateways agree on a time of day by clock reports, and assign requests to windows
# by that time.
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
        """
        Send a message to all other gateways of the cell, without guaranteed delivery.

        A cell is a group of gateways and targets that exchange load updates.
        """
