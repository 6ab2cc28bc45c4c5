"""Calls to the target beside a sidecar."""

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
from twisted.web.iweb import IResponse

from pimentolink.errors import (
    CrossedAnswer,
    Failure,
    NotRun,
    TargetFailed,
    TargetRejected,
)
from pimentolink.httpclient import Answer, HttpClient

REQUEST_ID_HEADER = "x-request-id"
CONNECT_TIMEOUT = 2.0
PROBE_PATH = "/health"
EXPORT_PATH = "/cache/export"
IMPORT_PATH = "/cache/import"
IMPORT_PATIENCE = 2.0
STREAM_PREFIX = b"data: "
STREAM_END = b"[DONE]"


class TargetCall(NamedTuple):
    """
    One call to a target.

    :ivar attempt: unique for each call; the target's answer names it.
    :ivar resume_tokens: tokens of the answer that the caller has already.
    :ivar prefill_only: whether to answer one token and export the KV cache; it comes
        as the answer's body.
    :ivar cache: KV cache to import first, or nothing.
    :ivar is_repeatable: whether doing it again does no harm.
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
    """Told what comes of a call; exactly one of the last two is called, once."""

    def tokens(self, tokens: list[str]) -> None:
        """Take tokens of a model's answer."""

    def finished(self, answer: Answer, finish_reason: str) -> None:
        """Take the end of a whole answer; its body is empty for a model's."""

    def failed(self, failure: Failure) -> None:
        """Take a failure; ``failure.ran`` tells whether the call may have run."""


class RunningCall(Protocol):
    """A call under way."""

    def cancel(self) -> None:
        """Give the call up; its listener is told nothing more."""

    def pause(self, paused: bool) -> None:
        """Stop or restart reading the answer."""


class Target(Protocol):
    """What a sidecar needs of its target."""

    def start_stream(self, call: TargetCall, listener: CallListener) -> RunningCall:
        """Start a model's call."""

    def start_plain(self, call: TargetCall, listener: CallListener) -> RunningCall:
        """Start a plain service's call."""

    def probe(self, patience: float) -> Deferred[None]:
        """
        Find out whether the target answers at all.

        :param patience: seconds to wait.
        :raises Exception: without an answer.
        """


class _Choice(msgspec.Struct):
    """One choice of a streamed answer; ``text`` or ``delta`` holds the token."""

    text: str = ""
    delta: dict[str, str] = {}
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    """
    One event of a streamed answer.

    :source: OpenAI completions API, streamed; ``request_id`` is the engine's echo.
    """

    choices: list[_Choice]
    request_id: str = ""


_chunk_decoder = msgspec.json.Decoder(_Chunk)


class _StreamReader(LineOnlyReceiver):
    """Reads the server-sent events of one answer."""

    delimiter = b"\n"
    MAX_LENGTH = 1_000_000
    transport: Any

    def __init__(self, call: _HttpCall) -> None:
        self._call = call

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if line.startswith(STREAM_PREFIX):
            self._call.event_received(line[len(STREAM_PREFIX) :].strip())

    def connectionLost(  # noqa: N802
        self, reason: TwistedFailure = connectionDone
    ) -> None:
        self._call.stream_ended(reason.check(ResponseDone) is not None)

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
    """A call over HTTP; tells its listener the outcome once."""

    def __init__(
        self, target: HttpTarget, call: TargetCall, listener: CallListener
    ) -> None:
        self._target = target
        self._call = call
        self._listener: CallListener | None = listener
        self._reader: _StreamReader | None = None
        self._finish_reason = ""
        self._is_whole = False
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
        self._reader = _StreamReader(self)
        _deliver(response, self._reader)

    def event_received(self, data: bytes) -> None:
        if self._listener is None or self._is_whole:
            return
        if data == STREAM_END:
            self._is_whole = True
            return
        try:
            chunk = _chunk_decoder.decode(data)
        except msgspec.DecodeError as error:
            self._abort(TargetFailed(f"unreadable event: {error}"))
            return
        if chunk.request_id not in ("", self._call.attempt):
            self._abort(CrossedAnswer(f"for {chunk.request_id}"))
            return
        self._take(chunk)

    def _take(self, chunk: _Chunk) -> None:
        tokens = []
        for choice in chunk.choices:
            token = choice.text or choice.delta.get("content", "")
            if token:
                tokens.append(token)
            self._finish_reason = choice.finish_reason or self._finish_reason
        if tokens and self._listener is not None:
            self._listener.tokens(tokens)

    def stream_ended(self, was_whole: bool) -> None:
        if not (self._is_whole and was_whole):
            self.fail(TargetFailed("the answer broke off"))
        elif self._call.prefill_only:
            self._reader = None
            self.pending = Deferred.fromCoroutine(self._export())
        else:
            self.finish(Answer(200, {}, b""))

    async def _export(self) -> None:
        """Fetch the KV cache; without it the next engine reads the prompt again."""
        try:
            answer = await self._target.ask("POST", EXPORT_PATH, self._call.body)
            cache = answer.body if answer.status == 200 else b""
        except CancelledError:
            return
        except Exception:
            cache = b""
        self.finish(Answer(200, {}, cache))

    def finish(self, answer: Answer) -> None:
        echo = answer.headers.get(REQUEST_ID_HEADER, self._call.attempt)
        if echo != self._call.attempt:
            self.fail(CrossedAnswer(f"for {echo}"))
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
    """The target over HTTP."""

    def __init__(self, reactor: Any, address: str, timeout: float) -> None:
        """
        Prepare calls.

        :param reactor: the loop.
        :param address: where the target listens.
        :param timeout: seconds until a plain call counts as unanswered.
        """
        self._client = HttpClient(reactor, CONNECT_TIMEOUT)
        self._single_client = HttpClient(reactor, CONNECT_TIMEOUT, is_persistent=False)
        self._address = address
        self._timeout = timeout

    def start_stream(self, call: TargetCall, listener: CallListener) -> RunningCall:
        """Start a model's call."""
        running = _HttpCall(self, call, listener)
        running.pending = Deferred.fromCoroutine(self._stream(running, call))
        return running

    def start_plain(self, call: TargetCall, listener: CallListener) -> RunningCall:
        """Start a plain service's call."""
        running = _HttpCall(self, call, listener)
        client = self._client if call.is_repeatable else self._single_client
        running.pending = client.request(
            call.method,
            self._url(call.path),
            call.body,
            _headers(call),
            patience=self._timeout,
        )
        Deferred.fromCoroutine(_follow_plain(running, running.pending))
        return running

    async def _stream(self, running: _HttpCall, call: TargetCall) -> None:
        if call.cache:
            await self._import(call.cache)
        body = _engine_body(call)
        url = self._url(call.path)
        pending = self._client.open(call.method, url, body, _headers(call))
        await _follow_stream(running, pending)

    async def _import(self, cache: bytes) -> None:
        try:
            await self.ask("POST", IMPORT_PATH, cache, IMPORT_PATIENCE)
        except CancelledError:
            raise
        except Exception:
            # The engine reads the prompt itself then: later, but as right.
            return

    def probe(self, patience: float) -> Deferred[None]:
        """Find out whether the target answers at all."""
        return self.ask("GET", PROBE_PATH, patience=patience).addCallback(_ignore)

    def ask(
        self, method: str, path: str, body: bytes = b"", patience: float = 2.0
    ) -> Deferred[Answer]:
        """Make a call of the sidecar's own."""
        return self._client.request(
            method, self._url(path), body, _json_headers(body), patience
        )

    def close(self) -> Deferred[None]:
        """Close idle connections."""
        return self._client.close()

    def _url(self, path: str) -> str:
        return f"http://{self._address}{path}"


async def _follow_stream(running: _HttpCall, pending: Deferred[IResponse]) -> None:
    try:
        response = await pending
    except CancelledError:
        return
    except Exception as error:
        running.fail(_failure_of(error))
        return
    running.pending = None
    if response.code != 200:
        running.fail(_failure_of_status(response.code))
        _deliver(response, _StreamReader(running))
        return
    running.stream_opened(response)


async def _follow_plain(running: _HttpCall, pending: Deferred[Answer]) -> None:
    try:
        answer = await pending
    except CancelledError:
        return
    except Exception as error:
        running.fail(_failure_of(error))
        return
    running.finish(answer)


def _deliver(response: Any, reader: _StreamReader) -> None:
    response.deliverBody(reader)


def _failure_of_status(status: int) -> Failure:
    detail = f"the engine answered {status}"
    if status in (429, 503):
        return NotRun(detail)
    if 400 <= status < 500:
        return TargetRejected(detail)
    return TargetFailed(detail)


def _failure_of(error: Exception) -> Failure:
    detail = f"{type(error).__name__}: {error}"
    if isinstance(error, ConnectError):
        return NotRun(detail)
    return TargetFailed(detail)


def _ignore(_: Answer) -> None:
    """Turn any answer into none."""


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
