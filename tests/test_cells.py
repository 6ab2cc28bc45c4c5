"""Gateways and targets of a large deployment, divided alike by all gateways."""

import pytest

from pimentolink.cells import Cells
from pimentolink.targetestimate import EngineRole
from tests.gatewayparts import fleet, target


def places(gateways, data_centres):
    return {f"g{n}": f"dc-{n % data_centres}" for n in range(gateways)}


def divided(gateways, data_centres, most=32):
    cells = Cells(most)
    cells.divide(places(gateways, data_centres))
    return cells


class TestCells:
    def test_few_gateways_are_one_cell(self):
        cells = divided(32, 4)
        assert cells.count == 1
        assert cells.of("any", "dc-unknown") == 0

    @pytest.mark.parametrize("data_centres", [1, 3, 6, 31])
    def test_each_cell_has_a_like_share_of_gateways_and_targets(self, data_centres):
        cells = divided(330, data_centres)
        for names, most in (("g", 2.5 * 32), ("engine-", 2.5 * 100)):
            count = 330 if names == "g" else 1_000
            sizes = dict.fromkeys(range(cells.count), 0)
            for number in range(count):
                cell = cells.of(f"{names}{number}", f"dc-{number % data_centres}")
                sizes[cell] += 1
            assert min(sizes.values()) > 0
            assert max(sizes.values()) <= most

    def test_data_centre_stays_whole(self):
        cells = divided(330, 31)
        assert len({cells.of(f"engine-{n}", "dc-3") for n in range(50)}) == 1

    def test_order_of_the_list_makes_no_difference(self):
        there = Cells(32)
        there.divide(dict(reversed(places(100, 6).items())))
        here = divided(100, 6)
        assert [here.of("e", f"dc-{n}") for n in range(6)] == [
            there.of("e", f"dc-{n}") for n in range(6)
        ]

    def test_one_gateway_more_changes_nothing(self):
        cells = divided(100, 6)
        assert not cells.divide(places(101, 6))
        assert cells.divide(places(200, 6))


class TestFleetInCells:
    def known(self, *targets):
        found = fleet(*targets)
        cells = divided(64, 2)
        found.divide(cells, cells.of("g0", "dc-0"))
        return found

    def test_engines_of_the_own_cell_get_work(self):
        found = self.known(
            target("own", EngineRole.PREFILL, data_centre="dc-0"),
            target("other", EngineRole.PREFILL, data_centre="dc-1"),
        )
        assert [item.target.target_id for item in found.usable("s", 0.0)] == ["own"]
        assert found.usable_count("s", 0.0) == 1

    def test_other_cells_get_work_once_the_own_one_takes_none(self):
        found = self.known(
            target("own", EngineRole.PREFILL, data_centre="dc-0"),
            target("other", EngineRole.PREFILL, data_centre="dc-1"),
        )
        found.targets_by_id["own"].missing_since = 0.0
        assert [item.target.target_id for item in found.usable("s", 0.0)] == ["other"]

    def test_cell_without_targets_uses_all(self):
        found = self.known(target("other", EngineRole.PREFILL, data_centre="dc-1"))
        assert [item.target.target_id for item in found.usable("s", 0.0)] == ["other"]
        assert found.usable_count("s", 0.0) == 1
