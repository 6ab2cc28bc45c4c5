"""Role balancing under simulated changes between prefill and decode load."""

from pimentolink.gatewaysettings import RoleSettings
from pimentolink.rolebalance import RoleBalancer
from pimentolink.targetestimate import EngineRole
from tests.gatewaybuilders import engines, fleet


def simulate(
    gateway_fleet, streams_at, seconds, unmet_at=lambda second: 0.0, prefills_at=None
):
    """
    Observe the load and apply decided changes once a second; return the changes.

    :param streams_at: responses being generated in a given second.
    :param unmet_at: prefill work of rejected prompts in a given second, in engine
        seconds per second.
    :param prefills_at: prefills at each decode engine in a given second, which count as
        requests in flight too.
    """
    balancer = RoleBalancer(RoleSettings(), gateway_fleet)
    changes = []
    for second in range(seconds):
        decode_engines = [
            engine
            for engine in gateway_fleet.of_service("s")
            if engine.target.role is EngineRole.DECODE
        ]
        for engine in decode_engines:
            engine.in_flight = round(streams_at(second) / max(1, len(decode_engines)))
            engine.prefills_by_ticket.clear()
            for number in range(prefills_at(second) if prefills_at else 0):
                engine.start_prefill(f"r{number}", 4_000, (), float(second))
                engine.in_flight += 1
        balancer.unmet_prefill = lambda service, second=second: unmet_at(second)
        balancer.observe("s", float(second))
        change = balancer.decide("s", float(second))
        if change is not None:
            changes.append((second, change.role))
            gateway_fleet.put(change.estimate.target._replace(role=change.role))
            balancer.record_order("s", float(second))
    return changes


class TestLongPrompts:
    def test_writers_become_readers_before_the_first_load_but_for_two(self):
        gateway_fleet = fleet(*engines(2, 3))
        changes = simulate(gateway_fleet, lambda second: 0, 20)
        assert [role for _, role in changes] == [EngineRole.PREFILL]

    def test_prompts_turned_away_make_readers_of_writers_with_few_answers(self):
        gateway_fleet = fleet(*engines(2, 4))
        changes = simulate(gateway_fleet, lambda second: 10, 20, lambda second: 1.5)
        assert [role for _, role in changes] == [EngineRole.PREFILL] * 2

    def test_writers_that_are_needed_stay_while_prompts_are_turned_away(self):
        gateway_fleet = fleet(*engines(2, 4))
        changes = simulate(gateway_fleet, lambda second: 180, 20, lambda second: 1.5)
        assert changes == []

    def test_a_share_of_a_large_fleet_goes_on_writing(self):
        gateway_fleet = fleet(*engines(9, 18))
        simulate(gateway_fleet, lambda second: 30, 120, lambda second: 4.0)
        roles = [engine.target.role for engine in gateway_fleet.of_service("s")]
        assert roles.count(EngineRole.DECODE) == 6

    def test_writers_stay_in_each_data_centre(self):
        targets = engines(0, 5)
        data_centres = ("north", "north", "north", "north", "south")
        gateway_fleet = fleet(
            *(
                item._replace(data_centre=location)
                for item, location in zip(targets, data_centres, strict=True)
            )
        )
        simulate(gateway_fleet, lambda second: 0, 20)
        decode_locations = [
            engine.target.data_centre
            for engine in gateway_fleet.of_service("s")
            if engine.target.role is EngineRole.DECODE
        ]
        assert sorted(decode_locations) == ["north", "south"]


class TestLongAnswers:
    def test_lasting_load_makes_readers_write(self):
        gateway_fleet = fleet(*engines(3, 2))
        changes = simulate(gateway_fleet, lambda second: 220, 30)
        assert [role for _, role in changes] == [EngineRole.DECODE] * 2

    def test_no_more_than_what_answers_need(self):
        gateway_fleet = fleet(*engines(8, 2))
        simulate(gateway_fleet, lambda second: 180, 120)
        roles = [engine.target.role for engine in gateway_fleet.of_service("s")]
        assert roles.count(EngineRole.DECODE) <= 4


class TestIdleReaders:
    """Load pattern: a burst of long responses while prefill engines are mostly idle."""

    def seconds_until_change(self, busy_share):
        gateway_fleet = fleet(*engines(17, 5))
        balancer = RoleBalancer(RoleSettings(), gateway_fleet)
        prefill_engines = [
            item for item in gateway_fleet.of_service("s") if not item.is_decode_engine
        ]
        ordered = 0
        for second in range(20):
            now = float(second)
            for number, prefill_engine in enumerate(prefill_engines):
                prefill_engine.prefills_by_ticket.clear()
                if number < busy_share * len(prefill_engines):
                    prefill_engine.start_prefill("r", 90_000, (), now)
            for engine in gateway_fleet.of_service("s"):
                if engine.is_decode_engine:
                    engine.in_flight = 10 if second < 10 else 80
            balancer.observe("s", now)
            ordered += len(balancer.decide_all("s", now))
            if ordered:
                return second - 10
        return None

    def test_they_write_soon(self):
        assert self.seconds_until_change(0.2) <= 2

    def test_busy_ones_are_taken_later(self):
        assert self.seconds_until_change(1.0) > self.seconds_until_change(0.2)


class TestCalmThenBurst:
    """Load pattern: after low load, prompts that decode engines must prefill too."""

    def test_prompts_read_at_writers_take_no_reader_away(self):
        gateway_fleet = fleet(*engines(4, 2))
        changes = simulate(
            gateway_fleet,
            lambda second: 20,
            40,
            lambda second: 0.0 if second < 10 else 2.0,
            lambda second: 0 if second < 10 else 60,
        )
        assert [role for _, role in changes if role is EngineRole.DECODE] == []


class TestSwings:
    def test_swings_shorter_than_the_horizon_cause_no_change(self):
        gateway_fleet = fleet(*engines(3, 2))
        changes = simulate(
            gateway_fleet, lambda second: 145 if second % 4 < 2 else 5, 60
        )
        assert changes == []

    def test_swings_of_both_kinds_by_turns_cause_no_change(self):
        gateway_fleet = fleet(*engines(3, 3))
        changes = simulate(
            gateway_fleet,
            lambda second: 200 if second % 6 < 3 else 5,
            60,
            lambda second: 0.0 if second % 6 < 3 else 1.5,
        )
        assert changes == []

    def test_one_engine_changes_at_a_time(self):
        gateway_fleet = fleet(*engines(2, 5))
        balancer = RoleBalancer(RoleSettings(), gateway_fleet)
        balancer.observe("s", 0.0)
        first = balancer.decide("s", 0.0)
        first.estimate.changing_until = 5.0
        assert balancer.decide("s", 3.0) is None
        assert balancer.decide("s", 5.1) is not None

    def test_a_large_fleet_changes_a_quarter_at_a_time(self):
        gateway_fleet = fleet(*engines(4, 18))
        balancer = RoleBalancer(RoleSettings(), gateway_fleet)
        ordered = []
        for second in range(12):
            balancer.observe("s", float(second))
            change = balancer.decide("s", float(second))
            if change is not None:
                change.estimate.changing_until = second + 100.0
                balancer.record_order("s", float(second))
                balancer.record_accepted("s", change)
                ordered.append(change.estimate.target.target_id)
        assert len(ordered) == len(set(ordered)) == 5

    def test_a_large_fleet_is_changed_in_few_rounds(self):
        gateway_fleet = fleet(*engines(12, 27))
        balancer = RoleBalancer(RoleSettings(), gateway_fleet)
        balancer.observe("s", 0.0)
        changes = balancer.decide_all("s", 0.0)
        names = {change.estimate.target.target_id for change in changes}
        assert len(names) == len(changes) == 9
        assert {change.role for change in changes} == {EngineRole.PREFILL}

    def test_a_round_goes_no_further_than_regret_pays_for(self):
        gateway_fleet = fleet(*engines(4, 20))
        balancer = RoleBalancer(RoleSettings(), gateway_fleet)
        for engine in gateway_fleet.of_service("s"):
            engine.in_flight = 1
        balancer.unmet_prefill = lambda service: 7.0
        balancer.observe("s", 0.0)
        balancer.observe("s", 2.0)
        assert len(balancer.decide_all("s", 2.0)) == 2

    def test_orders_that_were_not_given_are_decided_again(self):
        gateway_fleet = fleet(*engines(12, 27))
        balancer = RoleBalancer(RoleSettings(), gateway_fleet)
        balancer.observe("s", 0.0)
        first = balancer.decide_all("s", 0.0)
        assert len(balancer.decide_all("s", 0.1)) == len(first)

    def test_at_least_one_engine_reads(self):
        gateway_fleet = fleet(*engines(1, 1))
        assert simulate(gateway_fleet, lambda second: 500, 10) == []


class TestLoneEngine:
    def test_prefill_engine_becomes_a_decode_engine(self):
        """Without it, requests for completions are rejected until another starts."""
        changes = simulate(fleet(*engines(1, 0)), lambda second: 0, 20)
        assert [role for _, role in changes] == [EngineRole.DECODE]

    def test_decode_engine_keeps_its_role(self):
        changes = simulate(
            fleet(*engines(0, 1)), lambda second: 10, 20, lambda second: 1.5
        )
        assert changes == []
