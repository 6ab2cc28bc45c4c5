"""How a gateway applies targets, gateways and configuration from the store."""

import json
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentolink.configurationage import ConfigurationAge
from pimentolink.dialect import PromptPart
from pimentolink.fleet import Fleet
from pimentolink.gatewaysettings import EjectionSettings, PlacementSettings
from pimentolink.keyspacefollower import KeyspaceFollower
from pimentolink.logs import Log
from pimentolink.membership import Membership
from pimentolink.memorykeyspace import MemoryKeyspace
from pimentolink.platform.documents import PlatformDocuments
from pimentolink.routes import RoutingTables
from pimentolink.settings import split_address
from pimentolink.targetestimate import EngineRole
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import MODEL, gateway_settings
from tests.jsonvalues import DOCUMENTS, documents_with


def entry(**changes):
    fields = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "north",
        "slots": 4,
        "state": "ready",
        "sequence": 3,
    }
    return json.dumps({**fields, **changes}).encode()


def configuration(version, *prefixes):
    routes = [
        {
            "name": prefix,
            "host": "h.example",
            "prefix": prefix,
            "kind": "idempotent",
            "timeoutMs": 800,
            "service": "s",
        }
        for prefix in prefixes
    ]
    return json.dumps({"version": version, "routes": routes, "services": []}).encode()


def captured_output(capfd):
    return "".join(capfd.readouterr())


class World:
    """A store, its follower and the gateway state that the follower updates."""

    def __init__(self):
        self.timers = ManualTimers()
        self.store = MemoryKeyspace(self.timers)
        self.tables = RoutingTables()
        self.fleet = Fleet(PlacementSettings(), EjectionSettings(), Random(1))
        self.gone = []
        settings = gateway_settings().store
        log = Log()
        self.age = ConfigurationAge(5.0, self.timers, log)
        self.membership = Membership(
            self.tables,
            self.fleet,
            self.age,
            PlatformDocuments(),
            settings,
            self.timers,
            log,
        )
        self.membership.on_target_removed = self.gone.append
        self.follower = KeyspaceFollower(
            "", self.store, self.membership, settings, self.timers, Random(1), log
        )
        self.follower.start()

    def usable(self):
        # The follower waits for ``gather`` seconds between changes and the next watch.
        self.timers.advance(0.3)
        now = self.timers.now()
        return {item.target.target_id for item in self.fleet.usable("s", now)}


@pytest.fixture
def world():
    return World()


class TestTargets:
    def test_target_is_used_as_soon_as_it_is_listed(self, world):
        world.store.put("servers/a", entry(phase="prefill"))
        assert world.usable() == {"a"}
        assert world.fleet.targets_by_id["a"].target.role is EngineRole.PREFILL

    def test_leaving_target_gets_no_more_work(self, world):
        world.store.put("servers/a", entry())
        world.store.put("servers/a", entry(state="draining"))
        assert world.usable() == set()

    def test_removed_target_is_gone_at_once(self, world):
        world.store.put("servers/a", entry())
        world.timers.advance(0.3)
        world.store.remove("servers/a")
        assert world.usable() == set()
        assert world.gone == ["a"]

    def test_work_that_holds_on_to_a_gone_target_cannot_choose_it(self, world):
        world.store.put("servers/a", entry())
        estimate = world.fleet.targets_by_id["a"]
        world.store.remove("servers/a")
        world.timers.advance(0.3)
        assert not estimate.is_usable(world.timers.now())

    def test_unreadable_entry_names_no_target_until_its_own_is_back(self, world):
        world.store.put("servers/a", entry())
        world.store.put("servers/b", entry())
        world.timers.advance(0.3)
        estimate = world.fleet.targets_by_id["a"]
        world.store.put("servers/a", b"{")
        assert world.usable() == {"b"}
        world.store.put("servers/a", entry())
        assert world.usable() == {"a", "b"}
        assert world.fleet.targets_by_id["a"] is estimate

    @pytest.mark.parametrize(
        "document",
        [
            b"\xff\xfe",
            b"[]",
            b"{}",
            entry(state="sleeping"),
            entry(state=None),
            entry(phase="mixed"),
            entry(service=7),
            entry(service=""),
            entry(slots="4"),
            entry(slots=0),
            entry(born="1764725000000"),
            entry(born=1.5),
            json.dumps({"address": "10.0.0.1:80", "service": "s"}).encode(),
        ],
    )
    def test_entry_of_another_writer_names_no_target(self, world, document):
        world.store.put("servers/a", entry())
        world.store.put("servers/stranger", document)
        assert world.usable() == {"a"}

    def test_entry_of_another_writer_is_logged_once_for_each_content(
        self, world, capfd
    ):
        for document in (b"{", b"{", b"[", b"["):
            world.store.put("servers/stranger", document)
            world.timers.advance(0.3)
        world.follower.restart()
        world.timers.advance(3.0)
        assert captured_output(capfd).count("E1103") == 2


class TestRestartUnderTheSameName:
    """
    An engine restarts and keeps its name. What the gateway estimated for the earlier
    process (load, cached prompts, failures) must not carry over to the new one.
    """

    @pytest.fixture
    def estimate(self, world):
        world.store.put("servers/a", entry(phase="prefill", born=1000))
        world.timers.advance(0.3)
        estimate = world.fleet.targets_by_id["a"]
        parts = (PromptPart(1, 500),)
        estimate.set_model(MODEL)
        estimate.start_prefill("t", 500, parts, world.timers.now())
        estimate.fetched(parts)
        estimate.in_flight = 3
        estimate.changing_until = 99.0
        estimate.failed(world.timers.now(), EjectionSettings(failures=1))
        return estimate

    def test_later_life_is_believed_from_nothing(self, world, estimate):
        world.store.put("servers/a", entry(phase="prefill", born=1001))
        assert world.usable() == {"a"}
        later = world.fleet.targets_by_id["a"]
        assert later is not estimate
        assert later.backlog(world.timers.now()) == 0
        assert later.load() == 0
        assert later.fetchable.cached_tokens([PromptPart(1, 500)]) == 0
        assert later.parts.cached_tokens([PromptPart(1, 500)]) == 0
        assert not later.is_ejected(world.timers.now())
        assert world.gone == ["a"]

    def test_work_that_holds_on_to_the_earlier_life_cannot_use_it(
        self, world, estimate
    ):
        world.store.put("servers/a", entry(phase="prefill", born=1001))
        world.timers.advance(0.3)
        assert estimate.is_replaced
        assert not estimate.is_usable(world.timers.now())

    def test_each_incarnation_is_reported_once(self, world):
        listed = []
        world.membership.on_target_listed = listed.append
        for born, sequence in ((1000, 1), (1000, 2), (1001, 1), (1000, 3)):
            world.store.put("servers/a", entry(born=born, sequence=sequence))
            world.timers.advance(0.3)
        assert [estimate.target.born for estimate in listed] == [1000, 1001]
        assert listed[0].successor is listed[1]

    def test_late_entry_of_the_earlier_life_changes_nothing(self, world, estimate):
        world.store.put("servers/a", entry(phase="prefill", born=1001))
        world.timers.advance(0.3)
        later = world.fleet.targets_by_id["a"]
        world.store.put("servers/a", entry(state="draining", born=1000))
        assert world.usable() == {"a"}
        assert world.fleet.targets_by_id["a"] is later

    def test_same_life_keeps_what_is_believed(self, world, estimate):
        world.store.put("servers/a", entry(phase="prefill", born=1000, sequence=4))
        world.timers.advance(0.3)
        assert world.fleet.targets_by_id["a"] is estimate


class TestOutage:
    def test_targets_known_stay_in_use(self, world):
        world.store.put("servers/a", entry())
        world.store.set_down(True)
        world.timers.advance(30.0)
        assert world.usable() == {"a"}
        assert not world.follower.is_connected
        assert world.follower.age() >= 30.0

    def test_entry_that_lapsed_meanwhile_is_waited_for(self, world):
        world.store.put("servers/a", entry())
        world.timers.advance(0.3)
        world.store.set_down(True)
        world.store.remove("servers/a")
        world.store.set_down(False)
        world.timers.advance(1.5)
        assert world.usable() == set()
        assert world.gone == []
        world.store.put("servers/a", entry())
        assert world.usable() == {"a"}
        world.timers.advance(5.0)
        assert world.usable() == {"a"}

    def test_entry_that_does_not_return_is_gone(self, world):
        world.store.put("servers/a", entry())
        world.timers.advance(0.3)
        world.store.set_down(True)
        world.store.remove("servers/a")
        world.store.set_down(False)
        world.timers.advance(5.0)
        assert world.gone == ["a"]

    def test_changes_missed_in_lost_history_are_read(self, world):
        world.store.put("servers/a", entry())
        world.store.put("op/config", configuration(1, "/p/"))
        world.follower.stop()
        world.store.put("op/config", configuration(4, "/q/"))
        world.store.remove("servers/a")
        world.store.compact()
        world.follower.start()
        world.timers.advance(3.0)
        assert world.tables.table.version == 4
        assert world.usable() == set()


class TestConfiguration:
    def test_version_in_force_never_reverts(self, world):
        world.store.put("op/config", configuration(7, "/p/"))
        world.store.put("op/config", configuration(5, "/q/"))
        world.timers.advance(0.3)
        assert world.tables.table.version == 7

    def test_unreadable_configuration_leaves_the_last_in_force(self, world):
        world.store.put("op/config", configuration(7, "/p/"))
        world.store.put("op/config", b'{"version": 8}')
        assert world.tables.table.version == 7


class TestGateways:
    def test_peers_come_and_go_with_their_leases(self, world):
        value = json.dumps({"address": "10.0.0.2:7", "life": "x"}).encode()
        world.store.put("pimentolink/gateways/two", value)
        found = world.membership.gateways_by_name
        assert {name: found[name].address for name in found} == {"two": "10.0.0.2:7"}
        world.store.remove("pimentolink/gateways/two")
        world.timers.advance(0.3)
        assert world.membership.gateways_by_name == {}

    def test_entry_that_cannot_be_read_stops_nothing(self, world):
        world.store.put("pimentolink/gateways/two", b"{")
        world.store.put("servers/a", entry())
        assert world.usable() == {"a"}
        assert world.membership.gateways_by_name == {}


class TestAnyDocument:
    @settings(max_examples=10_000, deadline=None)
    @given(
        key=st.sampled_from(
            ["pimentolink/gateways/g", "servers/a", "op/config", "pimentolink/orders"]
        ),
        document=documents_with(
            "version", "phase", address="10.0.0.1:80", life="l", service="s", zone="z"
        )
        | DOCUMENTS,
    )
    def test_whatever_is_written_the_follower_goes_on(self, key, document):
        world = World()
        world.store.put(key, document)
        world.store.put("servers/b", entry())
        assert "b" in world.usable()
        for gateway in world.membership.gateways_by_name.values():
            split_address(gateway.address)


class TestRestoredStore:
    """
    The store is restored from a copy that is some seconds old. It lists targets again
    that this gateway saw leaving or removed, and lacks later gateways and a later
    configuration.
    """

    def restore(self, world, copy):
        world.store.restore(copy)
        world.follower.restart()
        world.timers.advance(0.3)

    def test_leaving_of_a_target_is_not_forgotten(self, world):
        world.store.put("servers/a", entry(born=5))
        world.store.put("servers/b", entry(born=5))
        copy = world.store.copy()
        world.store.put("servers/a", entry(born=5, state="draining"))
        assert world.usable() == {"b"}
        self.restore(world, copy)
        assert world.usable() == {"b"}
        world.store.put("servers/a", entry(born=5, state="draining"))
        assert world.usable() == {"b"}

    def test_leaving_of_a_target_that_had_been_away_is_not_dropped(self, world):
        """
        Guards against work for a target that drains.

        Its entry had been removed and was back, but it still counted as ended.
        """
        for name in ("a", "b"):
            world.store.put(f"servers/{name}", entry(born=5))
        world.timers.advance(0.3)
        world.store.remove("servers/a")
        world.timers.advance(0.3)
        world.store.put("servers/a", entry(born=5))
        assert world.usable() == {"a", "b"}
        self.restore(world, world.store.copy())
        world.store.put("servers/a", entry(born=5, state="draining"))
        assert world.usable() == {"b"}

    def test_target_that_was_removed_stays_gone(self, world):
        world.store.put("servers/a", entry(born=5))
        world.store.put("servers/b", entry(born=5))
        copy = world.store.copy()
        world.timers.advance(0.3)
        world.store.remove("servers/a")
        assert world.usable() == {"b"}
        self.restore(world, copy)
        assert world.usable() == {"b"}

    def test_later_life_of_a_target_is_used(self, world):
        world.store.put("servers/a", entry(born=5))
        copy = world.store.copy()
        world.timers.advance(0.3)
        world.store.remove("servers/a")
        world.timers.advance(0.3)
        self.restore(world, copy)
        world.store.put("servers/a", entry(born=6))
        assert world.usable() == {"a"}

    def test_target_that_the_copy_lacks_may_be_listed_again(self, world):
        copy = world.store.copy()
        world.store.put("servers/a", entry(born=5))
        assert world.usable() == {"a"}
        self.restore(world, copy)
        world.timers.advance(1.0)
        world.store.put("servers/a", entry(born=5))
        assert world.usable() == {"a"}

    def test_configuration_in_force_stays(self, world):
        world.store.put("op/config", configuration(3, "/a/"))
        copy = world.store.copy()
        world.store.put("op/config", configuration(5, "/b/"))
        world.timers.advance(0.3)
        self.restore(world, copy)
        assert world.tables.table.version == 5

    def test_gateway_that_only_the_copy_lists_is_forgotten(self, world):
        def list_itself(name):
            fields = {"address": "10.0.0.1:7", "life": "x", "epoch": world.store.epoch}
            world.store.put(f"pimentolink/gateways/{name}", json.dumps(fields).encode())

        for name in ("g1", "g2", "g3"):
            list_itself(name)
        copy = world.store.copy()
        world.timers.advance(0.3)
        world.store.remove("pimentolink/gateways/g1")
        world.timers.advance(0.3)
        world.store.restore(copy)
        list_itself("g2")
        world.follower.restart()
        world.timers.advance(1.0)
        list_itself("g3")
        world.timers.advance(12.0)
        assert set(world.membership.gateways_by_name) == {"g2", "g3"}


class TestUnexpectedFailure:
    def test_configuration_that_cannot_be_handled_is_not_verified(
        self, world, monkeypatch
    ):
        """A newer configuration may revoke API keys that the current one has."""

        def fail(self, document):
            raise RuntimeError("unexpected")

        world.store.put("op/config", configuration(1, "/p/"))
        world.timers.advance(0.3)
        monkeypatch.setattr(PlatformDocuments, "read_configuration", fail)
        world.store.put("op/config", configuration(2))
        world.timers.advance(3.0)
        world.follower.restart()
        world.timers.advance(3.0)
        assert world.tables.version == 1
        assert not world.age.is_current()
