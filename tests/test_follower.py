"""How an entry follows one key of the key-value service."""

from random import Random

import pytest

from pimentolink.follower import KeyFollower
from pimentolink.kvstore import MemoryStore
from pimentolink.logs import Log
from pimentolink.settings import PlatformSettings
from pimentolink.timers import ManualTimers

KEY = "pimentolink/configuration"


class TestUnexpectedValue:
    @pytest.mark.parametrize("is_watched", [False, True])
    def test_value_that_cannot_be_handled_does_not_end_the_watch(self, is_watched):
        timers, store, received = ManualTimers(), MemoryStore(), []

        def handle(value):
            if value.data == b"{":
                raise ValueError("unexpected content")
            received.append(value.data)

        settings = PlatformSettings(
            key_value="127.0.0.1:1", instance_list="127.0.0.1:2"
        )
        follower = KeyFollower(KEY, store, settings, timers, Random(1), Log(), handle)
        if is_watched:
            follower.start()
        store.compare_and_swap(KEY, b"{", 0)
        if not is_watched:
            follower.start()
        timers.advance(1.0)
        store.compare_and_swap(KEY, b"new", store._read(KEY).revision)
        timers.advance(1.0)
        assert received == [b"new"]
