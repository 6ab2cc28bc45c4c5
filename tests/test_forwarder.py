"""Requests from admission to the final response, without sockets."""

from random import Random

import pytest
from result import Ok
from twisted.internet.defer import CancelledError, Deferred

from pimentolink.apikeys import Organisation, index_keys
from pimentolink.authentication import Authenticator
from pimentolink.configurationage import ConfigurationAge
from pimentolink.dialect import CallerRequest
from pimentolink.forwarder import Forwarder
from pimentolink.httptypes import HttpRequest
from pimentolink.logs import LogEvent
from pimentolink.metrics import Metrics
from pimentolink.routes import RoutingTable, RoutingTables
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import route
from tests.recordinglog import RecordingLog


class HangingHandler:
    """Records an attempt at a target, and never returns."""

    async def serve(self, work):
        work.attempts.sent("engine-1")
        await Deferred()


class StubDialect:
    def __init__(self, timers):
        self._timers = timers

    def request_id(self, http):
        return "r1"

    def read_request(self, http, now):
        return Ok(CallerRequest("r1", http, "h.example", "/p/x", now, 5.0))


class RecordingResponder:
    has_begun = False

    def __init__(self):
        self.responses = []

    def answer(self, status, headers, body):
        self.responses.append((status, dict(headers), body))


KEYS = index_keys(
    [(Organisation("north"), ["k-north"]), (Organisation("south", 0), ["k-south"])]
)


class ForwarderHarness:
    """A forwarder with a recording log and the handler given."""

    def __init__(self, handler, keys=None, is_current=True, **changes):
        self.timers = ManualTimers()
        self.log = RecordingLog()
        self.age = ConfigurationAge(5.0, self.timers, self.log)
        tables = RoutingTables()
        tables.offer(RoutingTable(3, [route(**changes)], [], None, keys), 0.0)
        if is_current:
            self.age.record_verification(self.timers.boot_time(), 0)
        self.log.lines.clear()
        self.forwarder = Forwarder(
            tables,
            Authenticator(self.age),
            StubDialect(self.timers),
            handler,
            handler,
            self.timers,
            Random(1),
            self.log,
            Metrics(),
        )

    def send(self, *headers):
        """Send one request; return status, headers and body, or ``None``."""
        responder = RecordingResponder()
        http = HttpRequest(b"POST", b"/p/x", headers)
        Deferred.fromCoroutine(self.forwarder.handle(http, responder))
        return responder.responses[0] if responder.responses else None


class RecordingHandler:
    """Records the requests that it gets."""

    def __init__(self):
        self.served = []

    async def serve(self, work):
        self.served.append(work)


def bearer(key):
    return (b"Authorization", b"Bearer " + key)


class TestCallerThatLeaves:
    def test_targets_of_its_work_are_told(self):
        harness = ForwarderHarness(HangingHandler())
        http = HttpRequest(b"POST", b"/p/x", ())
        handling = Deferred.fromCoroutine(
            harness.forwarder.handle(http, RecordingResponder())
        )
        harness.timers.advance(0.5)
        errors = []
        handling.addErrback(lambda failure: errors.append(failure.type))
        handling.cancel()
        ((event, fields),) = harness.log.lines
        assert event is LogEvent.WORK_CANCELLED
        assert (fields["request"], fields["targets"]) == ("r1", ["engine-1"])
        assert (fields["took"], fields["left"]) == (0.5, 1.5)
        assert errors == [CancelledError]
        assert harness.forwarder.in_work == 0


class TestApiKeys:
    def test_organisation_is_named_and_the_key_goes_no_further(self):
        handler = RecordingHandler()
        ForwarderHarness(handler, KEYS).send(bearer(b"k-north"), (b"X-Other", b"1"))
        (served,) = handler.served
        assert served.request.organisation == "north"
        assert served.request.http.headers == ((b"X-Other", b"1"),)

    @pytest.mark.parametrize(
        "headers",
        [
            (),
            (bearer(b"k-other"),),
            (bearer(b"k-north"), bearer(b"k-north")),
            ((b"Authorization", b"Basic k-north"),),
            ((b"Authorization", b"Bearer k-north, Bearer k-south"),),
            ((b"Authorization", b"Bearer"),),
            ((b"Authorization", b"\xff"),),
        ],
    )
    def test_request_without_one_known_key_is_refused(self, headers):
        handler = RecordingHandler()
        status, response_headers, _ = ForwarderHarness(handler, KEYS).send(*headers)
        assert (status, response_headers[b"WWW-Authenticate"]) == (401, b"Bearer")
        assert handler.served == []

    def test_scheme_is_read_in_any_case(self):
        handler = RecordingHandler()
        ForwarderHarness(handler, KEYS).send((b"authorization", b"bEARER  k-south"))
        assert handler.served[0].request.organisation == "south"

    def test_route_without_authentication_passes_but_not_the_key(self):
        handler = RecordingHandler()
        ForwarderHarness(handler, KEYS, needs_key=False).send(bearer(b"k-other"))
        (served,) = handler.served
        assert served.request.organisation == ""
        assert served.request.http.headers == ()

    def test_configuration_without_organisations_passes_all_on(self):
        handler = RecordingHandler()
        ForwarderHarness(handler).send(bearer(b"k-other"))
        assert handler.served[0].request.http.headers == (bearer(b"k-other"),)

    def test_priority_of_the_organisation_goes_before_the_routes(self):
        handler = RecordingHandler()
        harness = ForwarderHarness(handler, KEYS, priority=4)
        harness.send(bearer(b"k-north"))
        harness.send(bearer(b"k-south"))
        assert [served.priority for served in handler.served] == [4, 0]

    def test_same_request_of_another_organisation_is_another_one(self):
        handler = RecordingHandler()
        harness = ForwarderHarness(handler, KEYS)
        for key in (b"k-north", b"k-south", b"k-north"):
            harness.send(bearer(key))
        first, second, third = (served.request.fingerprint for served in handler.served)
        assert first == third != second

    def test_no_key_is_logged(self):
        harness = ForwarderHarness(RecordingHandler(), KEYS)
        harness.send(bearer(b"k-north"))
        harness.send(bearer(b"k-unknown"))
        assert "k-north" not in str(harness.log.lines)
        assert "k-unknown" not in str(harness.log.lines)


class TestOutdatedConfiguration:
    """Failure: keys are revoked while a gateway has lost contact with the store."""

    @pytest.mark.parametrize("key", [b"k-north", b"k-unknown"])
    def test_every_key_is_refused_as_not_run_past_the_bound(self, key):
        handler = RecordingHandler()
        harness = ForwarderHarness(handler, KEYS)
        harness.timers.advance(5.0)
        status, response_headers, _ = harness.send(bearer(key))
        assert (status, b"Retry-After" in response_headers) == (503, True)
        assert handler.served == []

    def test_requests_without_authentication_go_on(self):
        handler = RecordingHandler()
        harness = ForwarderHarness(handler, KEYS, needs_key=False)
        harness.timers.advance(60.0)
        harness.send()
        assert len(handler.served) == 1

    def test_time_counts_in_which_the_instance_was_suspended(self):
        handler = RecordingHandler()
        harness = ForwarderHarness(handler, KEYS)
        harness.timers.suspend(6.0)
        assert harness.send(bearer(b"k-north"))[0] == 503

    def test_keys_are_served_again_from_the_next_proof_on(self):
        handler = RecordingHandler()
        harness = ForwarderHarness(handler, KEYS)
        harness.timers.advance(60.0)
        harness.age.record_verification(harness.timers.boot_time() - 1.0, 0)
        harness.send(bearer(b"k-north"))
        assert len(handler.served) == 1


class TestRuns:
    def test_request_is_counted_once_for_its_organisation(self):
        handler = RecordingHandler()
        harness = ForwarderHarness(handler, KEYS)
        counted = []
        harness.forwarder.on_execution_started = lambda *args: counted.append(args)
        harness.send(bearer(b"k-north"))
        handler.served[0].run_began(1.0)
        handler.served[0].run_began(2.0)
        assert counted == [("north", 1.0)]
