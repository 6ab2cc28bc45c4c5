"""Dispatching of requests over several attempts, in virtual time."""

import pytest

from pimentolink.errors import CrossedAnswer
from tests.virtual import TOKEN_TIME, VirtualStream, VirtualTimer
from tests.worlds import VirtualWorld


@pytest.fixture
def world():
    virtual_world = VirtualWorld()
    virtual_world.start_entry("one", "north")
    return virtual_world


def test_lost_end_of_a_whole_answer_brings_no_token_twice(world, monkeypatch):
    def only_tokens(self, tokens, is_last):
        self._listener.tokens(tokens)

    with monkeypatch.context() as patched:
        patched.setattr(VirtualStream, "_arrived", only_tokens)
        world.send("m", "claims", "one", None, 3)
        world.pass_time(1.0)
        assert not world.is_over("m")
    world.kill("engine-1")
    world.pass_time(10.0)
    assert world.is_outcome("m", "whole")


class TestHandOver:
    def send_long_request(self, world):
        world.network.targets["engine-2"].role = "prefill"
        world.set_role("engine-2", "prefill")
        world.pass_time(5.0)
        submitted = []
        for sidecar in world.network.sidecars.values():
            original_submit = sidecar._executor.submit

            def record_submit(
                link,
                submit,
                original_submit=original_submit,
                target_id=sidecar._settings.target,
            ):
                submitted.append((target_id, submit))
                original_submit(link, submit)

            sidecar._executor.submit = record_submit
        world.send("long " * 2_000, "claims", "one", None, 12)
        return submitted

    def test_reader_answers_one_token_and_another_the_rest(self, world):
        submitted = self.send_long_request(world)
        world.pass_time(5.0)
        assert [target_id for target_id, _ in submitted] == ["engine-2", "engine-1"]
        first, second = (submit for _, submit in submitted)
        assert (first.prefill_only, second.prefill_only) == (True, False)
        assert len(second.resume_tokens) == 1
        assert second.cache == b"cache"
        assert world.is_outcome("long " * 2_000, "whole")

    def test_hand_over_costs_no_retry_and_is_done_once(self, world):
        submitted = self.send_long_request(world)
        world.pass_time(5.0)
        assert len(submitted) == 2
        assert world.network.entries["one"].dispatcher.retries == 0


class TestPausedEntry:
    """An entry is paused while a response arrives and the patience runs out."""

    @pytest.mark.parametrize(
        ("service", "key"), [("claims", None), ("dispatch", "key")]
    )
    def test_response_read_before_the_timeout_is_the_only_outcome(
        self, world, service, key
    ):
        """Guards against "complete" and then "not run" to one caller."""
        for name in ("dispatch-1", "dispatch-2"):
            world.slow(name, 17.0)
        world.send("name", service, "one", key, 850 if key is None else None)
        world.pass_time(15.0)
        world.pause("one")
        world.pass_time(6.0)
        assert world.replies["name"].finals == 0
        world.resume("one")
        world.pass_time(60.0)
        assert world.replies["name"].finals == 1
        assert world.is_outcome("name", "whole")


class TestCancelledTimers:
    """Timers whose calls are made although they were cancelled."""

    @pytest.fixture(autouse=True)
    def late_timers(self, world, monkeypatch):
        monkeypatch.setattr(VirtualTimer, "cancel", lambda timer: None)

    @pytest.mark.parametrize(
        ("service", "key"), [("claims", None), ("dispatch", "key")]
    )
    def test_timeout_after_the_response_brings_no_second_outcome(
        self, world, service, key
    ):
        """Guards against "not run" to a caller whose call did run."""
        world.send("name", service, "one", key, None)
        world.pass_time(60.0)
        assert world.replies["name"].finals == 1
        assert world.is_outcome("name", "whole")

    def test_retry_after_the_outcome_is_not_sent(self, world, monkeypatch):
        """Guards against an attempt that nobody waits for."""
        engines = [world.network.targets[name] for name in ("engine-1", "engine-2")]
        sent = []

        def fail(call, listener):
            sent.append(call)
            return FailingStream(engines[0], call, listener)

        for engine in engines:
            monkeypatch.setattr(engine, "start_stream", fail)
        world.send("name", "claims", "one", None, None)
        while len(sent) < 2:
            world.pass_time(0.001)
        world.pass_time(2 * TOKEN_TIME)
        entry = world.network.entries["one"]
        (active,) = entry.dispatcher._active_by_request_id.values()
        assert "retry" in active.timers
        entry.dispatcher.cancel(active.progress.request.request_id)
        world.pass_time(60.0)
        assert len(sent) == 2


class FailingStream:
    """A stream that fails because its answer belongs to another request."""

    def __init__(self, engine, call, listener):
        failure = CrossedAnswer("another request's")
        engine.sidecar.later(TOKEN_TIME, lambda: listener.failed(failure))

    def cancel(self):
        pass


class TestPlannedChange:
    """One engine fails all requests while the other is under an order."""

    @pytest.fixture
    def engines(self, world, monkeypatch):
        engines = world.network.targets
        monkeypatch.setattr(
            engines["engine-1"],
            "start_stream",
            lambda call, listener: FailingStream(engines["engine-1"], call, listener),
        )
        return engines

    def start_change(self, world, seconds):
        """Start an order at the second engine and wait until it has begun."""
        engine = world.network.targets["engine-2"]
        engine.order_time = seconds
        world.set_role("engine-2", "decode" if engine.role == "mixed" else "mixed")
        while not engine.under_order:
            world.pass_time(0.05)

    def test_request_waits_for_the_end_of_the_change(self, world, engines):
        """Guards against a 502 after all attempts were used at the failing engine."""
        self.start_change(world, 3.0)
        for name in ("a", "b", "c"):
            world.send(name, "claims", "one", None, 5)
        world.pass_time(2.0)
        before = len(engines["engine-2"].started)
        world.pass_time(3.0)
        for name in ("a", "b", "c"):
            assert world.is_outcome(name, "whole")
        assert len(engines["engine-2"].started) == before + 3

    def test_request_that_cannot_wait_that_long_is_refused_at_once(
        self, world, engines
    ):
        for seconds in (90.0, 300.0):
            self.start_change(world, seconds)
            if seconds == 90.0:
                world.pass_time(95.0)
        world.send("a", "claims", "one", None, 5)
        world.pass_time(2.0)
        failure = world.replies["a"].failure
        assert failure is not None
        assert 80.0 < failure.retry_after <= 90.0
