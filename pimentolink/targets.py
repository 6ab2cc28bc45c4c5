"""The client that a sidecar uses to call its target."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

import msgspec
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IResponse

from pimentolink.errors import (
    UNRUN_STATUSES,
    CrossedAnswer,
    Failure,
    NotRun,
    RejectionUnproven,
    TargetFailed,
    TargetRejected,
)
from pimentolink.httpclient import Answer, HttpClient

REQUEST_ID_HEADER = "x-request-id"
CONNECT_TIMEOUT = 2.0
PROBE_PATH = "/health"
EXPORT_PATH = "/cache/export"
IMPORT_PATH = "/cache/import"
IMPORT_TIMEOUT = 2.0
SSE_DATA_PREFIX = b"data: "
SSE_DONE = b"[DONE]"


class TargetCall(NamedTuple):
    """
    One call to a target.

    :ivar attempt: unique request identifier, which the target returns in its response.
    :ivar resume_tokens: tokens of the response that the caller already has.
    :ivar is_repeatable: whether the call may be made more than once.
    :ivar prefill_only: whether to generate only one token and export the KV cache,
        which is delivered as the body of the response.
    :ivar cache: KV cache to import before the call; empty if there is none.
    """

    attempt: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    priority: int
    resume_tokens: list[str]
    is_repeatable: bool
    prefill_only: bool = False
    cache: bytes = b""


class CallListener(Protocol):
    """
    Receives the events of a call.

    Either ``finished`` or ``failed`` is called, exactly once, unless the call was
    cancelled.
    """

    def tokens(self, tokens: list[str]) -> None:
        """Receive tokens of a model's response."""

    def finished(self, answer: Answer, finish_reason: str) -> None:
        """
        Receive a complete response.

        Its body is empty for a model's, whose tokens were delivered before, or the KV
        cache if the call was ``prefill_only``.
        """

    def failed(self, failure: Failure) -> None:
        """Receive a failure; ``failure.ran`` tells whether the call may have run."""


class RunningCall(Protocol):
    """A call in progress."""

    def cancel(self) -> None:
        """Cancel the call; its listener is not called any more."""

    def pause(self, paused: bool) -> None:
        """Pause or resume reading the response."""


class Target(Protocol):
    """The interface of a sidecar to its target."""

    def start_stream(self, call: TargetCall, listener: CallListener) -> RunningCall:
        """Start a call to a model, whose response is a stream of tokens."""

    def start_plain(self, call: TargetCall, listener: CallListener) -> RunningCall:
        """Start a call to a plain service, whose response is read as a whole."""

    def probe(self, patience: float) -> Deferred[None]:
        """
        Check that the target responds.

        :param patience: seconds to wait for the response.
        :raises Exception: if there is none.
        """


class _Choice(msgspec.Struct):
    """One choice of a streamed response; ``text`` or ``delta`` holds the token."""

    text: str = ""
    delta: dict[str, str] = {}
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    """
    One event of a streamed response.

    :ivar request_id: the request identifier, as returned by the engine.
    :source: OpenAI completions API, streaming mode, except ``request_id``.
    """

    choices: list[_Choice]
    request_id: str = ""


_chunk_decoder = msgspec.json.Decoder(_Chunk)


class _EventStreamReader(LineOnlyReceiver):
    """Parses the server-sent events of one response."""

    delimiter = b"\n"
    MAX_LENGTH = 1_000_000
    transport: Any

    def __init__(self, call: _HttpCall) -> None:
        self._call = call

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if line.startswith(SSE_DATA_PREFIX):
            self._call.event_received(line[len(SSE_DATA_PREFIX) :].strip())

    def connectionLost(  # noqa: N802
        self, reason: TwistedFailure = connectionDone
    ) -> None:
        # The last event shows that a body without a length or chunks is complete.
        is_ended = reason.check(ResponseDone, PotentialDataLoss) is not None
        self._call.stream_ended(is_ended)

    def pause(self, paused: bool) -> None:
        if self.transport is None:
            return
        if paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()


class _HttpCall:
    """A call over HTTP; reports the outcome to its listener once."""

    def __init__(
        self, target: HttpTarget, call: TargetCall, listener: CallListener
    ) -> None:
        self._target = target
        self._call = call
        self._listener: CallListener | None = listener
        self._reader: _EventStreamReader | None = None
        self._finish_reason = ""
        self._is_done = False
        self.pending: Deferred[Any] | None = None

    def cancel(self) -> None:
        self._listener = None
        if self._reader is not None:
            self._reader.abort()
        elif self.pending is not None:
            self.pending.cancel()

    def pause(self, paused: bool) -> None:
        if self._reader is not None:
            self._reader.pause(paused)

    def stream_opened(self, response: IResponse) -> None:
        self._reader = _EventStreamReader(self)
        _deliver_body(response, self._reader)

    def event_received(self, data: bytes) -> None:
        if self._listener is None or self._is_done:
            return
        if data == SSE_DONE:
            self._is_done = True
            return
        try:
            chunk = _chunk_decoder.decode(data)
        except msgspec.DecodeError as error:
            self._abort(TargetFailed(f"unreadable event: {error}"))
            return
        if chunk.request_id not in ("", self._call.attempt):
            self._abort(CrossedAnswer(f"for {chunk.request_id}"))
            return
        self._handle_chunk(chunk)

    def _handle_chunk(self, chunk: _Chunk) -> None:
        tokens = []
        for choice in chunk.choices:
            token = choice.text or choice.delta.get("content", "")
            if token:
                tokens.append(token)
            self._finish_reason = choice.finish_reason or self._finish_reason
        if tokens and self._listener is not None:
            self._listener.tokens(tokens)

    def stream_ended(self, is_body_ended: bool) -> None:
        if not (self._is_done and is_body_ended):
            self.fail(TargetFailed("the answer broke off"))
        elif self._call.prefill_only:
            self._reader = None
            self.pending = Deferred.fromCoroutine(self._export_cache())
        else:
            self.finish(Answer(200, {}, b""))

    async def _export_cache(self) -> None:
        """Export the KV cache; without it, the next engine repeats the prefill."""
        try:
            answer = await self._target.ask("POST", EXPORT_PATH, self._call.body)
            cache = answer.body if answer.status == 200 else b""
        except CancelledError:
            return
        except Exception:
            cache = b""
        self.finish(Answer(200, {}, cache))

    def finish(self, answer: Answer) -> None:
        echoed_id = answer.headers.get(REQUEST_ID_HEADER, self._call.attempt)
        if echoed_id != self._call.attempt:
            self.fail(CrossedAnswer(f"for {echoed_id}"))
            return
        if answer.status in UNRUN_STATUSES and not self._call.is_repeatable:
            self.fail(RejectionUnproven(f"the target answered {answer.status}"))
            return
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.finished(answer, self._finish_reason)

    def fail(self, failure: Failure) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.failed(failure)

    def _abort(self, failure: Failure) -> None:
        self.fail(failure)
        self.cancel()


class HttpTarget:
    """A target that is called over HTTP."""

    def __init__(self, reactor: Any, address: str, timeout: float) -> None:
        """
        Create a client; connections are opened when they are needed.

        :param reactor: the Twisted reactor.
        :param address: host and port of the target.
        :param timeout: seconds until a call to a plain service fails.
        """
        self._client = HttpClient(reactor, CONNECT_TIMEOUT)
        self._unpooled_client = HttpClient(
            reactor, CONNECT_TIMEOUT, is_persistent=False
        )
        self._address = address
        self._timeout = timeout

    def start_stream(self, call: TargetCall, listener: CallListener) -> RunningCall:
        """Start a call to a model, whose response is a stream of tokens."""
        running = _HttpCall(self, call, listener)
        running.pending = Deferred.fromCoroutine(self._stream(running, call))
        return running

    def start_plain(self, call: TargetCall, listener: CallListener) -> RunningCall:
        """Start a call to a plain service, whose response is read as a whole."""
        running = _HttpCall(self, call, listener)
        client = self._client if call.is_repeatable else self._unpooled_client
        running.pending = client.request(
            call.method,
            self._url(call.path),
            call.body,
            _headers(call),
            patience=self._timeout,
        )
        Deferred.fromCoroutine(_await_plain_response(running, running.pending))
        return running

    async def _stream(self, running: _HttpCall, call: TargetCall) -> None:
        if call.cache:
            await self._import_cache(call.cache)
        body = _engine_body(call)
        url = self._url(call.path)
        pending = self._client.open(call.method, url, body, _headers(call))
        await _await_stream_response(running, pending)

    async def _import_cache(self, cache: bytes) -> None:
        try:
            await self.ask("POST", IMPORT_PATH, cache, IMPORT_TIMEOUT)
        except CancelledError:
            raise
        except Exception:
            # The engine then does the prefill itself, which is slower but as correct.
            return

    def probe(self, patience: float) -> Deferred[None]:
        """Check that the target responds."""
        return self.ask("GET", PROBE_PATH, patience=patience).addCallback(
            _discard_answer
        )

    def ask(
        self, method: str, path: str, body: bytes = b"", patience: float = 2.0
    ) -> Deferred[Answer]:
        """
        Send a request of the sidecar itself, with a JSON body if any.

        :param patience: seconds until the request fails.
        """
        return self._client.request(
            method, self._url(path), body, _json_headers(body), patience
        )

    def close(self) -> Deferred[None]:
        """Close idle connections."""
        return self._client.close()

    def _url(self, path: str) -> str:
        return f"http://{self._address}{path}"


async def _await_stream_response(
    running: _HttpCall, pending: Deferred[IResponse]
) -> None:
    try:
        response = await pending
    except CancelledError:
        return
    except Exception as error:
        running.fail(_failure_from_error(error))
        return
    running.pending = None
    if response.code != 200:
        running.fail(_failure_from_status(response.code))
        _deliver_body(response, _EventStreamReader(running))
        return
    running.stream_opened(response)


async def _await_plain_response(running: _HttpCall, pending: Deferred[Answer]) -> None:
    try:
        answer = await pending
    except CancelledError:
        return
    except Exception as error:
        running.fail(_failure_from_error(error))
        return
    running.finish(answer)


def _deliver_body(response: Any, reader: _EventStreamReader) -> None:
    response.deliverBody(reader)


def _failure_from_status(status: int) -> Failure:
    detail = f"the engine answered {status}"
    if status in UNRUN_STATUSES:
        return RejectionUnproven(detail)
    if 400 <= status < 500:
        return TargetRejected(detail)
    return TargetFailed(detail)


def _failure_from_error(error: Exception) -> Failure:
    detail = f"{type(error).__name__}: {error}"
    if isinstance(error, ConnectError):
        return NotRun(detail)
    return TargetFailed(detail)


def _discard_answer(_: Answer) -> None:
    """Discard the result of a Deferred."""


def _headers(call: TargetCall) -> dict[str, str]:
    return {**call.headers, REQUEST_ID_HEADER: call.attempt}


def _json_headers(body: bytes) -> Mapping[str, str]:
    return {"content-type": "application/json"} if body else {}


def _engine_body(call: TargetCall) -> bytes:
    body = msgspec.json.decode(call.body)
    body["stream"] = True
    body["priority"] = call.priority
    if call.resume_tokens:
        body["resume_tokens"] = call.resume_tokens
    if call.prefill_only:
        body["max_tokens"] = len(call.resume_tokens) + 1
    return msgspec.json.encode(body)
