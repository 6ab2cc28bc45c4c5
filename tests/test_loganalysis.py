"""Analysis of gateways' logs: engines, prompts, predictions and outcomes."""

import json
import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentolink.loganalysis import analyze
from tests.jsonvalues import VALUES

EVENTS = ("target_listed", "prompt_placed", "prompt_refused", "reading_ended")


def log_line(at, event, **fields):
    timestamp = f"2026-01-01T00:00:{at:09.6f}Z"
    return json.dumps({"event": event, "timestamp": timestamp, **fields})


def prompt_placed(at, engine, **fields):
    defaults = {"tokens": 600, "held": 300, "copied": 100, "waited": 0.02}
    return log_line(at, "prompt_placed", target=engine, **{**defaults, **fields})


def reading_ended(at, engine, took, predicted, role="reader", **fields):
    defaults = {"good": True, "tokens": 600, "copied": 0, "busy": took}
    defaults |= {"took": took, "predicted": predicted, "role": role, "target": engine}
    return log_line(at, "reading_ended", **{**defaults, **fields})


def target_listed(engine, role="reader"):
    return log_line(0, "target_listed", target=engine, role=role)


class TestWindows:
    def test_what_happened_is_told_by_window(self):
        found = analyze(
            [
                target_listed("a"),
                prompt_placed(0.5, "a"),
                reading_ended(0.9, "a", 0.4, 0.4),
                prompt_placed(2.5, "a", waited=0.1),
                log_line(2.6, "prompt_refused"),
            ],
            2.0,
        )
        first, second = found.windows
        assert (first.begins, first.placed, first.refused) == (0.0, 1, 0)
        assert first.busy_by_engine == {"a (reader)": 0.2}
        assert first.reread_share == 0.6
        assert (second.begins, second.placed, second.refused) == (2.0, 1, 1)
        assert second.waited == 0.1

    def test_refusals_beside_an_idle_engine_are_told_apart(self):
        busy = [
            target_listed("a"),
            target_listed("b"),
            prompt_placed(0.1, "a"),
            prompt_placed(0.2, "b"),
        ]
        refused = log_line(0.3, "prompt_refused")
        idle = [reading_ended(0.4, "b", 0.2, 0.2), log_line(0.5, "prompt_refused")]
        (window,) = analyze([*busy, refused, *idle], 2.0).windows
        assert (window.refused, window.refused_idle) == (2, 1)

    def test_lines_of_several_gateways_are_put_in_order(self):
        found = analyze(
            [prompt_placed(2.5, "a"), prompt_placed(0.5, "a"), prompt_placed(4.5, "a")],
            2.0,
        )
        assert [window.placed for window in found.windows] == [1, 1, 1]


class TestPredictions:
    def test_ratios_are_told_by_role(self):
        lines = [reading_ended(n / 10, "a", 0.1 * n, 0.5) for n in range(1, 11)]
        lines += [
            reading_ended(2, "w", 0.3, 0.1, role="writer"),
            reading_ended(3, "w", 1, 1, good=False),
        ]
        reader, other, writer = analyze(
            [*lines, reading_ended(4, "x", 1, 1, "none")], 2.0
        )[3]
        assert (reader.role, other.role, writer.role) == ("none", "reader", "writer")
        assert other.ratios == (0.4, 1.2, 2.0)
        assert other.tokens_per_second == round(6_000 / 5.5)

    def test_failed_readings_are_counted(self):
        found = analyze([reading_ended(1, "a", 1, 1, good=False, busy=None)], 2.0)
        assert found.predictions[0].failed == 1


def attempt_failed(at, target, fingerprint, **fields):
    defaults = {"code": "connection_broken", "after": 0.1, "others": 3}
    defaults |= {"target": target, "fingerprint": fingerprint}
    return log_line(at, "attempt_failed", **{**defaults, **fields})


class TestBrokenRequests:
    def test_request_that_breaks_off_at_several_targets_is_told(self):
        lines = [
            attempt_failed(1, "a", "f1"),
            attempt_failed(2, "b", "f1", code="reply_invalid", after=0.3),
            attempt_failed(3, "b", "f1", code="response_truncated"),
            attempt_failed(1, "a", "f2"),
            attempt_failed(2, "a", "f2"),
        ]
        assert analyze(lines, 2.0).broken == [("f1", 2, 3, 0.1, 0.3)]

    def test_attempts_that_reached_no_target_are_none(self):
        lines = [attempt_failed(1, "a", "f1"), attempt_failed(2, "b", "f1", after=None)]
        lines.append(attempt_failed(3, "b", "f1", code="target_failed"))
        assert analyze(lines, 2.0).broken == []


class TestBrokenTraits:
    def test_trait_of_requests_that_break_off_at_several_targets_is_told(self):
        lines = [
            attempt_failed(1, "a", "f1", traits=["p1", "p2"]),
            attempt_failed(2, "b", "f2", traits=["p1", "p3"]),
            attempt_failed(3, "b", "f3", traits=["p1", "p2"]),
        ]
        assert analyze(lines, 2.0).broken_traits == [("p1", 2, 3), ("p2", 2, 2)]

    def test_traits_of_one_request_alone_are_not(self):
        lines = [attempt_failed(1, name, "f1", traits=["p1"]) for name in "ab"]
        assert analyze(lines, 2.0).broken_traits == []


class TestOutcomes:
    def test_failures_are_told_by_route_and_code(self):
        found = analyze(
            [
                log_line(0, "answered", route="r"),
                log_line(1, "request_failed", route="r", code="timeout"),
                log_line(2, "request_failed", route="q", code="no_target"),
            ],
            2.0,
        )
        assert [tuple(item) for item in found.routes] == [
            ("q", 0, {"no_target": 1}),
            ("r", 1, {"timeout": 1}),
        ]

    def test_orders_are_told_with_what_they_rest_on(self):
        order = {"target": "a", "role": "writer", "streams": 90.0, "regret": 6.5}
        (found,) = analyze([log_line(0, "order_done", **order)], 2.0).orders
        assert found == (0.0, "a", "writer", 90.0, 0.0, 6.5)


class TestAnyLine:
    def test_words_before_a_line_are_passed_over(self):
        assert (
            analyze(["12.5 gateway-1 " + prompt_placed(0.5, "a")], 2.0)
            .windows[0]
            .placed
            == 1
        )

    @settings(max_examples=500, deadline=None)
    @given(
        event=st.sampled_from(EVENTS),
        fields=st.dictionaries(st.sampled_from(["target", "waited", "busy"]), VALUES),
        text=st.text(),
    )
    def test_whatever_a_log_holds_is_counted(self, event, fields, text):
        found = analyze(
            [text, log_line(0, event, **fields), prompt_placed(1, "a")], 2.0
        )
        assert found.lines == 3
        assert sum(window.placed for window in found.windows) >= 1


class TestCommand:
    @pytest.fixture
    def run(self):
        def call(*words):
            command = [sys.executable, "-m", "pimentolink.cli", "analyze", *words]
            return subprocess.run(command, capture_output=True, text=True)

        return call

    def test_prints_tables_or_json(self, run, tmp_path):
        path = tmp_path / "gateway.log"
        path.write_text("\n".join([target_listed("a"), prompt_placed(0.5, "a")]))
        assert "refused_idle" in run(str(path)).stdout
        assert json.loads(run(str(path), "--json").stdout)["lines"] == 2

    def test_missing_log_is_told(self, run, tmp_path):
        found = run(str(tmp_path / "none.log"))
        assert found.returncode == 2
        assert "none.log" in found.stderr
