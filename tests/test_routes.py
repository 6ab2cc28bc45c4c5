"""Route matching, traffic splits and versions of the routing table."""

from random import Random

from result import Err

from pimentolink.routes import RoutingTable, RoutingTables, WeightedService
from tests.gatewaybuilders import route


def table(version=1, *routes):
    return RoutingTable(version, list(routes), [], None)


class TestMatch:
    def test_longest_prefix_wins(self):
        routing_table = table(
            1, route(name="a", prefix="/p/"), route(name="b", prefix="/p/q/")
        )
        assert routing_table.match("h.example", "/p/q/x?y=/z/").unwrap().name == "b"
        assert routing_table.match("H.example", "/p/qx").unwrap().name == "a"

    def test_prefix_must_end_at_a_slash(self):
        routing_table = table(1, route(prefix="/p/"))
        assert isinstance(routing_table.match("h.example", "/px/"), Err)
        assert isinstance(routing_table.match("other.example", "/p/"), Err)

    def test_root_prefix_matches_everything_of_its_host(self):
        routing_table = table(1, route(prefix="/"))
        assert routing_table.match("h.example", "/any/thing").is_ok()


class TestSplit:
    def test_requests_follow_the_weights(self):
        split = route(services=(WeightedService("a", 90), WeightedService("b", 10)))
        random = Random(1)
        picked = [split.pick_service(random) for _ in range(2_000)]
        assert 0.07 < picked.count("b") / len(picked) < 0.13


class TestVersions:
    def test_older_version_never_replaces_a_newer_one(self):
        tables = RoutingTables()
        assert isinstance(tables.current(), Err)
        assert tables.offer(table(7), 0.0)
        assert not tables.offer(table(6), 0.0)
        assert not tables.offer(table(7), 0.0)
        assert tables.offer(table(12), 0.0)
        assert tables.current().unwrap().version == 12
