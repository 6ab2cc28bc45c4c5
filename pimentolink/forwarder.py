"""Takes a caller's request to its final answer."""

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
    USUAL_PAUSE,
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
from pimentolink.httptypes import Headers, HttpReply, HttpRequest, end_to_end
from pimentolink.logs import Log, LogEvent
from pimentolink.metrics import Metrics
from pimentolink.routes import Route, RoutingTable, RoutingTables
from pimentolink.timers import Timers, with_timeout


class Responder(Protocol):
    """The caller's connection, for one answer."""

    @property
    def has_begun(self) -> bool:
        """Whether the answer's head is out."""

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of an answer of unknown length."""

    def write(self, data: bytes) -> None:
        """Write on."""

    def finish(self) -> None:
        """End the answer as complete."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer."""

    def abort(self) -> None:
        """Cut the answer off, so that it does not look complete."""

    def on_pause(self, callback: Callable[[bool], None]) -> None:
        """Ask to be told when the caller stops reading and when it goes on."""


# Learns that a request of an organisation began to run, and when, in seconds of the
# timer service.
OnRun = Callable[[str, float], None]


def _not_counted(organisation: str, began_at: float) -> None:
    """Count nothing."""


class Work:
    """
    One request on its way.

    :ivar due_at: when its final answer is due, in seconds of the timer service.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        table: RoutingTable,
        responder: Responder,
        organisation: Organisation | None = None,
        on_run: OnRun = _not_counted,
    ) -> None:
        """
        Begin without an attempt.

        :param request: what the caller asked.
        :param route: that it matched.
        :param service: that the route gave it to.
        :param table: the configuration that decided.
        :param responder: where the answer goes.
        :param organisation: that asks; ``None`` where none is asked for.
        :param on_run: counts it for the organisation once it begins to run.
        """
        self.request = request
        self.route = route
        self.service = service
        self.table = table
        self.responder = responder
        self.attempts = Attempts(route)
        self.first_event_at: float | None = None
        self._has_begun_run = False
        self._on_run = on_run
        patience = route.timeout
        if request.patience is not None:
            patience = min(patience, request.patience)
        self.due_at = request.arrived_at + patience
        self.priority = route.priority
        if organisation is not None and organisation.priority is not None:
            self.priority = organisation.priority

    def run_began(self, began_at: float) -> None:
        """
        Learn that a target began to run the request, for the first time or again.

        :param began_at: seconds of the timer service.
        """
        if not self._has_begun_run and self.request.organisation:
            self._has_begun_run = True
            self._on_run(self.request.organisation, began_at)

    def time_left(self, now: float) -> float:
        """Tell the seconds until the final answer is due."""
        return self.due_at - now


_AdmissionFailure = (
    InvalidRequest
    | NoConfiguration
    | RouteUnknown
    | Draining
    | Unauthenticated
    | ConfigurationOutdated
)


def _as_asked_by(
    organisation: Organisation | None, request: CallerRequest, table: RoutingTable
) -> CallerRequest:
    """Name who asks, and drop the API key, which nothing later may see."""
    name = organisation.name if organisation is not None else ""
    http = request.http
    if table.api_keys is not None:
        http = http._replace(headers=without_key(http.headers))
    fingerprint = fingerprint_of(http, request.host, name)
    return request._replace(http=http, organisation=name, fingerprint=fingerprint)


class WorkKind(Protocol):
    """How one kind of work is done."""

    def serve(self, work: Work) -> Coroutine[Any, Any, None]:
        """
        Answer a request.

        :raises Failure: if there is no answer of a target.
        """


class Forwarder:
    """Matches requests with routes, has them served, gives the rest their failure."""

    def __init__(
        self,
        tables: RoutingTables,
        authenticator: Authenticator,
        dialect: Dialect,
        generations: WorkKind,
        calls: WorkKind,
        timers: Timers,
        random: Random,
        log: Log,
        metrics: Metrics,
    ) -> None:
        """
        Prepare.

        :param tables: the configuration in force.
        :param authenticator: tells who asks.
        :param dialect: reads requests.
        :param generations: serves what a model's engine answers.
        :param calls: serves all else.
        :param timers: the timer service.
        :param random: seeded source, for split routes.
        :param log: where events go.
        :param metrics: where figures go.
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
        self.on_run: OnRun = _not_counted
        self.in_work = 0
        self.is_closing = False

    async def handle(self, http: HttpRequest, responder: Responder) -> None:
        """
        Answer one request.

        :param http: as it came, with its whole body.
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
    ) -> Result[Work, _AdmissionFailure]:
        current = self._tables.current()
        if isinstance(current, Err):
            return current
        if self.is_closing:
            return Err(Draining("this gateway is about to end", USUAL_PAUSE))
        found = self._dialect.read_request(http, self._timers.now())
        if isinstance(found, Err):
            return found
        request = found.ok_value
        table = current.ok_value
        route = table.match(request.host, request.path)
        if isinstance(route, Err):
            return route
        asker = self._authenticator.authenticate(table, route.ok_value, http.headers)
        if isinstance(asker, Err):
            return asker
        request = _as_asked_by(asker.ok_value, request, table)
        service = route.ok_value.pick_service(self._random)
        return Ok(
            Work(
                request,
                route.ok_value,
                service,
                table,
                responder,
                asker.ok_value,
                self.on_run,
            )
        )

    async def _serve(self, work: Work) -> None:
        self._metrics.count("requests", work.route.name)
        kind = self._generations if work.route.is_generation else self._calls
        now = self._timers.now()
        serving = kind.serve(work)
        try:
            await with_timeout(self._timers, max(0.0, work.time_left(now)), serving)
        except TimeoutError:
            unserved = CannotBeInTime("no target had room in time", USUAL_PAUSE)
            self._fail(work, work.attempts.expired(unserved))
        except Failure as failure:
            self._fail(work, work.attempts.final(failure))
        except CancelledError:
            self._left(work)
            raise
        else:
            self._answered(work)

    def _left(self, work: Work) -> None:
        """Tell where the work of a caller that left was, which explains its wait."""
        now = self._timers.now()
        self._tell(
            LogEvent.WORK_CANCELLED,
            work,
            fingerprint=work.request.fingerprint,
            has_begun=work.responder.has_begun,
            took=round(now - work.request.arrived_at, 3),
            left=round(work.time_left(now), 3),
        )

    def _answered(self, work: Work) -> None:
        now = self._timers.now()
        took = now - work.request.arrived_at
        first = (work.first_event_at or now) - work.request.arrived_at
        self._metrics.count("answered", work.route.name)
        self._metrics.record("answer", took)
        self._metrics.record("first_event", first)
        self._tell(
            LogEvent.ANSWERED,
            work,
            first=round(first, 3),
            took=round(took, 3),
        )

    def _fail(self, work: Work, failure: Failure) -> None:
        self._metrics.count("failed", failure.code)
        self._tell(
            LogEvent.REQUEST_FAILED,
            work,
            fingerprint=work.request.fingerprint,
            code=failure.code,
            detail=failure.detail,
            took=round(self._timers.now() - work.request.arrived_at, 3),
            left=round(work.time_left(self._timers.now()), 3),
        )
        if work.responder.has_begun or isinstance(failure, StreamBroken):
            work.responder.abort()
        else:
            answer_failure(work.responder, failure)

    def _tell(self, event: LogEvent, work: Work, **outcome: object) -> None:
        """Write the one line that tells how work ended, with what decided it."""
        self._log.write(
            event,
            request=work.request.request_id,
            organisation=work.request.organisation,
            route=work.route.name,
            service=work.service,
            version=work.table.version,
            targets=work.attempts.tried_target_ids,
            **outcome,
        )

    def _refuse(self, request_id: str, responder: Responder, failure: Failure) -> None:
        self._metrics.count("failed", failure.code)
        self._log.write(
            LogEvent.REQUEST_FAILED,
            request=request_id,
            version=self._tables.table.version if self._tables.table else 0,
            code=failure.code,
            detail=failure.detail,
        )
        answer_failure(responder, failure)


def answer_failure(responder: Responder, failure: Failure) -> None:
    """
    Write a failure of the system's own as an answer.

    :param responder: the caller's connection.
    :param failure: tells status and pause.
    """
    headers: list[tuple[bytes, bytes]] = [(b"Content-Type", b"text/plain")]
    if failure.status in (429, 503):
        pause = failure.retry_after or USUAL_PAUSE
        headers.append((b"Retry-After", f"{pause:.2f}".encode()))
    if isinstance(failure, Unauthenticated):
        headers.append((b"WWW-Authenticate", b"Bearer"))
    responder.answer(failure.status, tuple(headers), f"{failure}\n".encode())


def pass_on(responder: Responder, reply: HttpReply) -> None:
    """Give a target's whole answer to the caller."""
    responder.answer(reply.head.status, end_to_end(reply.head.headers), reply.body)
