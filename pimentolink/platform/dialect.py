"""The headers and bodies that callers, gateways and targets exchange here."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from pimentolink.dialect import (
    CallerRequest,
    PrefilledPrompt,
    PromptPart,
    Sending,
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
# Names the organisation that a request belongs to.
ORGANISATION = b"Pimentolink-Tenant"

# Headers that the system sets; a caller's own are dropped.
OWN_HEADERS = frozenset(
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
# A target counts the time that it is handed from the request's arrival there; this is
# left for the answer's way back, in seconds.
ANSWER_WAY = 0.01
# Tokens of a prompt or an answer beyond which a request is taken for malformed; the
# largest engine holds under a million.
MAX_TOKENS = 1_000_000_000
# Longest time that a caller may say it waits, in seconds.
MAX_PATIENCE = 1_000_000.0
# Bits by which parts are told apart; gateways tell each other numbers of this size.
PART_BITS = 64

_WHOLE = re.compile(r"[0-9]{1,10}")
_DECIMAL = re.compile(r"[0-9]{1,10}(\.[0-9]{1,9})?")
_HEXADECIMAL = re.compile(r"[0-9A-Fa-f]{1,200}")

_Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
# What fits into a header and a path as one word.
_Handle = Annotated[str, msgspec.Meta(pattern=r"^[!$&-.0-9:;=@-Z_a-z~]{1,200}\Z")]


class _ReadAnswer(msgspec.Struct, rename="camel"):
    """Answer to a reading: ``kv_handle`` names the KV cache at that engine."""

    kv_handle: _Handle
    tokens: _Tokens = 0


def read_request(
    request: HttpRequest, now: float
) -> Result[CallerRequest, InvalidRequest]:
    """
    Read what the system needs to know of a caller's request.

    :param request: as it came.
    :param now: seconds of the timer service.
    """
    request_id = request.header(REQUEST_ID.lower())
    if not request_id:
        return Err(InvalidRequest(f"no {REQUEST_ID.decode()}"))
    try:
        patience = _read_patience(request.header(DEADLINE.lower()))
        parts = _read_parts(request.header(PROMPT_PARTS.lower()))
        prompt_tokens, output_tokens = _read_counts(
            request.header(TOKEN_COUNTS.lower())
        )
    except ValueError as error:
        return Err(InvalidRequest(f"a header that cannot be read: {error}"))
    named = (header_value(request.headers, b"host") or b"").decode("latin-1")
    host = named.partition(":")[0]
    return Ok(
        CallerRequest(
            request_id=request_id.decode("latin-1"),
            http=request,
            host=host,
            path=request.path.decode("latin-1"),
            arrived_at=now,
            patience=patience,
            parts=parts,
            prompt_tokens=prompt_tokens or sum(part.tokens for part in parts),
            output_tokens=output_tokens,
            last_event=request.header(LAST_EVENT.lower()),
        )
    )


def _read_patience(value: bytes | None) -> float | None:
    """Read the milliseconds that a caller waits, as seconds."""
    if value is None:
        return None
    text = value.decode("latin-1").strip()
    if _DECIMAL.fullmatch(text) is None:
        raise ValueError(f"{text[:40]!r} is no time in milliseconds")
    patience = float(text) / 1000
    if patience >= MAX_PATIENCE:
        raise ValueError(f"{text[:40]!r} is over {MAX_PATIENCE:g} s")
    return patience


def _read_tokens(text: str) -> int:
    if _WHOLE.fullmatch(text) is None or int(text) > MAX_TOKENS:
        raise ValueError(f"{text[:40]!r} is no number of tokens")
    return int(text)


def _read_part_id(text: str) -> int:
    """Read a part's name, of which the last bits tell it from others."""
    if _HEXADECIMAL.fullmatch(text) is None:
        raise ValueError(f"{text[:40]!r} names no part of a prompt")
    return int(text, 16) % 2**PART_BITS


def _read_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for entry in value.decode("latin-1").split(","):
        name, _, tokens = entry.strip().partition(":")
        parts.append(PromptPart(_read_part_id(name), _read_tokens(tokens)))
    return tuple(parts)


def _read_counts(value: bytes | None) -> tuple[int, int]:
    if not value:
        return 0, 0
    prompt, _, output = value.decode("latin-1").partition(",")
    return _read_tokens(prompt.strip()), _read_tokens(output.strip() or "0")


_PHASES_BY_ROLE = {EngineRole.PREFILL: "prefill", EngineRole.DECODE: "decode"}
_ROLES_BY_PHASE = {phase: role for role, phase in _PHASES_BY_ROLE.items()}


class _Report(msgspec.Struct, rename="camel"):
    """
    An engine's report.

    :ivar phase: its role.
    :ivar busy: whether it carries out an order.
    :ivar sequence: number of orders that it has accepted since it started.
    :ivar born: when that was, in Unix milliseconds.
    """

    phase: str = ""
    busy: bool = False
    sequence: int = 0
    born: int = 0


class _HeldParts(msgspec.Struct):
    """Parts in an engine's memory, each as empty text, id, tokens and model."""

    held: list[tuple[str, str, _Tokens, str]]


class _Order(msgspec.Struct, rename="camel"):
    """
    An order that changes an engine's role.

    :ivar expected: orders that the engine has accepted before this one.
    """

    op: str
    phase: str
    holder: str
    fencing_token: int
    expected: int


class PlatformDialect:
    """How requests are put to this platform's targets and answers are read."""

    def request_id(self, request: HttpRequest) -> str:
        """Read the id of a caller's request; empty if it has none."""
        return (request.header(REQUEST_ID.lower()) or b"").decode("latin-1")

    def read_request(
        self, request: HttpRequest, now: float
    ) -> Result[CallerRequest, InvalidRequest]:
        """Read what the system needs to know of a caller's request."""
        return read_request(request, now)

    def sending(self, request: CallerRequest, sending: Sending) -> HttpRequest:
        """Write a request for a target."""
        kept = [
            item
            for item in end_to_end(request.http.headers)
            if item[0].lower() not in OWN_HEADERS
        ]
        own: list[tuple[bytes, bytes]] = [(EXPECT_INSTANCE, sending.target_id.encode())]
        if request.organisation:
            own.append((ORGANISATION, request.organisation.encode()))
        if sending.time_left is not None:
            milliseconds = max(1, int((sending.time_left - ANSWER_WAY) * 1000))
            own.append((DEADLINE, str(milliseconds).encode()))
        if sending.priority is not None:
            own.append((PRIORITY, str(sending.priority).encode()))
        if sending.is_prefill:
            own.append((STAGE, b"prefill"))
        if sending.cache_source:
            own.append((KV_SOURCE, sending.cache_source.encode()))
        if sending.copy_from:
            own.append((KV_FETCH, sending.copy_from.encode()))
        if sending.last_event is not None:
            own.append((LAST_EVENT, sending.last_event))
        return request.http._replace(headers=(*kept, *own))

    def belongs(self, request: CallerRequest, head: ReplyHead) -> bool:
        """Tell whether an answer belongs to a request."""
        named = head.header(REQUEST_ID.lower())
        if named is None:
            # Only answers of the engine itself, not of a request that it ran.
            return head.header(SIGNATURE.lower()) is None
        return named.decode("latin-1") == request.request_id

    def verdict(self, head: ReplyHead) -> Verdict:
        """Tell what an answer says of the request."""
        if head.status == MISDIRECTED:
            return Verdict.OTHER_INSTANCE
        if head.header(NOT_EXECUTED.lower()) is not None:
            return Verdict.NOT_RUN
        if 200 <= head.status < 300:
            return Verdict.SUCCESS
        return Verdict.FAILURE

    def is_signed(self, head: ReplyHead) -> bool:
        """Tell whether a target vouches for an answer."""
        is_encoded = head.header(b"content-encoding") is not None
        return head.header(SIGNATURE.lower()) is not None and not is_encoded

    def read_prompt(self, reply: HttpReply) -> Result[PrefilledPrompt, ReplyInvalid]:
        """Read the answer to a reading."""
        found = read_json(reply.body, _ReadAnswer)
        if isinstance(found, Err):
            return Err(ReplyInvalid(f"a reading's answer: {found.err_value.detail}"))
        answer = found.ok_value
        return Ok(PrefilledPrompt(answer.kv_handle, answer.tokens))

    def cache_source(self, address: str, prompt: PrefilledPrompt) -> str:
        """Name a KV cache for the engine that is to fetch it."""
        return f"{address}/{prompt.handle}"

    def drop_cache(self, address: str, prompt: PrefilledPrompt) -> HttpRequest:
        """Write the request that frees a KV cache which nobody will fetch."""
        path = f"/kv-handle/{prompt.handle}".encode()
        return HttpRequest(b"DELETE", path, ((b"Host", address.encode()),))

    def ask_parts(self, estimate: TargetEstimate) -> HttpRequest:
        """Write the question what an engine's memory holds."""
        return HttpRequest(b"GET", b"/kv-list", _own_headers(estimate))

    def read_parts(
        self, reply: HttpReply
    ) -> Result[tuple[PromptPart, ...], ReplyInvalid]:
        """Read what an engine's memory holds."""
        found = read_json(reply.body, _HeldParts)
        if isinstance(found, Err):
            return Err(ReplyInvalid(f"a list of parts: {found.err_value.detail}"))
        try:
            parts = tuple(
                PromptPart(_read_part_id(name), tokens)
                for _, name, tokens, _ in found.ok_value.held
            )
        except ValueError as error:
            return Err(ReplyInvalid(f"a list of parts: {error}"))
        return Ok(parts)

    def ask_report(self, estimate: TargetEstimate) -> HttpRequest:
        """Write the request for an engine's report."""
        return HttpRequest(b"GET", b"/report", _own_headers(estimate))

    def read_report(self, reply: HttpReply) -> Result[EngineReport, ReplyInvalid]:
        """Read an engine's report."""
        found = read_json(reply.body, _Report)
        if isinstance(found, Err):
            return Err(ReplyInvalid(f"a report: {found.err_value.detail}"))
        report = found.ok_value
        role = _ROLES_BY_PHASE.get(report.phase, EngineRole.NONE)
        return Ok(EngineReport(role, report.busy, report.sequence, report.born))

    def change_role(
        self,
        estimate: TargetEstimate,
        report: EngineReport,
        role: EngineRole,
        holder: str,
        fence: int,
    ) -> HttpRequest:
        """Write the order that changes an engine's role."""
        order = _Order(
            "phase", _PHASES_BY_ROLE[role], holder, fence, report.orders_accepted
        )
        headers = (*_own_headers(estimate), (b"Content-Type", b"application/json"))
        return HttpRequest(b"POST", b"/order", headers, msgspec.json.encode(order))

    def order_outcome(self, reply: HttpReply) -> Result[None, OrderRefused]:
        """Read the answer to an order."""
        if reply.head.status in (200, 202):
            return Ok(None)
        return Err(OrderRefused(f"status {reply.head.status}"))


def _own_headers(estimate: TargetEstimate) -> Headers:
    target = estimate.target
    return (
        (b"Host", target.address.encode()),
        (EXPECT_INSTANCE, target.target_id.encode()),
    )
