"""Tracing: a span for each hop of a request, linked by W3C trace context."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.trace import ReadableSpan, Span, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from pimentolink.logs import Log, LogEvent

REQUEST_ATTRIBUTE = "pimentolink.request"
MAX_TRACED_REQUESTS = 1_000
MAX_SPANS_PER_REQUEST = 64
SAMPLED_DIGITS = frozenset("13579bdf")
_propagator = TraceContextTextMapPropagator()


class SpanRecord(NamedTuple):
    """
    A span that has ended.

    :ivar process: name of the process that recorded it.
    :ivar start: nanoseconds since 1970.
    :ivar end: nanoseconds since 1970.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    process: str
    start: int
    end: int
    attributes: dict[str, str]


class Tracing:
    """
    Creates spans and keeps a bounded number of recent ones by request.

    Ended spans are processed synchronously on the event loop; no thread of the
    OpenTelemetry library is used.
    """

    def __init__(self, process: str, ratio: float, log: Log) -> None:
        """
        Set up a tracer.

        :param process: name of this process.
        :param ratio: share of requests to trace among those without a trace context.
        :param log: log that ended spans are written to.
        """
        self._process = process
        self._ratio = ratio
        self._log = log
        self._spans_by_request: OrderedDict[str, list[SpanRecord]] = OrderedDict()
        provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(ratio)), shutdown_on_exit=False
        )
        provider.add_span_processor(_CallbackSpanProcessor(self._span_ended))
        self._tracer = provider.get_tracer("pimentolink")

    def start(self, name: str, request_id: str, traceparent: str) -> trace.Span:
        """
        Start a span.

        :param name: name of the hop.
        :param request_id: ID of the request.
        :param traceparent: trace context of the previous hop, or empty.
        :returns: the span; ``INVALID_SPAN`` if the request is not traced.
        """
        is_traced = self._ratio > 0 if not traceparent else _is_sampled(traceparent)
        if not is_traced:
            return trace.INVALID_SPAN
        parent = _propagator.extract({"traceparent": traceparent}, Context())
        attributes = {REQUEST_ATTRIBUTE: request_id}
        return self._tracer.start_span(name, parent, attributes=attributes)

    @staticmethod
    def traceparent(span: trace.Span) -> str:
        """
        Return the ``traceparent`` header to pass to the next hop.

        :param span: span of this hop.
        :returns: empty if the request is not traced.
        """
        if span is trace.INVALID_SPAN:
            return ""
        carrier: dict[str, str] = {}
        _propagator.inject(carrier, trace.set_span_in_context(span, Context()))
        return carrier.get("traceparent", "")

    def spans(self, request_id: str) -> list[SpanRecord]:
        """
        Return the spans of a request.

        :param request_id: ID of the request.
        :returns: the spans still kept, ordered by start time.
        """
        spans = self._spans_by_request.get(request_id, [])
        return sorted(spans, key=lambda span: span.start)

    def pop_encoded(self, request_id: str) -> bytes:
        """
        Remove the spans of a request and return them for the previous hop.

        :param request_id: ID of the request.
        :returns: JSON; empty if the request is not traced.
        """
        spans = self._spans_by_request.pop(request_id, [])
        return msgspec.json.encode(spans) if spans else b""

    def add_encoded(self, request_id: str, spans: bytes) -> None:
        """
        Add spans received from the next hop.

        :param request_id: ID of the request.
        :param spans: as returned by :meth:`take`.
        """
        if spans:
            for span in msgspec.json.decode(spans, type=list[SpanRecord]):
                self._add(request_id, span)

    def _span_ended(self, span: ReadableSpan) -> None:
        record = self._to_record(span)
        self._log.write(LogEvent.SPAN_ENDED, **record._asdict())
        request_id = record.attributes.get(REQUEST_ATTRIBUTE, "")
        self._add(request_id, record)

    def _to_record(self, span: ReadableSpan) -> SpanRecord:
        context = span.get_span_context()
        assert context is not None
        attributes = {key: str(value) for key, value in (span.attributes or {}).items()}
        return SpanRecord(
            trace_id=trace.format_trace_id(context.trace_id),
            span_id=trace.format_span_id(context.span_id),
            parent_id=trace.format_span_id(span.parent.span_id) if span.parent else "",
            name=span.name,
            process=self._process,
            start=span.start_time or 0,
            end=span.end_time or 0,
            attributes=attributes,
        )

    def _add(self, request_id: str, record: SpanRecord) -> None:
        spans = self._spans_by_request.setdefault(request_id, [])
        if len(spans) < MAX_SPANS_PER_REQUEST:
            spans.append(record)
        if len(self._spans_by_request) > MAX_TRACED_REQUESTS:
            self._spans_by_request.popitem(last=False)


def _is_sampled(traceparent: str) -> bool:
    """
    Return whether the sampled flag of a trace context is set.

    :source: W3C Trace Context, trace-flags.
    """
    return traceparent[-1:] in SAMPLED_DIGITS


class _CallbackSpanProcessor(SpanProcessor):
    """A span processor that passes each ended span to a function, synchronously."""

    def __init__(self, on_end: Callable[[ReadableSpan], None]) -> None:
        self._on_end = on_end

    def on_start(self, span: Span, parent_context: Context | None = None) -> None:
        """Do nothing."""

    def on_end(self, span: ReadableSpan) -> None:
        """Pass the span to the function."""
        self._on_end(span)

    def shutdown(self) -> None:
        """Do nothing."""

    def force_flush(self, timeout_millis: int = 30_000) -> bool:
        """Do nothing, as no spans are buffered."""
        return True
