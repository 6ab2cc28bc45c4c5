"""Interface to a deployment's wire format, independent of its header names."""

from __future__ import annotations

import enum
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple, Protocol

from result import Result

from pimentolink.errors import InvalidRequest, OrderRefused, ReplyInvalid
from pimentolink.httptypes import HttpReply, HttpRequest, ReplyHead

if TYPE_CHECKING:
    from pimentolink.targetestimate import EngineReport, EngineRole, TargetEstimate


# Size of a fingerprint in bytes; long enough that nobody can construct a request with
# the fingerprint of another one.
FINGERPRINT_BYTES = 16


class PromptPart(NamedTuple):
    """A part of a prompt, which other prompts may have in common with it."""

    part_id: int
    tokens: int


class CallerRequest(NamedTuple):
    """
    A caller's request.

    :ivar request_id: id of this attempt by the caller.
    :ivar http: the HTTP request as received.
    :ivar host: host that the caller named, without a port.
    :ivar path: path with the query.
    :ivar arrived_at: time of arrival in seconds of the timer service.
    :ivar caller_timeout: seconds that the caller waits; ``None`` if it did not say.
    :ivar parts: parts of the prompt in order; the last one is specific to the request.
    :ivar prompt_tokens: length of the whole prompt in tokens.
    :ivar output_tokens: maximum length of the response in tokens.
    :ivar last_event: id of the last event that the caller received, if it resumes a
        stream.
    :ivar organisation: owner of the caller's API key; empty if no key is required.
    :ivar fingerprint: digest of the request's content; see :func:`fingerprint_of`.
    :ivar traits: what other requests may have in common with it; see
        :func:`pimentolink.traits.traits_of`.
    """

    request_id: str
    http: HttpRequest
    host: str
    path: str
    arrived_at: float
    caller_timeout: float | None
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event: bytes | None = None
    organisation: str = ""
    fingerprint: str = ""
    traits: tuple[str, ...] = ()


def fingerprint_of(request: HttpRequest, host: str, organisation: str = "") -> str:
    """
    Return a digest of a request, equal for requests with the same content.

    :param host: host that the caller named, without a port.
    :param organisation: organisation that sends the request.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    identity_fields = (
        request.method,
        host.encode(),
        request.path,
        organisation.encode(),
    )
    for part in identity_fields:
        # No field contains a zero byte, so the separator keeps the fields distinct.
        digest.update(part + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


class SendOptions(NamedTuple):
    """
    Options of a request to one target.

    :ivar time_left: seconds that the target may take.
    :ivar priority: 0 is the most urgent; ``None`` leaves it to the target.
    :ivar is_prefill: whether the engine should only prefill the prompt, for another
        engine to decode.
    :ivar cache_source: KV cache of a prefilled prompt to fetch, as named by
        :meth:`Dialect.cache_source`; empty for none.
    :ivar copy_from: address of an engine that probably holds parts of the prompt in its
        cache; empty for none.
    :ivar last_event: id of the event after which a resumed stream continues.
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
    A prompt whose KV cache is held at the engine that prefilled it.

    :ivar handle: identifier of the KV cache at that engine.
    :ivar tokens: length in tokens.
    """

    handle: str
    tokens: int


class Verdict(enum.Enum):
    """Outcome of a request according to a target's response."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    OTHER_INSTANCE = "other_instance"


class ReplyMatch(enum.Enum):
    """Which request a response names as its own."""

    OWN = "own"
    UNNAMED = "unnamed"
    OTHER = "other"


class Dialect(Protocol):
    """Parses and builds the headers and bodies of a deployment's wire format."""

    def request_id(self, request: HttpRequest) -> str:
        """Return the id of a caller's request; empty if it has none."""

    def read_request(
        self, request: HttpRequest, now: float
    ) -> Result[CallerRequest, InvalidRequest]:
        """Parse a caller's request."""

    def target_request(
        self, request: CallerRequest, options: SendOptions
    ) -> HttpRequest:
        """Build the request to a target."""

    def match_reply(self, request: CallerRequest, head: ReplyHead) -> ReplyMatch:
        """Compare the request that a response names with the one that was sent."""

    def verdict(self, head: ReplyHead) -> Verdict:
        """Return the outcome that a response reports."""

    def is_signed(self, head: ReplyHead) -> bool:
        """Return whether a target vouches for a response by its signature."""

    def read_prefill_reply(
        self, reply: HttpReply
    ) -> Result[PrefilledPrompt, ReplyInvalid]:
        """Parse the response to a prefill request."""

    def cache_source(self, address: str, prompt: PrefilledPrompt) -> str:
        """Return the reference to a KV cache for the engine that is to fetch it."""

    def release_cache_request(
        self, address: str, prompt: PrefilledPrompt
    ) -> HttpRequest:
        """Build the request that frees a KV cache that no engine will fetch."""

    def cache_contents_request(self, estimate: TargetEstimate) -> HttpRequest:
        """Build the request for the contents of an engine's prefix cache."""

    def read_cache_contents(
        self, reply: HttpReply
    ) -> Result[tuple[PromptPart, ...], ReplyInvalid]:
        """Parse the contents of a prefix cache, least recently used part first."""

    def report_request(self, estimate: TargetEstimate) -> HttpRequest:
        """Build the request for an engine's report of its state."""

    def read_report(self, reply: HttpReply) -> Result[EngineReport, ReplyInvalid]:
        """Parse an engine's report."""

    def role_change_request(
        self,
        estimate: TargetEstimate,
        report: EngineReport,
        role: EngineRole,
        holder: str,
        fence: int,
    ) -> HttpRequest:
        """
        Build the order to change an engine's role.

        The engine rejects it if it has accepted another order since its report.

        :param holder: name of the gateway that holds the lease to give orders.
        :param fence: fencing token of that lease.
        """

    def read_order_reply(self, reply: HttpReply) -> Result[None, OrderRefused]:
        """Parse the response to an order."""
