"""What a deployment's wire format must tell the system, apart from its names."""

from __future__ import annotations

import enum
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple, Protocol

from result import Result

from pimentolink.errors import InvalidRequest, OrderRefused, ReplyInvalid
from pimentolink.httptypes import HttpReply, HttpRequest, ReplyHead

if TYPE_CHECKING:
    from pimentolink.targetestimate import EngineReport, EngineRole, TargetEstimate


# Bytes of a fingerprint; nobody can make a request that has another one's.
FINGERPRINT_BYTES = 16


class PromptPart(NamedTuple):
    """A part of a prompt, which other prompts may share."""

    part_id: int
    tokens: int


class CallerRequest(NamedTuple):
    """
    A caller's request.

    :ivar request_id: of this attempt of the caller.
    :ivar http: as it came.
    :ivar host: that the caller named, without a port.
    :ivar path: with the query.
    :ivar arrived_at: seconds of the timer service.
    :ivar patience: seconds that the caller waits; ``None`` if it did not say.
    :ivar parts: of the prompt, in order; the last is the request's own.
    :ivar prompt_tokens: of the whole prompt.
    :ivar output_tokens: most that the caller takes.
    :ivar last_event: id of the last event that the caller has, if it resumes.
    :ivar organisation: that holds the caller's API key; empty if none is asked for.
    :ivar fingerprint: names what is asked; see :func:`fingerprint_of`.
    """

    request_id: str
    http: HttpRequest
    host: str
    path: str
    arrived_at: float
    patience: float | None
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event: bytes | None = None
    organisation: str = ""
    fingerprint: str = ""


def fingerprint_of(request: HttpRequest, host: str, organisation: str = "") -> str:
    """
    Name what is asked: the same whenever the same thing is asked again.

    :param host: that the caller named, without a port.
    :param organisation: that asks.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    asked = (request.method, host.encode(), request.path, organisation.encode())
    for part in asked:
        # None of them holds a zero byte, so that they do not run into each other.
        digest.update(part + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


class Sending(NamedTuple):
    """
    One request to one target.

    :ivar time_left: seconds that the target may take.
    :ivar priority: 0 is the most urgent; ``None`` leaves it to the target.
    :ivar is_prefill: only the prompt is to be read, for another engine.
    :ivar cache_source: a read prompt to fetch, as the dialect names it.
    :ivar copy_from: address of an engine that probably holds parts of the prompt.
    :ivar last_event: the answer is to go on after this event.
    """

    target_id: str
    time_left: float | None
    priority: int | None = None
    is_prefill: bool = False
    cache_source: str = ""
    copy_from: str = ""
    last_event: bytes | None = None


class PrefilledPrompt(NamedTuple):
    """
    A prompt whose KV cache waits at the engine that read it.

    :ivar handle: names it there.
    """

    handle: str
    tokens: int


class Verdict(enum.Enum):
    """What an answer says of the request."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    OTHER_INSTANCE = "other_instance"


class Dialect(Protocol):
    """Reads and writes a deployment's headers and bodies."""

    def request_id(self, request: HttpRequest) -> str:
        """Read the id of a caller's request; empty if it has none."""

    def read_request(
        self, request: HttpRequest, now: float
    ) -> Result[CallerRequest, InvalidRequest]:
        """Read what the system needs to know of a caller's request."""

    def sending(self, request: CallerRequest, sending: Sending) -> HttpRequest:
        """Write a request for a target."""

    def belongs(self, request: CallerRequest, head: ReplyHead) -> bool:
        """Tell whether an answer belongs to a request."""

    def verdict(self, head: ReplyHead) -> Verdict:
        """Tell what an answer says of the request."""

    def is_signed(self, head: ReplyHead) -> bool:
        """Tell whether a target vouches for an answer."""

    def read_prompt(self, reply: HttpReply) -> Result[PrefilledPrompt, ReplyInvalid]:
        """Read the answer to a reading."""

    def cache_source(self, address: str, prompt: PrefilledPrompt) -> str:
        """Name a KV cache for the engine that is to fetch it."""

    def drop_cache(self, address: str, prompt: PrefilledPrompt) -> HttpRequest:
        """Write the request that frees a KV cache which nobody will fetch."""

    def ask_parts(self, estimate: TargetEstimate) -> HttpRequest:
        """Write the question what an engine's memory holds."""

    def read_parts(
        self, reply: HttpReply
    ) -> Result[tuple[PromptPart, ...], ReplyInvalid]:
        """Read what an engine's memory holds, the least recently used first."""

    def ask_report(self, estimate: TargetEstimate) -> HttpRequest:
        """Write the request for an engine's report."""

    def read_report(self, reply: HttpReply) -> Result[EngineReport, ReplyInvalid]:
        """Read an engine's report."""

    def change_role(
        self,
        estimate: TargetEstimate,
        report: EngineReport,
        role: EngineRole,
        holder: str,
        fence: int,
    ) -> HttpRequest:
        """
        Write the order that changes an engine's role.

        The engine refuses it if it has accepted another order since its report.
        """

    def order_outcome(self, reply: HttpReply) -> Result[None, OrderRefused]:
        """Read the answer to an order."""
