"""Headers and bodies that the platform's callers, gateways and targets exchange."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from pimentolink.dialect import (
    CallerRequest,
    PrefilledPrompt,
    PromptPart,
    ReplyMatch,
    SendOptions,
    Verdict,
)
from pimentolink.errors import InvalidRequest, OrderRefused, ReplyInvalid
from pimentolink.httptypes import (
    Headers,
    HttpReply,
    HttpRequest,
    ReplyHead,
    end_to_end,
    header_value,
)
from pimentolink.jsondocument import read_json
from pimentolink.targetestimate import EngineReport, EngineRole, TargetEstimate

REQUEST_ID = b"Pimentolink-Request-Id"
DEADLINE = b"Pimentolink-Deadline-Ms"
PROMPT_PARTS = b"Pimentolink-Prompt-Prefix"
TOKEN_COUNTS = b"Pimentolink-Token-Counts"
SIGNATURE = b"Pimentolink-Response-Signature"
EXPECT_INSTANCE = b"Pimentolink-Expect-Instance"
NOT_EXECUTED = b"Pimentolink-Not-Executed"
PRIORITY = b"Pimentolink-Request-Priority"
STAGE = b"Pimentolink-Stage"
KV_SOURCE = b"Pimentolink-Kv-Source"
KV_FETCH = b"Kv-Fetch"
LAST_EVENT = b"Last-Event-Id"
# Name of the organisation that a request belongs to.
ORGANISATION = b"Pimentolink-Tenant"

# Headers that only the system sets; those that a caller sends are dropped.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        EXPECT_INSTANCE,
        NOT_EXECUTED,
        PRIORITY,
        STAGE,
        KV_SOURCE,
        KV_FETCH,
        LAST_EVENT,
        ORGANISATION,
        b"Pimentolink-Expect-Version",
        b"Pimentolink-Pin-Ms",
        b"Pimentolink-Kv-Hold",
        b"Pimentolink-Kv-Backup",
    )
)
MISDIRECTED = 421
# Seconds by which the deadline given to a target is shortened. The target measures its
# deadline from the arrival of the request, so this is left for the reply to return.
RETURN_TRANSMISSION_TIME = 0.01
# Largest number of tokens of a prompt or a response; a request with more is malformed,
# since the largest engine's cache holds under a million.
MAX_TOKENS = 1_000_000_000
# Longest timeout that a caller may state, in seconds.
MAX_CALLER_TIMEOUT = 1_000_000.0
# Bits of a prompt part's id; messages between gateways carry ids of this size.
PART_ID_BITS = 64

_INTEGER_PATTERN = re.compile(r"[0-9]{1,10}")
_DECIMAL_PATTERN = re.compile(r"[0-9]{1,10}(\.[0-9]{1,9})?")
_HEXADECIMAL_PATTERN = re.compile(r"[0-9A-Fa-f]{1,200}")

_TokenCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
# Characters that are allowed in a header value as well as in one segment of a path.
_CacheHandle = Annotated[str, msgspec.Meta(pattern=r"^[!$&-.0-9:;=@-Z_a-z~]{1,200}\Z")]


class _PrefillReply(msgspec.Struct, rename="camel"):
    """Reply to a prefill; ``kv_handle`` names the KV cache at that engine."""

    kv_handle: _CacheHandle
    tokens: _TokenCount = 0


def read_request(
    request: HttpRequest, now: float
) -> Result[CallerRequest, InvalidRequest]:
    """
    Parse the headers of a caller's request.

    :param request: as received.
    :param now: time of its arrival, in seconds of the timer service.
    """
    request_id = request.header(REQUEST_ID.lower())
    if not request_id:
        return Err(InvalidRequest(f"no {REQUEST_ID.decode()}"))
    try:
        caller_timeout = _parse_caller_timeout(request.header(DEADLINE.lower()))
        parts = _parse_parts(request.header(PROMPT_PARTS.lower()))
        prompt_tokens, output_tokens = _parse_token_counts(
            request.header(TOKEN_COUNTS.lower())
        )
    except ValueError as error:
        return Err(InvalidRequest(f"a header that cannot be read: {error}"))
    host_header = (header_value(request.headers, b"host") or b"").decode("latin-1")
    host = host_header.partition(":")[0]
    return Ok(
        CallerRequest(
            request_id=request_id.decode("latin-1"),
            http=request,
            host=host,
            path=request.path.decode("latin-1"),
            arrived_at=now,
            caller_timeout=caller_timeout,
            parts=parts,
            prompt_tokens=prompt_tokens or sum(part.tokens for part in parts),
            output_tokens=output_tokens,
            last_event=request.header(LAST_EVENT.lower()),
        )
    )


def _parse_caller_timeout(value: bytes | None) -> float | None:
    """Parse a caller's timeout from milliseconds to seconds."""
    if value is None:
        return None
    text = value.decode("latin-1").strip()
    if _DECIMAL_PATTERN.fullmatch(text) is None:
        raise ValueError(f"{text[:40]!r} is no time in milliseconds")
    caller_timeout = float(text) / 1000
    if caller_timeout >= MAX_CALLER_TIMEOUT:
        raise ValueError(f"{text[:40]!r} is over {MAX_CALLER_TIMEOUT:g} s")
    return caller_timeout


def _parse_token_count(text: str) -> int:
    if _INTEGER_PATTERN.fullmatch(text) is None or int(text) > MAX_TOKENS:
        raise ValueError(f"{text[:40]!r} is no number of tokens")
    return int(text)


def _parse_part_id(text: str) -> int:
    """Parse a prompt part's name; its lowest bits are its id."""
    if _HEXADECIMAL_PATTERN.fullmatch(text) is None:
        raise ValueError(f"{text[:40]!r} names no part of a prompt")
    return int(text, 16) % 2**PART_ID_BITS


def _parse_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for entry in value.decode("latin-1").split(","):
        name, _, tokens = entry.strip().partition(":")
        parts.append(PromptPart(_parse_part_id(name), _parse_token_count(tokens)))
    return tuple(parts)


def _parse_token_counts(value: bytes | None) -> tuple[int, int]:
    if not value:
        return 0, 0
    prompt, _, output = value.decode("latin-1").partition(",")
    return _parse_token_count(prompt.strip()), _parse_token_count(output.strip() or "0")


_PHASES_BY_ROLE = {EngineRole.PREFILL: "prefill", EngineRole.DECODE: "decode"}
_ROLES_BY_PHASE = {phase: role for role, phase in _PHASES_BY_ROLE.items()}


class _ReportDocument(msgspec.Struct, rename="camel"):
    """
    An engine's report of its state.

    :ivar phase: its role.
    :ivar busy: whether it is carrying out an order.
    :ivar sequence: number of orders that it has accepted since it started.
    :ivar born: when it started, in Unix milliseconds.
    """

    phase: str = ""
    busy: bool = False
    sequence: int = 0
    born: int = 0


class _CacheContents(msgspec.Struct):
    """Prompt parts in an engine's cache: an empty string, id, tokens and model each."""

    held: list[tuple[str, str, _TokenCount, str]]


class _OrderDocument(msgspec.Struct, rename="camel"):
    """
    An order that changes an engine's role.

    :ivar holder: instance and incarnation of the leading gateway.
    :ivar expected: number of orders that the engine has accepted before this one.
    """

    op: str
    phase: str
    holder: str
    fencing_token: int
    expected: int


class PlatformDialect:
    """Builds requests to the platform's targets and parses their replies."""

    def request_id(self, request: HttpRequest) -> str:
        """Return the id of a caller's request; empty if it has none."""
        return (request.header(REQUEST_ID.lower()) or b"").decode("latin-1")

    def read_request(
        self, request: HttpRequest, now: float
    ) -> Result[CallerRequest, InvalidRequest]:
        """Parse the headers of a caller's request."""
        return read_request(request, now)

    def target_request(
        self, request: CallerRequest, options: SendOptions
    ) -> HttpRequest:
        """Build the request that is sent to a target."""
        forwarded_headers = [
            item
            for item in end_to_end(request.http.headers)
            if item[0].lower() not in SYSTEM_HEADERS
        ]
        system_headers: list[tuple[bytes, bytes]] = [
            (EXPECT_INSTANCE, options.target_id.encode())
        ]
        if request.organisation:
            system_headers.append((ORGANISATION, request.organisation.encode()))
        if options.time_left is not None:
            milliseconds = max(
                1, int((options.time_left - RETURN_TRANSMISSION_TIME) * 1000)
            )
            system_headers.append((DEADLINE, str(milliseconds).encode()))
        if options.priority is not None:
            system_headers.append((PRIORITY, str(options.priority).encode()))
        if options.is_prefill:
            system_headers.append((STAGE, b"prefill"))
        if options.cache_source:
            system_headers.append((KV_SOURCE, options.cache_source.encode()))
        if options.copy_from:
            system_headers.append((KV_FETCH, options.copy_from.encode()))
        if options.last_event is not None:
            system_headers.append((LAST_EVENT, options.last_event))
        return request.http._replace(headers=(*forwarded_headers, *system_headers))

    def match_reply(self, request: CallerRequest, head: ReplyHead) -> ReplyMatch:
        """Compare the request that a reply names with the one that was sent."""
        reply_request_id = head.header(REQUEST_ID.lower())
        if reply_request_id is None:
            # Only replies that the engine itself gives without running the request may
            # lack the id; such replies are not signed.
            is_signed = head.header(SIGNATURE.lower()) is not None
            return ReplyMatch.OTHER if is_signed else ReplyMatch.UNNAMED
        is_own = reply_request_id.decode("latin-1") == request.request_id
        return ReplyMatch.OWN if is_own else ReplyMatch.OTHER

    def verdict(self, head: ReplyHead) -> Verdict:
        """Classify the outcome of a request by the head of its reply."""
        if head.status == MISDIRECTED:
            return Verdict.OTHER_INSTANCE
        if head.header(NOT_EXECUTED.lower()) is not None:
            return Verdict.NOT_RUN
        if 200 <= head.status < 300:
            return Verdict.SUCCESS
        return Verdict.FAILURE

    def is_signed(self, head: ReplyHead) -> bool:
        """Return whether a reply carries its target's signature and is not encoded."""
        is_encoded = head.header(b"content-encoding") is not None
        return head.header(SIGNATURE.lower()) is not None and not is_encoded

    def read_prefill_reply(
        self, reply: HttpReply
    ) -> Result[PrefilledPrompt, ReplyInvalid]:
        """Parse the reply to a prefill."""
        parsed = read_json(reply.body, _PrefillReply)
        if isinstance(parsed, Err):
            return Err(ReplyInvalid(f"a reading's answer: {parsed.err_value.detail}"))
        prefill = parsed.ok_value
        return Ok(PrefilledPrompt(prefill.kv_handle, prefill.tokens))

    def cache_source(self, address: str, prompt: PrefilledPrompt) -> str:
        """Return the location from which another engine can fetch a KV cache."""
        return f"{address}/{prompt.handle}"

    def release_cache_request(
        self, address: str, prompt: PrefilledPrompt
    ) -> HttpRequest:
        """Build the request that releases a KV cache that no engine will fetch."""
        path = f"/kv-handle/{prompt.handle}".encode()
        return HttpRequest(b"DELETE", path, ((b"Host", address.encode()),))

    def cache_contents_request(self, estimate: TargetEstimate) -> HttpRequest:
        """Build the request for the contents of an engine's prefix cache."""
        return HttpRequest(b"GET", b"/kv-list", _target_headers(estimate))

    def read_cache_contents(
        self, reply: HttpReply
    ) -> Result[tuple[PromptPart, ...], ReplyInvalid]:
        """Parse the contents of an engine's prefix cache."""
        parsed = read_json(reply.body, _CacheContents)
        if isinstance(parsed, Err):
            return Err(ReplyInvalid(f"a list of parts: {parsed.err_value.detail}"))
        try:
            parts = tuple(
                PromptPart(_parse_part_id(name), tokens)
                for _, name, tokens, _ in parsed.ok_value.held
            )
        except ValueError as error:
            return Err(ReplyInvalid(f"a list of parts: {error}"))
        return Ok(parts)

    def report_request(self, estimate: TargetEstimate) -> HttpRequest:
        """Build the request for an engine's report."""
        return HttpRequest(b"GET", b"/report", _target_headers(estimate))

    def read_report(self, reply: HttpReply) -> Result[EngineReport, ReplyInvalid]:
        """Parse an engine's report."""
        parsed = read_json(reply.body, _ReportDocument)
        if isinstance(parsed, Err):
            return Err(ReplyInvalid(f"a report: {parsed.err_value.detail}"))
        report = parsed.ok_value
        role = _ROLES_BY_PHASE.get(report.phase, EngineRole.NONE)
        return Ok(EngineReport(role, report.busy, report.sequence, report.born))

    def role_change_request(
        self,
        estimate: TargetEstimate,
        report: EngineReport,
        role: EngineRole,
        holder: str,
        fence: int,
    ) -> HttpRequest:
        """Build the order that changes an engine's role."""
        order = _OrderDocument(
            "phase", _PHASES_BY_ROLE[role], holder, fence, report.orders_accepted
        )
        headers = (*_target_headers(estimate), (b"Content-Type", b"application/json"))
        return HttpRequest(b"POST", b"/order", headers, msgspec.json.encode(order))

    def read_order_reply(self, reply: HttpReply) -> Result[None, OrderRefused]:
        """Parse the reply to an order."""
        if reply.head.status in (200, 202):
            return Ok(None)
        return Err(OrderRefused(f"status {reply.head.status}"))


def _target_headers(estimate: TargetEstimate) -> Headers:
    target = estimate.target
    return (
        (b"Host", target.address.encode()),
        (EXPECT_INSTANCE, target.target_id.encode()),
    )
