"""Tests for the queueing and placement of prompts under typical load patterns."""

from random import Random

import pytest

from pimentolink.egressqueue import EgressQueue
from pimentolink.errors import CannotBeInTime, NoTarget
from pimentolink.gatewaydelay import GatewayDelay
from pimentolink.gatewaysettings import PlacementSettings
from pimentolink.placement import Placer
from pimentolink.prefillqueue import PrefillQueue
from pimentolink.targetestimate import EngineRole
from pimentolink.timers import ManualTimers
from tests.gatewaybuilders import (
    engines,
    fleet,
    make_placer,
    make_prefill_queue,
    prompt,
    target,
)

SHARED_PART = (77, 8_000)


def place_all(queue, test_fleet, now=0.0):
    """Dispatch all prompts that have room and record their prefills as started."""
    placed = []
    while (chosen := queue.pop_next(now)) is not None:
        waiting, placement = chosen
        placement.estimate.start_prefill(
            waiting.request_id, placement.tokens, waiting.parts, now
        )
        placed.append((waiting.request_id, placement.estimate.target.target_id))
    return placed


class TestSharedParts:
    """Load pattern: prompts with a long shared prefix arrive at an idle fleet."""

    def test_go_where_the_part_was_read(self):
        test_fleet = fleet(*engines(3, 1))
        queue = make_prefill_queue(test_fleet, depth=10.0)
        for number in range(3):
            waiting = prompt(f"p{number}", 500, SHARED_PART, latency_target=4.0)
            assert queue.add(waiting, 0.0) is None
        engine_ids = {engine_id for _, engine_id in place_all(queue, test_fleet)}
        assert len(engine_ids) == 1

    def test_are_fetched_once_their_engine_is_behind(self):
        test_fleet = fleet(*engines(2, 1))
        queue = make_prefill_queue(test_fleet, depth=10.0)
        queue.add(prompt("first", 500, SHARED_PART), 0.0)
        ((_, engine_id),) = place_all(queue, test_fleet)
        test_fleet.targets_by_id[engine_id].end_prefill("first", True, 0.0)
        test_fleet.targets_by_id[engine_id].start_prefill("long", 30_000, (), 0.0)
        assert queue.add(prompt("second", 500, SHARED_PART), 0.0) is None
        _, placement = queue.pop_next(0.0)
        assert placement.estimate.target.target_id != engine_id
        assert placement.copied_tokens == 8_000
        assert placement.tokens == 500
        assert placement.copy_from == test_fleet.targets_by_id[engine_id].target.address


class TestOverload:
    """Load pattern: more prompts arrive than the engines can prefill in time."""

    def test_prompts_beyond_what_can_be_on_time_are_turned_away_at_once(self):
        test_fleet = fleet(*engines(1, 1))
        queue = make_prefill_queue(test_fleet)
        test_fleet.targets_by_id["writer-0"].changing_until = 99.0
        test_fleet.put(target("idle-writer", EngineRole.DECODE, slots=64))
        outcomes = [queue.add(prompt(f"p{n}", 4_000), 0.0) for n in range(12)]
        refused = [item for item in outcomes if item is not None]
        assert refused
        assert all(isinstance(item, CannotBeInTime) for item in refused)
        assert all(0.1 <= item.retry_after <= 2.0 for item in refused)
        assert outcomes[0] is None

    def test_what_waits_at_other_gateways_counts(self):
        test_fleet = fleet(*engines(2, 1))
        queue = make_prefill_queue(test_fleet)
        test_fleet.update_waiting("other", {"s": 12.0})
        refused = queue.add(prompt("p", 4_000), 0.0)
        assert isinstance(refused, CannotBeInTime)
        test_fleet.update_waiting("other", {"s": 0.3})
        assert queue.add(prompt("p", 4_000), 0.0) is None

    def test_work_ahead_is_shared_by_all_engines_of_a_large_service(self):
        test_fleet = fleet(*engines(400, 20))
        queue = make_prefill_queue(test_fleet)
        test_fleet.update_waiting("other", {"s": 200.0})
        assert queue.add(prompt("p", 4_000), 0.0) is None

    def test_idle_engines_turn_nothing_away_that_can_be_on_time(self):
        test_fleet = fleet(*engines(2, 1))
        queue = make_prefill_queue(test_fleet)
        assert queue.add(prompt("p", 4_000), 0.0) is None

    def test_large_prompt_is_not_turned_away_for_its_size_alone(self):
        test_fleet = fleet(*engines(2, 1))
        queue = make_prefill_queue(test_fleet)
        large = prompt("large", 30_000, latency_target=0.5, caller_timeout=8.0)
        assert queue.add(large, 0.0) is None

    def test_what_waits_goes_by_worth_for_engine_time(self):
        test_fleet = fleet(*engines(1, 1))
        queue = make_prefill_queue(test_fleet, depth=0.0)
        for name, tokens in (("long", 6_000), ("short", 500)):
            assert queue.add(prompt(name, tokens, latency_target=2.0), 0.0) is None
        waiting, _ = queue.pop_next(0.0)
        assert waiting.request_id == "short"

    def test_what_can_be_on_time_goes_before_what_is_late(self):
        test_fleet = fleet(*engines(1, 1))
        queue = make_prefill_queue(test_fleet, depth=0.0, late_factor=9.0)
        assert queue.add(prompt("late", 900, at=-0.99), 0.0) is None
        assert queue.add(prompt("on-time", 1_500), 0.0) is None
        waiting, _ = queue.pop_next(0.0)
        assert waiting.request_id == "on-time"

    def test_engines_are_sent_little_ahead_of_need(self):
        test_fleet = fleet(*engines(1, 1))
        queue = make_prefill_queue(test_fleet, depth=0.25, late_factor=9.0)
        test_fleet.targets_by_id["writer-0"].in_flight = 60
        for number in range(8):
            queue.add(prompt(f"p{number}", 2_000), 0.0)
        placed = [
            engine_id
            for _, engine_id in place_all(queue, test_fleet)
            if engine_id == "reader-0"
        ]
        assert len(placed) == 2

    def test_hopeless_prompts_are_given_up_before_they_are_due(self):
        test_fleet = fleet(*engines(1, 1))
        queue = make_prefill_queue(test_fleet, depth=0.0, late_factor=9.0)
        assert queue.add(prompt("p", 4_000, caller_timeout=1.0), 0.0) is None
        assert queue.pop_unservable(0.3) == []
        assert [item.request_id for item in queue.pop_unservable(0.9)] == ["p"]


class CountingPlacer(Placer):
    """Counts predictions, which dominate the cost of queue operations."""

    predictions = 0

    def choose_placement(self, prompt, now):
        self.predictions += 1
        return super().choose_placement(prompt, now)


class TestManyWaiting:
    """Load pattern: hundreds of prompts queue at one gateway, four times the usual."""

    QUEUE_LENGTH = 400

    def queue(self, test_fleet):
        settings = PlacementSettings(late_factor=999.0)
        self.placer = CountingPlacer(
            settings,
            test_fleet,
            "north",
            EgressQueue(0.0, ManualTimers()),
            GatewayDelay(),
        )
        queue = PrefillQueue(settings, self.placer)
        for number in range(self.QUEUE_LENGTH):
            waiting = prompt(f"p{number}", 100 + number, caller_timeout=900.0)
            assert queue.add(waiting, 0.0) is None
        return queue

    def test_taking_one_in_costs_one_prediction(self):
        self.queue(fleet(*engines(2, 1)))
        assert self.placer.predictions == self.QUEUE_LENGTH

    def test_choosing_the_next_costs_a_bounded_number(self):
        queue = self.queue(fleet(*engines(2, 1)))
        self.placer.predictions = 0
        waiting, _ = queue.pop_next(0.0)
        assert waiting.request_id == "p0"
        assert self.placer.predictions <= 16

    def test_full_engines_cost_nothing(self):
        test_fleet = fleet(*engines(2, 1))
        queue = self.queue(test_fleet)
        for estimate in test_fleet.of_service("s"):
            estimate.start_prefill("r", 50_000, (), 0.0)
        self.placer.predictions = 0
        assert queue.pop_next(0.0) is None
        assert self.placer.predictions == 0

    def test_hopeless_ones_are_found_in_turn(self):
        test_fleet = fleet(*engines(2, 1))
        queue = self.queue(test_fleet)
        for estimate in test_fleet.of_service("s"):
            estimate.start_prefill("r", 50_000_000, (), 0.0)
        self.placer.predictions = 0
        rounds = 0
        while len(queue):
            queue.pop_unservable(0.0)
            rounds += 1
        assert rounds <= self.QUEUE_LENGTH / 8
        assert self.placer.predictions <= self.QUEUE_LENGTH

    def test_all_are_given_up_at_once_when_no_engine_is_left(self):
        test_fleet = fleet(*engines(2, 1))
        queue = self.queue(test_fleet)
        for estimate in test_fleet.of_service("s"):
            estimate.missing_since = 0.0
        assert len(queue.pop_unservable(0.0)) == self.QUEUE_LENGTH
        assert len(queue) == 0


class TestSlowLinks:
    """Load pattern: gateways with links of 5 and 200 Mbit/s share the same engines."""

    def test_way_to_an_engine_is_no_time_of_the_engine(self):
        test_fleet = fleet(*engines(1, 1), has_measured_costs=False)
        prefill_engine = test_fleet.targets_by_id["reader-0"]
        for number in range(8):
            tokens = 1_000 * (1 + number % 4)
            sent_at = 10.0 * number
            prefill_engine.start_prefill(
                f"r{number}", tokens, (), sent_at, transmission_delay=0.2
            )
            prefill_engine.end_prefill(
                f"r{number}", True, sent_at + 0.2 + tokens / 10_000
            )
        assert prefill_engine.prefill_time(2_000) == pytest.approx(0.2, rel=0.01)

    def test_prompt_on_its_way_keeps_no_engine_busy(self):
        test_fleet = fleet(*engines(1, 1))
        prefill_engine = test_fleet.targets_by_id["reader-0"]
        prefill_engine.start_prefill("r", 1_000, (), 0.0, transmission_delay=0.5)
        assert prefill_engine.backlog(0.0) == pytest.approx(
            prefill_engine.prefill_time(1_000)
        )
        assert prefill_engine.backlog(0.5) == pytest.approx(
            prefill_engine.prefill_time(1_000)
        )
        assert prefill_engine.backlog(0.55) < prefill_engine.prefill_time(1_000)

    def test_prompt_that_the_link_makes_late_is_turned_away_at_once(self):
        test_fleet = fleet(*engines(2, 2))
        timers = ManualTimers()
        egress_queue = EgressQueue(5.0, timers)
        settings = PlacementSettings()
        placer = Placer(settings, test_fleet, "north", egress_queue, GatewayDelay())
        queue = PrefillQueue(settings, placer)
        assert queue.add(prompt("first")._replace(body_bytes=9_000), 0.0) is None
        egress_queue.record_sent(600_000)
        refused = queue.add(prompt("second")._replace(body_bytes=9_000), 0.0)
        assert isinstance(refused, CannotBeInTime)

    def test_prompt_is_sent_once_where_sending_it_again_takes_longest(self):
        test_fleet = fleet(*engines(2, 2))
        settings = PlacementSettings()
        waiting = prompt("p", 500)._replace(body_bytes=90_000)
        for megabits_per_second, role in (
            (200.0, EngineRole.PREFILL),
            (5.0, EngineRole.DECODE),
        ):
            placer = make_placer(test_fleet, settings, megabits_per_second)
            assert placer.choose_placement(waiting, 0.0).estimate.target.role is role

    def test_delay_of_this_gateway_is_expected_but_no_time_of_the_engine(self):
        test_fleet = fleet(*engines(1, 1))
        gateway_delay = GatewayDelay()
        egress_queue = EgressQueue(0.0, ManualTimers())
        placer = Placer(
            PlacementSettings(), test_fleet, "north", egress_queue, gateway_delay
        )
        before = placer.choose_placement(prompt("p"), 0.0)
        for _ in range(98):
            gateway_delay.learn(0.05, 0.0)
        after = placer.choose_placement(prompt("p"), 0.0)
        assert after.done_at == pytest.approx(before.done_at + 0.049)
        assert after.engine_done_at == before.engine_done_at

    def test_readings_that_gateways_delay_leave_engines_as_fast_as_they_are(self):
        test_fleet = fleet(*engines(2, 1))
        random = Random(3)
        baseline = test_fleet.targets_by_id["reader-0"].prefill_time(4_000)
        for number in range(400):
            prefill_engine = test_fleet.targets_by_id[f"reader-{number % 2}"]
            started_at = 10.0 * number
            prefill_engine.start_prefill(f"r{number}", 4_000, (), started_at)
            took = baseline + (
                random.expovariate(2.0) if random.random() < 0.6 else 0.0
            )
            prefill_engine.end_prefill(f"r{number}", True, started_at + took)
        assert prefill_engine.prefill_time(4_000) < 1.5 * baseline

    def test_engine_that_turned_slow_is_told_from_the_others(self):
        test_fleet = fleet(*engines(3, 1))
        prefill_engines = [
            test_fleet.targets_by_id[f"reader-{number}"] for number in range(3)
        ]
        baseline = prefill_engines[0].prefill_time(4_000)
        for number in range(60):
            for prefill_engine, slowdown in zip(
                prefill_engines, (5, 1, 1), strict=True
            ):
                started_at = 10.0 * number
                prefill_engine.start_prefill(f"r{number}", 4_000, (), started_at)
                prefill_engine.end_prefill(
                    f"r{number}", True, started_at + slowdown * baseline
                )
        assert prefill_engines[0].prefill_time(4_000) > 3 * baseline
        assert 0.7 * baseline < prefill_engines[1].prefill_time(4_000) < 1.4 * baseline


class TestRoles:
    def test_no_writer_means_that_nothing_can_be_served(self):
        test_fleet = fleet(*engines(2, 0))
        queue = make_prefill_queue(test_fleet)
        assert isinstance(queue.add(prompt("p"), 0.0), NoTarget)

    def test_busy_writer_is_spared_from_reading(self):
        test_fleet = fleet(*engines(1, 1))
        test_fleet.targets_by_id["writer-0"].in_flight = 20
        test_fleet.targets_by_id["reader-0"].start_prefill("r", 4_000, (), 0.0)
        queue = make_prefill_queue(test_fleet, late_factor=9.0)
        queue.add(prompt("p", 2_000), 0.0)
        placement = queue._placer.choose_placement(prompt("p", 2_000), 0.0)
        assert placement.estimate.target.target_id == "reader-0"

    def test_answer_is_written_near_its_reader_unless_busy_there(self):
        test_fleet = fleet(
            target("here", EngineRole.DECODE),
            target("there", EngineRole.DECODE, data_centre="south"),
        )
        placer = make_prefill_queue(test_fleet)._placer
        assert (
            placer.choose_decode_engine("s", "south", 0.0).target.target_id == "there"
        )
        test_fleet.targets_by_id["there"].in_flight = 30
        assert placer.choose_decode_engine("s", "south", 0.0).target.target_id == "here"


class TestHealth:
    def test_slow_engine_gets_less(self):
        test_fleet = fleet(*engines(2, 1))
        slow = test_fleet.targets_by_id["reader-0"]
        for _ in range(30):
            slow.start_prefill("r", 1_000, (), 0.0)
            slow.end_prefill("r", True, 0.5)
            slow._last_prefill_end = 0.0
        queue = make_prefill_queue(test_fleet)
        queue.add(prompt("p"), 0.0)
        _, placement = queue.pop_next(0.0)
        assert placement.estimate.target.target_id != "reader-0"

    def test_leaving_missing_and_changing_engines_get_nothing(self):
        test_fleet = fleet(*engines(3, 1))
        test_fleet.put(
            test_fleet.targets_by_id["reader-0"].target._replace(is_leaving=True)
        )
        test_fleet.targets_by_id["reader-1"].missing_since = 0.0
        test_fleet.targets_by_id["reader-2"].changing_until = 5.0
        assert [item.target.target_id for item in test_fleet.usable("s", 1.0)] == [
            "writer-0"
        ]

    def test_bad_news_about_all_ejects_no_more_than_half(self):
        test_fleet = fleet(*engines(4, 0))
        for estimate in test_fleet.of_service("s"):
            for _ in range(3):
                test_fleet.failed(estimate, 0.0)
        assert len(test_fleet.usable("s", 0.1)) == 4

    def test_only_writer_is_used_though_it_failed(self):
        test_fleet = fleet(*engines(4, 1))
        decode_engine = test_fleet.targets_by_id["writer-0"]
        for _ in range(3):
            test_fleet.failed(decode_engine, 0.0)
        assert (
            make_prefill_queue(test_fleet)._placer.choose_decode_engine(
                "s", "north", 0.1
            )
            is decode_engine
        )

    def test_failures_that_a_freeze_explains_are_forgiven(self):
        test_fleet = fleet(*engines(4, 0))
        estimate = test_fleet.targets_by_id["reader-0"]
        for _ in range(3):
            test_fleet.failed(estimate, 0.0)
        test_fleet.clear_failures(0.1)
        assert len(test_fleet.usable("s", 0.2)) == 4
        assert not any(test_fleet.failed(estimate, 0.5) for _ in range(5))
        assert len(test_fleet.usable("s", 0.6)) == 4
        assert any(test_fleet.failed(estimate, 2.0) for _ in range(3))

    def test_ejected_engine_returns(self):
        test_fleet = fleet(*engines(4, 0))
        estimate = test_fleet.targets_by_id["reader-0"]
        test_fleet.failed(estimate, 0.0)
        assert test_fleet.failed(estimate, 0.0)
        assert len(test_fleet.usable("s", 0.1)) == 3
        assert len(test_fleet.usable("s", 1.1)) == 4


@pytest.mark.parametrize("count", [1, 3])
def test_backlog_is_the_work_of_all_readings(count):
    test_fleet = fleet(*engines(1, 0))
    estimate = test_fleet.targets_by_id["reader-0"]
    for number in range(count):
        estimate.start_prefill(str(number), 1_000, (), 0.0)
    assert estimate.backlog(0.0) == pytest.approx(count * estimate.prefill_time(1_000))
    estimate.end_prefill("0", True, 0.0)
    assert estimate.backlog(0.0) == pytest.approx(
        (count - 1) * estimate.prefill_time(1_000)
    )


def test_reading_whose_end_was_never_told_is_forgotten():
    test_fleet = fleet(*engines(1, 0))
    estimate = test_fleet.targets_by_id["reader-0"]
    estimate.start_prefill("lost", 1_000, (), 0.0)
    assert estimate.backlog(1.0) > 0
    assert estimate.backlog(9.0) == 0
