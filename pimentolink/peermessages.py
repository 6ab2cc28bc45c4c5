"""The messages by which gateways tell each other what they send to targets."""

from __future__ import annotations

from typing import Annotated, Protocol

import msgspec
import xxhash

# Longest time, in seconds, for which a role change that another gateway told of keeps
# an engine from work; a hundred times what the slowest known takes.
MAX_CHANGING = 600.0

# Most engine seconds that are believed to wait at one gateway; an hour of one engine.
MAX_WORK = 3600.0
# Longest time, in milliseconds, that a prompt is believed to be on its way to an
# engine; callers have left by then.
MAX_TRANSMISSION_DELAY_MS = 30_000
# Changes of what waits that are told, in engine seconds.
WORK_STEP = 0.02
# Requests of one message of a crash, so that it fits into a datagram; and crashes of
# one that is cleared.
MAX_CRASH_FINGERPRINTS = 32
MAX_CRASHES = 64

# Bounds on what another gateway tells. A faulty one would otherwise make a target look
# idle, busy or changing for good.
_Natural = Annotated[int, msgspec.Meta(ge=0)]
_Work = Annotated[float, msgspec.Meta(ge=0, le=MAX_WORK)]
_Way = Annotated[int, msgspec.Meta(ge=0, le=MAX_TRANSMISSION_DELAY_MS)]
Fingerprint = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{32}$")]
_Changing = Annotated[float, msgspec.Meta(ge=0, le=MAX_CHANGING)]


def target_key(target_id: str, born: int) -> int:
    """
    Name one life of a target in four bytes.

    Two targets of the same name are taken for each other; what is believed of their
    load is then wrong, nothing else.
    """
    return int(xxhash.xxh32_intdigest(f"{target_id}|{born}".encode()))


class PrefillStarted(msgspec.Struct, tag="b", array_like=True):
    """
    A prompt was sent to an engine.

    :ivar number: names the reading, among those of the sender's life.
    :ivar target: see :func:`target_key`.
    :ivar parts: of the prompt, as number and tokens.
    :ivar copied: tokens that it fetches from another engine first.
    :ivar way_ms: milliseconds until the engine has the prompt, over the sender's own
        link.
    """

    number: _Natural
    target: _Natural
    tokens: _Natural
    parts: list[tuple[_Natural, _Natural]]
    copied: _Natural = 0
    way_ms: _Way = 0


class PrefillEnded(msgspec.Struct, tag="e", array_like=True):
    """
    A reading came to its end; each gateway learns from it how long readings take.

    :ivar is_good: whether the prompt was read.
    """

    number: _Natural
    target: _Natural
    is_good: bool


class OpenPrefills(msgspec.Struct, tag="o", array_like=True):
    """
    Readings of the sender's life that have not ended.

    It makes up for a lost :class:`PrefillEnded`, which leaves work at its engine that
    is not there. As datagrams were lost on full links, engines looked busy, prompts
    were turned away, and those that came back kept the links full.

    :ivar next_number: of the first reading that is not meant here.
    :ivar numbers: of those before it that have not ended.
    """

    next_number: _Natural
    numbers: list[_Natural]


class InFlight(msgspec.Struct, tag="f", array_like=True):
    """
    Requests that a gateway has under way, by target.

    :ivar is_whole: whether it has none at other targets; else only what has changed
        is told, so that callers' answers do not wait for it on a slow link.
    :ivar waiting_by_service: engine seconds of the prompts that wait there.
    """

    gateway: str
    counts_by_target: dict[str, _Natural]
    is_whole: bool
    waiting_by_service: dict[str, _Work] = {}


class RoleChanging(msgspec.Struct, tag="r", array_like=True):
    """
    An engine was ordered to another role.

    :ivar seconds: for which it takes no work.
    :ivar born: which life of the engine is meant.
    """

    target_id: str
    seconds: _Changing
    born: _Natural = 0


class TargetCrashed(msgspec.Struct, tag="c", array_like=True):
    """
    A target ended without having announced it.

    :ivar target: see :func:`target_key`.
    :ivar fingerprints: of requests that were under way there.
    :ivar is_tried: whether each of them was the one that was tried there.
    """

    target: _Natural
    fingerprints: Annotated[
        list[Fingerprint], msgspec.Meta(max_length=MAX_CRASH_FINGERPRINTS)
    ]
    is_tried: bool = False


def crash_messages(
    target: int, fingerprints: list[str], is_tried: bool
) -> list[TargetCrashed]:
    """Tell of a crash in as many messages as it takes."""
    return [
        TargetCrashed(
            target, fingerprints[begin : begin + MAX_CRASH_FINGERPRINTS], is_tried
        )
        for begin in range(0, len(fingerprints), MAX_CRASH_FINGERPRINTS)
    ]


class SuspectTried(msgspec.Struct, tag="t", array_like=True):
    """A request that may crash targets is being tried; others wait what comes of it."""

    fingerprint: Fingerprint


class SuspectCleared(msgspec.Struct, tag="k", array_like=True):
    """
    A request is not to blame for crashes at which it was under way.

    :ivar targets: that crashed; see :func:`target_key`.
    """

    fingerprint: Fingerprint
    targets: Annotated[list[_Natural], msgspec.Meta(max_length=MAX_CRASHES)]


class ClockReport(msgspec.Struct, tag="w", array_like=True):
    """
    What the sender's wall clock shows.

    :ivar wall_ms: milliseconds since 1970.
    """

    wall_ms: _Natural


class UsageCounts(msgspec.Struct, tag="u", array_like=True):
    """
    How many requests began to run in a window, of some organisations.

    :ivar life: of the process that counted them, which may be another's than the
        sender's.
    :ivar window: its number.
    :ivar counts: totals so far, by organisation.
    """

    life: str
    window: _Natural
    counts: dict[str, _Natural]


class VerificationRequest(msgspec.Struct, tag="p", array_like=True):
    """
    How old is the proof that the receiver's configuration is the newest?

    :ivar number: names the question, among those of the sender's life.
    """

    number: _Natural


class VerificationReply(msgspec.Struct, tag="q", array_like=True):
    """
    The answer to :class:`VerificationRequest`.

    :ivar version: of the configuration that was the newest.
    :ivar epoch: of the store that showed it.
    :ivar age_ms: milliseconds between the question that showed it and this answer.
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

    :ivar life: of the sender's process.
    """

    life: str
    messages: list[Message]


class PeerPublisher(Protocol):
    """Tells other gateways."""

    def broadcast(self, message: Message) -> None:
        """Tell all gateways, without being sure that any learns it."""
