"""Requests on their way to a final answer, without sockets."""

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
from tests.gatewayparts import route


class KeptLog:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


class EndlessWork:
    """Sends the request to a target and waits for good."""

    async def serve(self, work):
        work.attempts.sent("engine-1")
        await Deferred()


class Dialect:
    def __init__(self, timers):
        self._timers = timers

    def request_id(self, http):
        return "r1"

    def read_request(self, http, now):
        return Ok(CallerRequest("r1", http, "h.example", "/p/x", now, 5.0))


class Responder:
    has_begun = False

    def __init__(self):
        self.answers = []

    def answer(self, status, headers, body):
        self.answers.append((status, dict(headers), body))


KEYS = index_keys(
    [(Organisation("north"), ["k-north"]), (Organisation("south", 0), ["k-south"])]
)


class World:
    """A forwarder over work that takes notes."""

    def __init__(self, work, keys=None, is_current=True, **changes):
        self.timers = ManualTimers()
        self.log = KeptLog()
        self.age = ConfigurationAge(5.0, self.timers, self.log)
        tables = RoutingTables()
        tables.offer(RoutingTable(3, [route(**changes)], [], None, keys))
        if is_current:
            self.age.proven(self.timers.boot_time(), 0)
        self.log.lines.clear()
        self.forwarder = Forwarder(
            tables,
            Authenticator(self.age),
            Dialect(self.timers),
            work,
            work,
            self.timers,
            Random(1),
            self.log,
            Metrics(),
        )

    def ask(self, *headers):
        """Handle one request to its end; return status, headers and body."""
        responder = Responder()
        http = HttpRequest(b"POST", b"/p/x", headers)
        Deferred.fromCoroutine(self.forwarder.handle(http, responder))
        return responder.answers[0] if responder.answers else None


class KeptWork:
    """Keeps what it is asked to serve."""

    def __init__(self):
        self.served = []

    async def serve(self, work):
        self.served.append(work)


def bearer(key):
    return (b"Authorization", b"Bearer " + key)


class TestCallerThatLeaves:
    def test_targets_of_its_work_are_told(self):
        world = World(EndlessWork())
        http = HttpRequest(b"POST", b"/p/x", ())
        handling = Deferred.fromCoroutine(world.forwarder.handle(http, Responder()))
        world.timers.advance(0.5)
        ended = []
        handling.addErrback(lambda failure: ended.append(failure.type))
        handling.cancel()
        ((event, fields),) = world.log.lines
        assert event is LogEvent.WORK_CANCELLED
        assert (fields["request"], fields["targets"]) == ("r1", ["engine-1"])
        assert (fields["took"], fields["left"]) == (0.5, 1.5)
        assert ended == [CancelledError]
        assert world.forwarder.in_work == 0


class TestApiKeys:
    def test_organisation_is_named_and_the_key_goes_no_further(self):
        work = KeptWork()
        World(work, KEYS).ask(bearer(b"k-north"), (b"X-Other", b"1"))
        (served,) = work.served
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
        work = KeptWork()
        status, told, _ = World(work, KEYS).ask(*headers)
        assert (status, told[b"WWW-Authenticate"]) == (401, b"Bearer")
        assert work.served == []

    def test_scheme_is_read_in_any_case(self):
        work = KeptWork()
        World(work, KEYS).ask((b"authorization", b"bEARER  k-south"))
        assert work.served[0].request.organisation == "south"

    def test_route_without_authentication_passes_but_not_the_key(self):
        work = KeptWork()
        World(work, KEYS, needs_key=False).ask(bearer(b"k-other"))
        (served,) = work.served
        assert served.request.organisation == ""
        assert served.request.http.headers == ()

    def test_configuration_without_organisations_passes_all_on(self):
        work = KeptWork()
        World(work).ask(bearer(b"k-other"))
        assert work.served[0].request.http.headers == (bearer(b"k-other"),)

    def test_priority_of_the_organisation_goes_before_the_routes(self):
        work = KeptWork()
        world = World(work, KEYS, priority=4)
        world.ask(bearer(b"k-north"))
        world.ask(bearer(b"k-south"))
        assert [served.priority for served in work.served] == [4, 0]

    def test_same_request_of_another_organisation_is_another_one(self):
        work = KeptWork()
        world = World(work, KEYS)
        for key in (b"k-north", b"k-south", b"k-north"):
            world.ask(bearer(key))
        first, second, third = (served.request.fingerprint for served in work.served)
        assert first == third != second

    def test_no_key_is_logged(self):
        world = World(KeptWork(), KEYS)
        world.ask(bearer(b"k-north"))
        world.ask(bearer(b"k-unknown"))
        assert "k-north" not in str(world.log.lines)
        assert "k-unknown" not in str(world.log.lines)


class TestOutdatedConfiguration:
    """Pattern: keys are revoked while a gateway hears nothing of the store."""

    @pytest.mark.parametrize("key", [b"k-north", b"k-unknown"])
    def test_every_key_is_refused_as_not_run_past_the_bound(self, key):
        work = KeptWork()
        world = World(work, KEYS)
        world.timers.advance(5.0)
        status, told, _ = world.ask(bearer(key))
        assert (status, b"Retry-After" in told) == (503, True)
        assert work.served == []

    def test_requests_without_authentication_go_on(self):
        work = KeptWork()
        world = World(work, KEYS, needs_key=False)
        world.timers.advance(60.0)
        world.ask()
        assert len(work.served) == 1

    def test_time_counts_in_which_the_instance_was_suspended(self):
        work = KeptWork()
        world = World(work, KEYS)
        world.timers.suspend(6.0)
        assert world.ask(bearer(b"k-north"))[0] == 503

    def test_keys_are_served_again_from_the_next_proof_on(self):
        work = KeptWork()
        world = World(work, KEYS)
        world.timers.advance(60.0)
        world.age.proven(world.timers.boot_time() - 1.0, 0)
        world.ask(bearer(b"k-north"))
        assert len(work.served) == 1


class TestRuns:
    def test_request_is_counted_once_for_its_organisation(self):
        work = KeptWork()
        world = World(work, KEYS)
        counted = []
        world.forwarder.on_run = lambda *told: counted.append(told)
        world.ask(bearer(b"k-north"))
        work.served[0].run_began(1.0)
        work.served[0].run_began(2.0)
        assert counted == [("north", 1.0)]
