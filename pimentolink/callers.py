"""HTTP interface for callers and operators."""

from __future__ import annotations

import hmac
import math
from collections.abc import Callable
from typing import Any
from uuid import uuid4

import msgspec
from result import Err
from twisted.internet.interfaces import IPushProducer
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Request as WebRequest
from zope.interface import implementer

from pimentolink import completions, errors, link_pb2
from pimentolink.callersite import JSON
from pimentolink.configuration import Configuration
from pimentolink.entry import Entry
from pimentolink.request import Progress, Request
from pimentolink.settings import CallerLimits
from pimentolink.timers import Timers

SERVICES_PREFIX = "/services/"
TRACE_PREFIX = "/pimentolink/trace/"
STATUS_PATH = "/pimentolink/status"
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
FORWARDED_HEADERS = frozenset({"content-type", "accept"})


class CallerInterface(Resource):
    """Handles HTTP requests of callers and operators, for all paths."""

    isLeaf = True  # noqa: N815

    def __init__(
        self, entry: Entry, limits: CallerLimits, timers: Timers, shared_key: str
    ) -> None:
        """
        Set up the fixed paths.

        :param entry: dispatches requests.
        :param limits: limits on callers' requests.
        :param timers: the timer service.
        :param shared_key: bearer token of operators' tools.
        """
        super().__init__()
        self._entry = entry
        self._dispatcher = entry.dispatcher
        self._adoption = entry.adoption
        self._metrics = entry.metrics
        self._tracing = entry.tracing
        self._limits = limits
        self._timers = timers
        self._shared_key = shared_key.encode()
        self._handler_by_path: dict[str, Callable[[WebRequest], object]] = {
            "/healthz": lambda web: _send_response(web, 200, b"{}"),
            "/readyz": self._ready,
            "/metrics": lambda web: _send_response(
                web, 200, self._metrics.text(), b"text/plain; version=0.0.4"
            ),
            "/v1/models": self._models,
            STATUS_PATH: self._status,
        }

    def render(self, request: WebRequest) -> int:
        """Handle a request; the response may be sent later."""
        path = request.path.decode("latin-1")
        method = request.method.decode("latin-1")
        handler = self._handler_by_path.get(path)
        if handler is not None and method in ("GET", "HEAD"):
            handler(request)
        elif path.startswith(TRACE_PREFIX):
            self._trace(request)
        elif path in (completions.CHAT_PATH, completions.TEXT_PATH):
            self._complete(request, path, method)
        elif path.startswith(SERVICES_PREFIX):
            self._call_service(request, path, method)
        else:
            _send_error(request, errors.ServiceUnknown(f"nothing at {path}"))
        return NOT_DONE_YET

    def _ready(self, web: WebRequest) -> None:
        is_ready = self._adoption.accepted is not None and not self._entry.is_stopping
        _send_response(web, 200 if is_ready else 503, b"{}")

    def _models(self, web: WebRequest) -> None:
        accepted = self._adoption.accepted
        names = accepted.configuration.models if accepted else {}
        data = [{"id": name, "object": "model"} for name in names]
        _send_response(web, 200, msgspec.json.encode({"object": "list", "data": data}))

    def _status(self, web: WebRequest) -> None:
        if not self._is_operator(web):
            _send_error(web, errors.Unauthenticated("the shared key is needed"))
            return
        _send_response(web, 200, msgspec.json.encode(self._entry.status()))

    def _trace(self, web: WebRequest) -> None:
        if not self._is_operator(web):
            _send_error(web, errors.Unauthenticated("the shared key is needed"))
            return
        spans = self._tracing.spans(web.path.decode("latin-1").rpartition("/")[2])
        _send_response(
            web, 200, msgspec.json.encode([span._asdict() for span in spans])
        )

    def _is_operator(self, web: WebRequest) -> bool:
        given = web.getHeader("authorization") or ""
        return hmac.compare_digest(given.encode(), b"Bearer " + self._shared_key)

    def _complete(self, web: WebRequest, path: str, method: str) -> None:
        if method != "POST":
            _send_error(web, errors.InvalidRequest("POST is the only method here"))
            return
        configuration = self._admit(web)
        if configuration is None:
            return
        request_id = uuid4().hex
        body = _body_of(web)
        parsed = completions.parse(
            configuration, path, _headers_of(web), body, request_id
        )
        if isinstance(parsed, Err):
            self._metrics.count("refused", parsed.err_value.code)
            _send_error(web, parsed.err_value)
            return
        completion = parsed.ok_value
        created = int(self._timers.wall_time())
        reply = _CompletionResponseWriter(self, web, completion, created)
        self._start(web, completion.request, reply)

    def _call_service(self, web: WebRequest, path: str, method: str) -> None:
        configuration = self._admit(web)
        if configuration is None:
            return
        name, _, rest = path[len(SERVICES_PREFIX) :].partition("/")
        service = configuration.services.get(name)
        if service is None or service.kind != "plain":
            _send_error(web, errors.ServiceUnknown(f"no plain service {name!r}"))
            return
        headers = _headers_of(web)
        key = headers.get("idempotency-key", "")
        is_repeatable = service.repeatable or method in SAFE_METHODS
        if not is_repeatable and not key:
            detail = f"{name} calls need an Idempotency-Key"
            _send_error(web, errors.IdempotencyKeyMissing(detail))
            return
        work = headers.get(completions.WORK_HEADER, service.work)
        if work not in configuration.work:
            _send_error(web, errors.WorkUnknown(f"no kind of work {work!r}"))
            return
        query = web.uri.partition(b"?")[2].decode("latin-1")
        request = Request(
            request_id=uuid4().hex,
            service=name,
            work=work,
            priority=configuration.work[work].priority,
            patience=configuration.work[work].patience,
            caller=headers.get("pimentolink-caller", ""),
            method=method,
            path=f"/{rest}?{query}" if query else f"/{rest}",
            headers={
                name: value
                for name, value in headers.items()
                if name in FORWARDED_HEADERS
            },
            body=_body_of(web),
            idempotency_key="" if is_repeatable else key,
            is_model=False,
            prefill_tokens=0,
            decode_tokens=0,
            token_limit=0,
            prefixes=(),
            traceparent=headers.get("traceparent", ""),
        )
        self._start(web, request, _ServiceResponseWriter(self, web, request))

    def _admit(self, web: WebRequest) -> Configuration | None:
        accepted = self._adoption.accepted
        failure: errors.Failure | None = None
        if accepted is None:
            failure = errors.NoConfiguration("none has arrived yet", 1.0)
        elif self._dispatcher.in_flight >= self._limits.in_flight:
            failure = errors.Overloaded("too many requests in work", 1.0)
        if failure is not None:
            self._metrics.count("refused", failure.code)
            _send_error(web, failure)
            return None
        assert accepted is not None
        return accepted.configuration

    def _start(self, web: WebRequest, request: Request, reply: _ResponseWriter) -> None:
        self._metrics.count("requests", request.work)
        span = self._tracing.start("entry", request.request_id, request.traceparent)
        span.set_attribute("work", request.work)
        traceparent = self._tracing.traceparent(span) or request.traceparent
        request = request._replace(traceparent=traceparent)
        web.setHeader("pimentolink-request", request.request_id)
        finished = web.notifyFinish()
        finished.addErrback(lambda _: self._caller_left(request))
        finished.addBoth(lambda _: span.end())
        self._dispatcher.submit(request, reply)

    def _caller_left(self, request: Request) -> None:
        self._metrics.count("callers_left", request.work)
        self._dispatcher.cancel(request.request_id)

    def closing(self) -> bool:
        """Return whether connections are closed after a failure response."""
        return self._entry.is_stopping

    def answered(self, progress: Progress) -> None:
        """Record a complete response in the metrics."""
        work = progress.request.work
        self._metrics.count("answered", work)
        self._metrics.record("answer", self._timers.now() - progress.started_at)
        if progress.first_token_at is not None:
            first = progress.first_token_at - progress.started_at
            self._metrics.record("first_token", first)

    def failed(self, failure: errors.Failure) -> None:
        """Record a failed request in the metrics."""
        self._metrics.count("failed", failure.code)

    def pause(self, request: Request, paused: bool) -> None:
        """Stop or restart reading from a request's target."""
        self._dispatcher.pause(request.request_id, paused)


class _ResponseWriter:
    """Base of the classes that send a response to a caller and record its metrics."""

    def __init__(
        self, interface: CallerInterface, web: WebRequest, request: Request
    ) -> None:
        self.interface = interface
        self.web = web
        self.request = request

    def tokens(self, tokens: list[str]) -> None:
        """Handle the next tokens; does nothing by default."""

    def complete(self, finish: link_pb2.Finish, progress: Progress) -> None:
        """Handle the end of a complete response; does nothing by default."""

    def fail(self, failure: errors.Failure, progress: Progress) -> None:
        """Respond with a failure."""
        self.interface.failed(failure)
        if not self.web._disconnected:
            _send_error(self.web, failure, self.interface.closing())


class _ServiceResponseWriter(_ResponseWriter):
    """Sends the response of a plain service."""

    def complete(self, finish: link_pb2.Finish, progress: Progress) -> None:
        """Forward the service's response."""
        self.interface.answered(progress)
        for header in finish.headers:
            self.web.setHeader(header.name, header.value)
        self.web.setResponseCode(finish.status)
        self.web.write(finish.body)
        self.web.finish()


@implementer(IPushProducer)
class _CompletionResponseWriter(_ResponseWriter):
    """
    Sends the response of a model.

    It is the push producer of the connection, so that a slow caller pauses the target.
    """

    def __init__(
        self,
        interface: CallerInterface,
        web: WebRequest,
        completion: completions.CompletionRequest,
        created: int,
    ) -> None:
        super().__init__(interface, web, completion.request)
        self._completion = completion
        self._created = created
        self._encoder = completions.ChunkEncoder(completion, created)
        self._has_begun = False

    def tokens(self, tokens: list[str]) -> None:
        if not self._completion.is_streamed:
            return
        if not self._has_begun:
            self._begin()
        self.web.write(self._encoder.tokens(tokens))

    def complete(self, finish: link_pb2.Finish, progress: Progress) -> None:
        self.interface.answered(progress)
        if self._completion.is_streamed:
            if not self._has_begun:
                self._begin()
            self.web.write(self._encoder.end(finish.finish_reason))
            self._end()
            return
        body = completions.encode_completion(
            self._completion, self._created, progress.tokens, finish.finish_reason
        )
        _send_response(self.web, 200, body)

    def fail(self, failure: errors.Failure, progress: Progress) -> None:
        if not self._has_begun:
            super().fail(failure, progress)
            return
        self.interface.failed(failure)
        self.web.write(self._encoder.failure(failure))
        self._end()

    def _begin(self) -> None:
        self._has_begun = True
        self.web.setHeader("content-type", "text/event-stream")
        self.web.setHeader("cache-control", "no-store")
        self.web.registerProducer(self, True)

    def _end(self) -> None:
        self.web.unregisterProducer()
        self.web.finish()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the target because the caller's connection buffer is full."""
        self.interface.pause(self.request, True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the target because the caller reads again."""
        self.interface.pause(self.request, False)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``notifyFinish`` reports that the caller disconnected."""


def _headers_of(web: WebRequest) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): values[-1].decode("latin-1")
        for name, values in web.requestHeaders.getAllRawHeaders()
    }


def _body_of(web: WebRequest) -> bytes:
    content: Any = web.content
    return bytes(content.read())


def _send_response(
    web: WebRequest, status: int, body: bytes, kind: bytes = JSON
) -> None:
    web.setResponseCode(status)
    web.setHeader(b"content-type", kind)
    web.setHeader(b"content-length", str(len(body)).encode())
    web.write(body)
    web.finish()


def _send_error(
    web: WebRequest, failure: errors.Failure, is_closing: bool = False
) -> None:
    if failure.retry_after is not None:
        web.setHeader("retry-after", str(math.ceil(failure.retry_after)))
    if is_closing:
        web.setHeader("connection", "close")
    _send_response(web, failure.status, completions.error_body(failure))
