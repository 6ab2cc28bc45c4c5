"""Requests over several attempts, in virtual time."""

import pytest

from tests.virtual import VirtualStream
from tests.worlds import VirtualWorld


@pytest.fixture
def world():
    found = VirtualWorld()
    found.start_entry("one", "north")
    return found


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
    def long_request(self, world):
        world.network.targets["engine-2"].role = "prefill"
        world.set_role("engine-2", "prefill")
        world.pass_time(5.0)
        submitted = []
        for sidecar in world.network.sidecars.values():
            take = sidecar._executor.submit

            def note(link, submit, take=take, name=sidecar._settings.target):
                submitted.append((name, submit))
                take(link, submit)

            sidecar._executor.submit = note
        world.send("long " * 2_000, "claims", "one", None, 12)
        return submitted

    def test_reader_answers_one_token_and_another_the_rest(self, world):
        submitted = self.long_request(world)
        world.pass_time(5.0)
        assert [name for name, _ in submitted] == ["engine-2", "engine-1"]
        first, second = (submit for _, submit in submitted)
        assert (first.prefill_only, second.prefill_only) == (True, False)
        assert len(second.resume_tokens) == 1
        assert second.cache == b"cache"
        assert world.is_outcome("long " * 2_000, "whole")

    def test_hand_over_costs_no_retry_and_is_done_once(self, world):
        submitted = self.long_request(world)
        world.pass_time(5.0)
        assert len(submitted) == 2
        assert world.network.entries["one"].dispatcher.retries == 0
