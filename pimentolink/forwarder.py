"""Routes each caller's request and sends its final response."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Protocol

from result import Err, Ok, Result
from twisted.internet.defer import CancelledError

from pimentolink.apikeys import Organisation, without_key
from pimentolink.attempts import Attempts
from pimentolink.authentication import Authenticator
from pimentolink.dialect import CallerRequest, Dialect, fingerprint_of
from pimentolink.errors import (
    DEFAULT_RETRY_AFTER,
    CannotBeInTime,
    ConfigurationOutdated,
    Draining,
    Failure,
    InvalidRequest,
    NoConfiguration,
    RouteUnknown,
    StreamBroken,
    Unauthenticated,
)
from pimentolink.httptypes import (
    BodyFraming,
    Headers,
    HttpReply,
    HttpRequest,
    end_to_end,
)
from pimentolink.logs import Log, LogEvent
from pimentolink.metrics import Metrics
from pimentolink.requestcalls import RequestCalls
from pimentolink.routes import Route, RoutingTable, RoutingTables
from pimentolink.timers import Timers, with_timeout
from pimentolink.traits import traits_of


class Responder(Protocol):
    """Sends one response on the caller's connection."""

    @property
    def has_begun(self) -> bool:
        """Whether the head of the response was written."""

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of a response of unknown length."""

    def write(self, data: bytes) -> None:
        """Write the next bytes of the body."""

    def finish(self) -> None:
        """End the body, which completes the response."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""

    def abort(self) -> None:
        """Close the connection, so that the response does not look complete."""

    def on_pause(self, callback: Callable[[bool], None]) -> None:
        """Set the callback for when the caller stops or resumes reading."""


# Called with an organisation and the time, in seconds of the timer service, at which
# one of its requests began to run.
RunCallback = Callable[[str, float], None]


def _ignore_run(organisation: str, began_at: float) -> None:
    """Do nothing."""


class PendingRequest:
    """
    A request that is being served.

    :ivar due_at: deadline of the final response, in seconds of the timer service.
    :ivar framing: how the last target's response delimits its body; ``None`` before
        there is one.
    :ivar status: of the response to the caller; ``None`` before there is one.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        table: RoutingTable,
        responder: Responder,
        organisation: Organisation | None = None,
        on_execution_started: RunCallback = _ignore_run,
    ) -> None:
        """
        Start without an attempt.

        :param request: the caller's request.
        :param route: the route that it matched.
        :param service: the service that the route chose.
        :param table: the routing table with that route.
        :param responder: sends the response.
        :param organisation: the authenticated organisation; ``None`` if the route
            needs no API key.
        :param on_execution_started: counts the request for its organisation once
            it begins to run.
        """
        self.request = request
        self.route = route
        self.service = service
        self.table = table
        self.responder = responder
        self.attempts = Attempts(route)
        self.calls = RequestCalls()
        self.first_event_at: float | None = None
        self.framing: BodyFraming | None = None
        self.status: int | None = None
        self._has_begun_run = False
        self._on_run = on_execution_started
        timeout = route.timeout
        if request.caller_timeout is not None:
            timeout = min(timeout, request.caller_timeout)
        self.due_at = request.arrived_at + timeout
        self.priority = route.priority
        if organisation is not None and organisation.priority is not None:
            self.priority = organisation.priority

    def run_began(self, began_at: float) -> None:
        """
        Record that a target began to run the request.

        Called for each run; only the first is counted.

        :param began_at: seconds of the timer service.
        """
        if not self._has_begun_run and self.request.organisation:
            self._has_begun_run = True
            self._on_run(self.request.organisation, began_at)

    def time_left(self, now: float) -> float:
        """Return the seconds until the deadline of the final response."""
        return self.due_at - now


_AdmissionFailure = (
    InvalidRequest
    | NoConfiguration
    | RouteUnknown
    | Draining
    | Unauthenticated
    | ConfigurationOutdated
)


def _with_organisation(
    organisation: Organisation | None, request: CallerRequest, table: RoutingTable
) -> CallerRequest:
    """Set the organisation, and remove the API key, which no later step may see."""
    name = organisation.name if organisation is not None else ""
    http = request.http
    if table.api_keys is not None:
        http = http._replace(headers=without_key(http.headers))
    fingerprint = fingerprint_of(http, request.host, name)
    return request._replace(http=http, organisation=name, fingerprint=fingerprint)


class WorkHandler(Protocol):
    """Serves requests of one kind."""

    def serve(self, work: PendingRequest) -> Coroutine[Any, Any, None]:
        """
        Serve a request.

        :raises Failure: if no target gave a response.
        """


class Forwarder:
    """Admits requests, passes them to their handler and answers those that fail."""

    def __init__(
        self,
        tables: RoutingTables,
        authenticator: Authenticator,
        dialect: Dialect,
        generations: WorkHandler,
        calls: WorkHandler,
        timers: Timers,
        random: Random,
        log: Log,
        metrics: Metrics,
    ) -> None:
        """
        Create a forwarder.

        :param tables: holds the current routing table.
        :param authenticator: finds the organisation of an API key.
        :param dialect: parses requests.
        :param generations: serves requests to model engines.
        :param calls: serves all other requests.
        :param timers: the timer service.
        :param random: seeded source, for routes split between services.
        :param log: records the outcome of each request.
        :param metrics: receives counts and durations.
        """
        self._tables = tables
        self._authenticator = authenticator
        self._dialect = dialect
        self._generations = generations
        self._calls = calls
        self._timers = timers
        self._random = random
        self._log = log
        self._metrics = metrics
        self.on_execution_started: RunCallback = _ignore_run
        # Seconds since the store last responded.
        self.store_age: Callable[[], float] = float
        self.in_work = 0
        self.is_closing = False

    async def handle(self, http: HttpRequest, responder: Responder) -> None:
        """
        Serve one request.

        :param http: the request as received, with its complete body.
        :param responder: the caller's connection.
        """
        work = self._admit(http, responder)
        if isinstance(work, Err):
            name = self._dialect.request_id(http)
            self._refuse(name, responder, work.err_value)
            return
        self.in_work += 1
        try:
            await self._serve(work.ok_value)
        finally:
            self.in_work -= 1

    def _admit(
        self, http: HttpRequest, responder: Responder
    ) -> Result[PendingRequest, _AdmissionFailure]:
        current = self._tables.current()
        if isinstance(current, Err):
            return current
        if self.is_closing:
            return Err(Draining("this gateway is about to end", DEFAULT_RETRY_AFTER))
        found = self._dialect.read_request(http, self._timers.now())
        if isinstance(found, Err):
            return found
        request = found.ok_value
        table = current.ok_value
        route = table.match(request.host, request.path)
        if isinstance(route, Err):
            return route
        authenticated = self._authenticator.authenticate(
            table, route.ok_value, http.headers
        )
        if isinstance(authenticated, Err):
            return authenticated
        request = _with_organisation(authenticated.ok_value, request, table)
        service = route.ok_value.pick_service(self._random)
        request = request._replace(traits=traits_of(service, request.parts))
        return Ok(
            PendingRequest(
                request,
                route.ok_value,
                service,
                table,
                responder,
                authenticated.ok_value,
                self.on_execution_started,
            )
        )

    async def _serve(self, work: PendingRequest) -> None:
        self._metrics.count("requests", work.route.name)
        handler = self._generations if work.route.is_generation else self._calls
        now = self._timers.now()
        serving = handler.serve(work)
        try:
            await with_timeout(self._timers, max(0.0, work.time_left(now)), serving)
        except TimeoutError:
            no_capacity = CannotBeInTime(
                "no target had room in time", DEFAULT_RETRY_AFTER
            )
            self._fail(work, work.attempts.deadline_failure(no_capacity))
        except Failure as failure:
            self._fail(work, work.attempts.final_failure(failure))
        except CancelledError:
            self._log_cancelled(work)
            raise
        else:
            self._record_answer(work)

    def _log_cancelled(self, work: PendingRequest) -> None:
        """
        Log where a request was when its caller disconnected.

        Its targets and times show what the caller had been waiting for.
        """
        now = self._timers.now()
        self._log_outcome(
            LogEvent.WORK_CANCELLED,
            work,
            fingerprint=work.request.fingerprint,
            traits=work.request.traits,
            has_begun=work.responder.has_begun,
            took=round(now - work.request.arrived_at, 3),
            left=round(work.time_left(now), 3),
        )

    def _record_answer(self, work: PendingRequest) -> None:
        now = self._timers.now()
        took = now - work.request.arrived_at
        first = (work.first_event_at or now) - work.request.arrived_at
        self._metrics.count("answered", work.route.name)
        self._metrics.record("answer", took)
        self._metrics.record("first_event", first)
        self._log_outcome(
            LogEvent.ANSWERED,
            work,
            first=round(first, 3),
            took=round(took, 3),
        )

    def _fail(self, work: PendingRequest, failure: Failure) -> None:
        self._metrics.count("failed", failure.code)
        is_aborted = work.responder.has_begun or isinstance(failure, StreamBroken)
        if not is_aborted:
            work.status = failure.status
        self._log_outcome(
            LogEvent.REQUEST_FAILED,
            work,
            fingerprint=work.request.fingerprint,
            traits=work.request.traits,
            code=failure.code,
            detail=failure.detail,
            took=round(self._timers.now() - work.request.arrived_at, 3),
            left=round(work.time_left(self._timers.now()), 3),
        )
        if is_aborted:
            work.responder.abort()
        else:
            answer_failure(work.responder, failure)

    def _log_outcome(
        self, event: LogEvent, work: PendingRequest, **outcome: object
    ) -> None:
        """Write the log line for the outcome of a request and what led to it."""
        self._log.write(
            event,
            request=work.request.request_id,
            organisation=work.request.organisation,
            route=work.route.name,
            service=work.service,
            version=work.table.version,
            targets=work.attempts.tried_target_ids,
            calls=work.calls.sent,
            grants=work.calls.grants,
            framing=work.framing.value if work.framing else None,
            status=work.status,
            **outcome,
        )

    def _refuse(self, request_id: str, responder: Responder, failure: Failure) -> None:
        """Answer a request that was not admitted, and log what that rested on."""
        self._metrics.count("failed", failure.code)
        self._log.write(
            LogEvent.REQUEST_FAILED,
            request=request_id,
            version=self._tables.version,
            in_force=round(self._timers.now() - self._tables.adopted_at, 3),
            store_age=round(self.store_age(), 3),
            status=failure.status,
            code=failure.code,
            detail=failure.detail,
        )
        answer_failure(responder, failure)


def answer_failure(responder: Responder, failure: Failure) -> None:
    """
    Send a failure as the response.

    :param responder: the caller's connection.
    :param failure: gives the status and the seconds for ``Retry-After``.
    """
    headers: list[tuple[bytes, bytes]] = [(b"Content-Type", b"text/plain")]
    if failure.status in (429, 503):
        pause = failure.retry_after or DEFAULT_RETRY_AFTER
        headers.append((b"Retry-After", f"{pause:.2f}".encode()))
    if isinstance(failure, Unauthenticated):
        headers.append((b"WWW-Authenticate", b"Bearer"))
    responder.answer(failure.status, tuple(headers), f"{failure}\n".encode())


def forward_reply(work: PendingRequest, reply: HttpReply) -> None:
    """Send a target's complete response to the caller."""
    work.status = reply.head.status
    work.responder.answer(work.status, end_to_end(reply.head.headers), reply.body)
