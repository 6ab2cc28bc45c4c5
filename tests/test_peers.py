"""Tests of the datagrams between gateways, over an in-memory transport."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentolink.cells import MAX_GATEWAYS, Cells
from pimentolink.dialect import PromptPart
from pimentolink.egressqueue import EgressQueue
from pimentolink.logs import Log
from pimentolink.metrics import Metrics
from pimentolink.peermessages import (
    MAX_ROLE_CHANGE_TIME,
    ExchangesBroken,
    InFlight,
    OpenPrefills,
    PrefillEnded,
    PrefillStarted,
    RoleChanging,
    target_key,
)
from pimentolink.peers import MAX_DATAGRAM_SIZE, PeerOutbox, PeerProtocol, choose_peers
from pimentolink.peerupdates import PEER_TIMEOUT, PeerUpdates
from pimentolink.registration import GatewayEntry
from pimentolink.targetestimate import EngineRole
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import fleet, target
from tests.jsonvalues import VALUES

ENGINE_KEY = target_key("e", 0)


class FakeTransport:
    """Delivers datagrams to the other gateway at once, and records them."""

    def __init__(self):
        self.other = None
        self.datagrams = []

    def write(self, datagram, address):
        self.datagrams.append(datagram)
        if self.other is not None:
            self.other.datagramReceived(datagram, address)


class GatewayPair:
    """Two gateways, each with its estimate of the load of one engine."""

    def __init__(self):
        self.timers = ManualTimers()
        self.fleets = [fleet(target("e", EngineRole.DECODE)) for _ in range(2)]
        self.transports = [FakeTransport(), FakeTransport()]
        self.peers = [
            PeerProtocol(
                name,
                f"life-{name}",
                gateway_fleet,
                lambda: None,
                self.timers,
                Log(instance=name),
                Metrics(),
                EgressQueue(0.0, self.timers),
            )
            for name, gateway_fleet in zip("ab", self.fleets, strict=True)
        ]
        for index, peer in enumerate(self.peers):
            peer.transport = self.transports[index]
            self.transports[index].other = self.peers[1 - index]
            peer.set_peer_addresses(["127.0.0.1:1"])
            peer.start()

    def engine(self, index):
        return self.fleets[index].targets_by_id["e"]


@pytest.fixture
def pair():
    return GatewayPair()


class TestUnknownMessages:
    """A gateway of a newer version sends a kind of message that this one ignores."""

    UNKNOWN = msgspec.msgpack.encode(("life-a", [("unknown kind", 1)]))

    def test_it_is_dropped_and_what_follows_is_read(self, pair):
        pair.peers[1].datagramReceived(self.UNKNOWN, ("127.0.0.1", 1))
        pair.engine(0).in_flight = 3
        pair.timers.advance(0.2)
        assert pair.engine(1).load() == 3

    def test_no_other_message_shares_its_datagram(self, pair):
        pair.engine(0).in_flight = 3
        message = ExchangesBroken(ENGINE_KEY, ["f" * 32], False, 0)
        pair.peers[0].broadcast_separately([message])
        (datagram,) = pair.transports[0].datagrams
        _, messages = msgspec.msgpack.decode(datagram)
        assert messages == [msgspec.to_builtins(message)]

    def test_broken_exchanges_arrive(self, pair):
        arrived = []
        pair.peers[1].on_suspects = lambda message, source: arrived.append(message)
        message = ExchangesBroken(ENGINE_KEY, ["f" * 32], True, 20)
        pair.peers[0].broadcast_separately([message])
        assert arrived == [message]


class TestInFlight:
    def test_load_of_another_gateway_is_known_within_a_turn(self, pair):
        pair.engine(0).in_flight = 3
        pair.timers.advance(0.2)
        assert pair.engine(1).load() == 3

    def test_load_that_ends_is_known_too(self, pair):
        pair.engine(0).in_flight = 3
        pair.timers.advance(0.2)
        pair.engine(0).in_flight = 0
        pair.timers.advance(0.2)
        assert pair.engine(1).load() == 0

    def test_lost_datagram_is_made_up_for_within_a_second(self, pair):
        pair.transports[0].other = None
        pair.engine(0).in_flight = 3
        pair.timers.advance(0.2)
        pair.transports[0].other = pair.peers[1]
        pair.timers.advance(1.2)
        assert pair.engine(1).load() == 3

    def test_lost_end_is_made_up_for_within_a_second(self, pair):
        pair.engine(0).in_flight = 3
        pair.timers.advance(0.2)
        pair.transports[0].other = None
        pair.engine(0).in_flight = 0
        pair.timers.advance(0.2)
        pair.transports[0].other = pair.peers[1]
        pair.timers.advance(1.2)
        assert pair.engine(1).load() == 0

    def test_change_at_one_of_many_targets_is_told_in_few_bytes(self, pair):
        for gateway_fleet in pair.fleets:
            for number in range(60):
                gateway_fleet.put(target(f"engine-{number}", EngineRole.DECODE))
        for estimate in pair.fleets[0].targets_by_id.values():
            estimate.in_flight = 2
        pair.timers.advance(0.2)
        full_size = len(pair.transports[0].datagrams[-1])
        pair.engine(0).in_flight = 3
        pair.timers.advance(0.2)
        assert pair.engine(1).load() == 3
        assert len(pair.transports[0].datagrams[-1]) < full_size / 10

    def test_counts_of_many_targets_are_told_in_several_messages(self, pair):
        for gateway_fleet in pair.fleets:
            for number in range(300):
                gateway_fleet.put(target(f"engine-of-some-length-{number}"))
        for estimate in pair.fleets[0].targets_by_id.values():
            estimate.in_flight = 2
        pair.timers.advance(0.2)
        loads = [estimate.load() for estimate in pair.fleets[1].targets_by_id.values()]
        assert loads == [2] * 301
        assert all(
            len(data) <= MAX_DATAGRAM_SIZE for data in pair.transports[0].datagrams
        )

    def test_load_of_a_gateway_that_was_killed_is_forgotten(self, pair):
        pair.engine(0).in_flight = 3
        pair.timers.advance(0.2)
        pair.peers[0].stop()
        pair.timers.advance(PEER_TIMEOUT - 0.3)
        assert pair.engine(1).load() == 3
        pair.timers.advance(0.6)
        assert pair.engine(1).load() == 0

    def test_what_waits_at_another_gateway_is_known_within_a_turn(self, pair):
        pair.peers[0].queued_work_by_service = lambda: {"s": 1.5}
        pair.timers.advance(0.2)
        assert pair.fleets[1].prefill_work_at_peers("s") == pytest.approx(1.5)
        pair.peers[0].queued_work_by_service = dict
        pair.timers.advance(0.2)
        assert pair.fleets[1].prefill_work_at_peers("s") == 0

    def test_what_waited_at_a_gateway_that_was_killed_is_forgotten(self, pair):
        pair.peers[0].queued_work_by_service = lambda: {"s": 1.5}
        pair.timers.advance(0.2)
        pair.peers[0].stop()
        pair.timers.advance(PEER_TIMEOUT + 0.3)
        assert pair.fleets[1].prefill_work_at_peers("s") == 0

    def test_steady_load_is_told_once_a_second(self, pair):
        pair.engine(0).in_flight = 3
        pair.timers.advance(10.0)
        assert 9 <= len(pair.transports[0].datagrams) <= 11

    def test_idle_gateway_tells_nothing(self, pair):
        pair.timers.advance(10.0)
        assert pair.transports[0].datagrams == []


class TestReadings:
    def test_other_gateway_counts_a_reading_until_its_end(self, pair):
        pair.peers[0].broadcast(PrefillStarted(1, ENGINE_KEY, 5000, [(1, 5000)]))
        assert pair.engine(1).backlog(pair.timers.now()) > 0
        pair.peers[0].broadcast(PrefillEnded(1, ENGINE_KEY, True))
        assert pair.engine(1).backlog(pair.timers.now()) == 0
        assert pair.engine(1).fetchable.cached_tokens([PromptPart(1, 5000)]) == 5000

    def test_reading_of_an_earlier_life_is_not_counted_at_a_later_one(self, pair):
        engine = pair.engine(1)
        pair.fleets[1].put(engine.target._replace(born=2))
        pair.peers[0].broadcast(
            PrefillStarted(1, target_key("e", 1), 5000, [(1, 5000)])
        )
        pair.peers[0].broadcast(RoleChanging("e", 60.0, 1))
        later = pair.engine(1)
        assert later.backlog(pair.timers.now()) == 0
        assert later.parts.cached_tokens([PromptPart(1, 5000)]) == 0
        assert later.is_usable(pair.timers.now())

    def test_counts_that_changed_go_along(self, pair):
        pair.engine(0).in_flight = 2
        pair.peers[0].broadcast(PrefillStarted(1, ENGINE_KEY, 5000, []))
        assert len(pair.transports[0].datagrams) == 1
        assert pair.engine(1).load() == 2


class TestLostMessages:
    """Load pattern: datagrams are lost on a saturated link."""

    def start_prefill(self, pair, open_numbers=(1,)):
        pair.peers[0].open_prefills = lambda: OpenPrefills(2, list(open_numbers))
        pair.peers[0].broadcast(PrefillStarted(1, ENGINE_KEY, 5000, [(1, 5000)]))
        assert pair.engine(1).backlog(pair.timers.now()) > 0

    def test_lost_end_of_a_reading_is_made_up_for_within_a_second(self, pair):
        self.start_prefill(pair)
        pair.transports[0].other = None
        pair.peers[0].open_prefills = lambda: OpenPrefills(2, [])
        pair.peers[0].broadcast(PrefillEnded(1, ENGINE_KEY, True))
        pair.transports[0].other = pair.peers[1]
        pair.timers.advance(1.2)
        assert pair.engine(1).prefills_by_ticket == {}

    def test_open_readings_stay(self, pair):
        self.start_prefill(pair)
        pair.timers.advance(1.2)
        assert len(pair.engine(1).prefills_by_ticket) == 1

    def test_reading_told_before_what_was_open_earlier_stays(self, pair):
        self.start_prefill(pair)
        updates = PeerUpdates(pair.fleets[1])
        now = pair.timers.now()
        updates.apply("l", PrefillStarted(7, ENGINE_KEY, 5000, []), now)
        updates.apply("l", OpenPrefills(7, []), now)
        assert "l-7" in pair.engine(1).prefills_by_ticket

    def test_readings_of_a_gateway_that_was_killed_are_forgotten(self, pair):
        self.start_prefill(pair)
        pair.timers.advance(0.3)
        pair.peers[0].stop()
        pair.timers.advance(PEER_TIMEOUT + 0.3)
        assert pair.engine(1).prefills_by_ticket == {}

    def test_readings_of_an_earlier_life_are_forgotten_at_once(self, pair):
        updates = PeerUpdates(pair.fleets[1])
        updates.apply("first", InFlight("g", {}, True), 0.0)
        updates.apply("first", PrefillStarted(7, ENGINE_KEY, 5000, []), 0.0)
        updates.apply("second", InFlight("g", {}, True), 0.1)
        assert pair.engine(1).prefills_by_ticket == {}


class TestBusyLink:
    """Load pattern: a gateway whose link is saturated by prompts and responses."""

    @pytest.fixture
    def egress_queue(self, pair):
        egress_queue = EgressQueue(5.0, pair.timers)
        pair.peers[0]._egress_queue = egress_queue
        return egress_queue

    def test_messages_wait_and_share_a_datagram(self, pair, egress_queue):
        egress_queue.record_sent(20_000)
        for number in range(4):
            pair.peers[0].broadcast(PrefillStarted(number, ENGINE_KEY, 500, []))
        assert pair.transports[0].datagrams == []
        pair.timers.advance(0.04)
        assert len(pair.transports[0].datagrams) == 1
        assert len(pair.engine(1).prefills_by_ticket) == 4

    def test_they_wait_no_longer_than_told(self, pair, egress_queue):
        egress_queue.record_sent(2_000_000)
        pair.peers[0].broadcast(PrefillStarted(1, ENGINE_KEY, 500, []))
        pair.timers.advance(0.051)
        assert len(pair.transports[0].datagrams) == 1

    def test_reading_is_told_in_few_bytes(self, pair):
        parts = [(2**31, 2_500), (2**32, 3_800), (2**32 - 1, 2_900)]
        pair.peers[0].broadcast(PrefillStarted(3_000, ENGINE_KEY, 4_000, parts, 0, 15))
        pair.peers[0].broadcast(PrefillEnded(3_000, ENGINE_KEY, True))
        assert sum(len(data) for data in pair.transports[0].datagrams[-2:]) <= 100


class TestChoice:
    """Load pattern: far more gateways than one may send load updates to."""

    def entries(self, count):
        return {
            f"g{number}": GatewayEntry(f"10.0.0.{number}:1", "l", f"dc-{number % 4}")
            for number in range(count)
        }

    def chosen(self, name, entries, most=MAX_GATEWAYS):
        cells = Cells(most)
        cells.update_cells(
            {other: entry.data_centre for other, entry in entries.items()}
        )
        cell = cells.of(name, entries[name].data_centre)
        return choose_peers(name, cell, cells, entries)

    @pytest.mark.parametrize("count", [30, 68])
    def test_all_are_told_up_to_a_bound(self, count):
        chosen = self.chosen("g0", self.entries(count))
        assert len(chosen) == count - 1
        assert "g0" not in chosen

    def test_number_told_does_not_grow_with_the_deployment(self):
        for count in (150, 300, 1_000):
            chosen = self.chosen("g0", self.entries(count))
            assert len(chosen) <= 1.2 * MAX_GATEWAYS

    def test_own_data_centre_is_told_whole(self):
        entries = self.entries(300)
        chosen = self.chosen("g0", entries)
        near = {name for name in entries if entries[name].data_centre == "dc-0"}
        assert near - {"g0"} <= set(chosen)

    def test_telling_is_mutual(self):
        entries = self.entries(500)
        chosen_by_name = {name: self.chosen(name, entries) for name in entries}
        for name, chosen in chosen_by_name.items():
            assert all(name in chosen_by_name[other] for other in chosen)


class TestOutbox:
    def test_no_datagram_is_too_large(self):
        outbox = PeerOutbox("life")
        for number in range(100):
            parts = [(number, 1)] * (number % 40)
            assert outbox.add(PrefillStarted(number, ENGINE_KEY, 1, parts))
        datagrams = outbox.take()
        assert len(datagrams) > 1
        assert all(len(datagram) <= MAX_DATAGRAM_SIZE for datagram in datagrams)
        assert outbox.take() == []

    def test_message_that_fits_into_no_datagram_is_not_taken(self):
        outbox = PeerOutbox("life")
        assert not outbox.add(
            PrefillStarted(1, ENGINE_KEY, 1, [(1, 1)] * MAX_DATAGRAM_SIZE)
        )
        assert outbox.take() == []


def test_bytes_that_are_no_message_are_dropped(pair):
    pair.peers[0].datagramReceived(b"\x93\x01", ("127.0.0.1", 1))
    assert pair.engine(0).load() == 0


NUMBERS = st.floats() | st.integers(-(2**63), 2**63) | VALUES
PARTS = st.lists(st.lists(st.integers(-9, 2**64 - 1), max_size=2), max_size=2)
# Messages with valid or arbitrary field values, and arbitrary other datagrams.
MESSAGES = st.one_of(
    st.tuples(st.just("b"), NUMBERS, st.just(ENGINE_KEY) | NUMBERS, NUMBERS, PARTS),
    st.tuples(
        st.just("e"), NUMBERS, st.just(ENGINE_KEY) | NUMBERS, st.booleans(), NUMBERS
    ),
    st.tuples(st.just("f"), st.just("g"), st.just({"e": 2}) | VALUES, st.booleans()),
    st.tuples(
        st.just("f"), st.just("g"), NUMBERS.map(lambda n: {"e": n}), st.booleans()
    ),
    st.tuples(st.just("r"), st.just("e"), NUMBERS),
    st.tuples(st.just("o"), NUMBERS, st.lists(NUMBERS, max_size=3)),
)
DATAGRAMS = (
    st.lists(MESSAGES.map(list), max_size=3).map(
        lambda messages: msgspec.msgpack.encode(("life", messages))
    )
    | VALUES.map(msgspec.msgpack.encode)
    | st.binary(max_size=60)
)


class TestAnyDatagram:
    @settings(max_examples=10_000, deadline=None)
    @given(datagram=DATAGRAMS)
    def test_any_datagram_leaves_beliefs_that_can_be_used(self, datagram):
        pair = GatewayPair()
        pair.peers[0].datagramReceived(datagram, ("127.0.0.1", 1))
        engine = pair.engine(0)
        assert engine.backlog(0.0) >= 0
        assert engine.load() >= 0
        assert 0 < engine.prefill_time(1000) < 1000
        assert engine.is_usable(MAX_ROLE_CHANGE_TIME)
