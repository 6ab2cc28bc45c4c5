"""Assignment of gateways and targets to cells, equal at all gateways."""

import pytest

from pimentolink.cells import Cells
from pimentolink.targetestimate import EngineRole
from tests.gatewaybuilders import fleet, target


def data_centre_by_gateway(gateways, data_centres):
    return {f"g{n}": f"dc-{n % data_centres}" for n in range(gateways)}


def cells_for(gateways, data_centres, max_gateways=32):
    cells = Cells(max_gateways)
    cells.update_cells(data_centre_by_gateway(gateways, data_centres))
    return cells


class TestCells:
    def test_few_gateways_are_one_cell(self):
        cells = cells_for(32, 4)
        assert cells.count == 1
        assert cells.of("any", "dc-unknown") == 0

    @pytest.mark.parametrize("data_centres", [1, 3, 6, 31])
    def test_each_cell_has_a_like_share_of_gateways_and_targets(self, data_centres):
        cells = cells_for(330, data_centres)
        for prefix, max_size in (("g", 2.5 * 32), ("engine-", 2.5 * 100)):
            count = 330 if prefix == "g" else 1_000
            sizes = dict.fromkeys(range(cells.count), 0)
            for number in range(count):
                cell = cells.of(f"{prefix}{number}", f"dc-{number % data_centres}")
                sizes[cell] += 1
            assert min(sizes.values()) > 0
            assert max(sizes.values()) <= max_size

    def test_data_centre_stays_whole(self):
        cells = cells_for(330, 31)
        assert len({cells.of(f"engine-{n}", "dc-3") for n in range(50)}) == 1

    def test_order_of_the_list_makes_no_difference(self):
        from_reversed = Cells(32)
        from_reversed.update_cells(
            dict(reversed(data_centre_by_gateway(100, 6).items()))
        )
        from_given = cells_for(100, 6)
        assert [from_given.of("e", f"dc-{n}") for n in range(6)] == [
            from_reversed.of("e", f"dc-{n}") for n in range(6)
        ]

    def test_one_gateway_more_changes_nothing(self):
        cells = cells_for(100, 6)
        assert not cells.update_cells(data_centre_by_gateway(101, 6))
        assert cells.update_cells(data_centre_by_gateway(200, 6))


class TestFleetInCells:
    def fleet_in_cells(self, *targets):
        divided_fleet = fleet(*targets)
        cells = cells_for(64, 2)
        divided_fleet.update_cells(cells, cells.of("g0", "dc-0"))
        return divided_fleet

    def test_engines_of_the_own_cell_get_work(self):
        divided_fleet = self.fleet_in_cells(
            target("own", EngineRole.PREFILL, data_centre="dc-0"),
            target("other", EngineRole.PREFILL, data_centre="dc-1"),
        )
        assert [item.target.target_id for item in divided_fleet.usable("s", 0.0)] == [
            "own"
        ]
        assert divided_fleet.usable_count("s", 0.0) == 1

    def test_other_cells_get_work_once_the_own_one_takes_none(self):
        divided_fleet = self.fleet_in_cells(
            target("own", EngineRole.PREFILL, data_centre="dc-0"),
            target("other", EngineRole.PREFILL, data_centre="dc-1"),
        )
        divided_fleet.targets_by_id["own"].missing_since = 0.0
        assert [item.target.target_id for item in divided_fleet.usable("s", 0.0)] == [
            "other"
        ]

    def test_cell_without_targets_uses_all(self):
        divided_fleet = self.fleet_in_cells(
            target("other", EngineRole.PREFILL, data_centre="dc-1")
        )
        assert [item.target.target_id for item in divided_fleet.usable("s", 0.0)] == [
            "other"
        ]
        assert divided_fleet.usable_count("s", 0.0) == 1
