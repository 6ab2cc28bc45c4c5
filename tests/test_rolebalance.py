"""Swings of the mix replayed against the decision on roles."""

from pimentolink.gatewaysettings import RoleSettings
from pimentolink.rolebalance import RoleBalancer
from pimentolink.targetestimate import EngineRole
from tests.gatewayparts import engines, fleet


def replay(found, streams_at, seconds, unmet_at=lambda second: 0.0, readings_at=None):
    """
    Observe once a second; return the changes that were decided.

    :param unmet_at: engine seconds a second of prompts turned away.
    :param readings_at: prompts that each writer reads, which count as in flight too.
    """
    balancer = RoleBalancer(RoleSettings(), found)
    changes = []
    for second in range(seconds):
        writers = [
            engine
            for engine in found.of_service("s")
            if engine.target.role is EngineRole.DECODE
        ]
        for engine in writers:
            engine.in_flight = round(streams_at(second) / max(1, len(writers)))
            engine.prefills_by_ticket.clear()
            for number in range(readings_at(second) if readings_at else 0):
                engine.start_prefill(f"r{number}", 4_000, (), float(second))
                engine.in_flight += 1
        balancer.unmet_prefill = lambda service, second=second: unmet_at(second)
        balancer.observe("s", float(second))
        change = balancer.decide("s", float(second))
        if change is not None:
            changes.append((second, change.role))
            found.put(change.estimate.target._replace(role=change.role))
            balancer.begun("s", float(second))
    return changes


class TestLongPrompts:
    def test_writers_become_readers_before_the_first_load_but_for_two(self):
        found = fleet(*engines(2, 3))
        changes = replay(found, lambda second: 0, 20)
        assert [role for _, role in changes] == [EngineRole.PREFILL]

    def test_prompts_turned_away_make_readers_of_writers_with_few_answers(self):
        found = fleet(*engines(2, 4))
        changes = replay(found, lambda second: 10, 20, lambda second: 1.5)
        assert [role for _, role in changes] == [EngineRole.PREFILL] * 2

    def test_writers_that_are_needed_stay_while_prompts_are_turned_away(self):
        found = fleet(*engines(2, 4))
        changes = replay(found, lambda second: 180, 20, lambda second: 1.5)
        assert changes == []

    def test_a_share_of_a_large_fleet_goes_on_writing(self):
        found = fleet(*engines(9, 18))
        replay(found, lambda second: 30, 120, lambda second: 4.0)
        roles = [engine.target.role for engine in found.of_service("s")]
        assert roles.count(EngineRole.DECODE) == 6

    def test_writers_stay_in_each_data_centre(self):
        targets = engines(0, 5)
        homes = ("north", "north", "north", "north", "south")
        found = fleet(
            *(
                item._replace(data_centre=home)
                for item, home in zip(targets, homes, strict=True)
            )
        )
        replay(found, lambda second: 0, 20)
        writers = [
            engine.target.data_centre
            for engine in found.of_service("s")
            if engine.target.role is EngineRole.DECODE
        ]
        assert sorted(writers) == ["north", "south"]


class TestLongAnswers:
    def test_lasting_load_makes_readers_write(self):
        found = fleet(*engines(3, 2))
        changes = replay(found, lambda second: 220, 30)
        assert [role for _, role in changes] == [EngineRole.DECODE] * 2

    def test_no_more_than_what_answers_need(self):
        found = fleet(*engines(8, 2))
        replay(found, lambda second: 180, 120)
        roles = [engine.target.role for engine in found.of_service("s")]
        assert roles.count(EngineRole.DECODE) <= 4


class TestIdleReaders:
    """Pattern: a burst of long answers while readers are mostly idle."""

    def changed_after(self, busy_share):
        found = fleet(*engines(17, 5))
        balancer = RoleBalancer(RoleSettings(), found)
        readers = [item for item in found.of_service("s") if not item.is_decode_engine]
        ordered = 0
        for second in range(20):
            now = float(second)
            for number, reader in enumerate(readers):
                reader.prefills_by_ticket.clear()
                if number < busy_share * len(readers):
                    reader.start_prefill("r", 90_000, (), now)
            for writer in found.of_service("s"):
                if writer.is_decode_engine:
                    writer.in_flight = 10 if second < 10 else 80
            balancer.observe("s", now)
            ordered += len(balancer.decide_all("s", now))
            if ordered:
                return second - 10
        return None

    def test_they_write_soon(self):
        assert self.changed_after(0.2) <= 2

    def test_busy_ones_are_taken_later(self):
        assert self.changed_after(1.0) > self.changed_after(0.2)


class TestCalmThenBurst:
    """Pattern: after calm seconds prompts come that even writers must read."""

    def test_prompts_read_at_writers_take_no_reader_away(self):
        found = fleet(*engines(4, 2))
        changes = replay(
            found,
            lambda second: 20,
            40,
            lambda second: 0.0 if second < 10 else 2.0,
            lambda second: 0 if second < 10 else 60,
        )
        assert [role for _, role in changes if role is EngineRole.DECODE] == []


class TestSwings:
    def test_swings_shorter_than_the_horizon_cause_no_change(self):
        found = fleet(*engines(3, 2))
        changes = replay(found, lambda second: 145 if second % 4 < 2 else 5, 60)
        assert changes == []

    def test_swings_of_both_kinds_by_turns_cause_no_change(self):
        found = fleet(*engines(3, 3))
        changes = replay(
            found,
            lambda second: 200 if second % 6 < 3 else 5,
            60,
            lambda second: 0.0 if second % 6 < 3 else 1.5,
        )
        assert changes == []

    def test_one_engine_changes_at_a_time(self):
        found = fleet(*engines(2, 5))
        balancer = RoleBalancer(RoleSettings(), found)
        balancer.observe("s", 0.0)
        first = balancer.decide("s", 0.0)
        first.estimate.changing_until = 5.0
        assert balancer.decide("s", 3.0) is None
        assert balancer.decide("s", 5.1) is not None

    def test_a_large_fleet_changes_a_quarter_at_a_time(self):
        found = fleet(*engines(4, 18))
        balancer = RoleBalancer(RoleSettings(), found)
        ordered = []
        for second in range(12):
            balancer.observe("s", float(second))
            change = balancer.decide("s", float(second))
            if change is not None:
                change.estimate.changing_until = second + 100.0
                balancer.begun("s", float(second))
                balancer.accepted("s", change)
                ordered.append(change.estimate.target.target_id)
        assert len(ordered) == len(set(ordered)) == 5

    def test_a_large_fleet_is_changed_in_few_rounds(self):
        found = fleet(*engines(12, 27))
        balancer = RoleBalancer(RoleSettings(), found)
        balancer.observe("s", 0.0)
        changes = balancer.decide_all("s", 0.0)
        names = {change.estimate.target.target_id for change in changes}
        assert len(names) == len(changes) == 9
        assert {change.role for change in changes} == {EngineRole.PREFILL}

    def test_a_round_goes_no_further_than_regret_pays_for(self):
        found = fleet(*engines(4, 20))
        balancer = RoleBalancer(RoleSettings(), found)
        for engine in found.of_service("s"):
            engine.in_flight = 1
        balancer.unmet_prefill = lambda service: 7.0
        balancer.observe("s", 0.0)
        balancer.observe("s", 2.0)
        assert len(balancer.decide_all("s", 2.0)) == 2

    def test_orders_that_were_not_given_are_decided_again(self):
        found = fleet(*engines(12, 27))
        balancer = RoleBalancer(RoleSettings(), found)
        balancer.observe("s", 0.0)
        first = balancer.decide_all("s", 0.0)
        assert len(balancer.decide_all("s", 0.1)) == len(first)

    def test_at_least_one_engine_reads(self):
        found = fleet(*engines(1, 1))
        assert replay(found, lambda second: 500, 10) == []
