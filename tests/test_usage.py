"""Counters of requests by organisation and window."""

from hypothesis import given
from hypothesis import strategies as st

from pimentolink.usage import UsageCounters, WindowTotals, changed_counts


class TestTotals:
    def test_totals_of_all_lives_add_up(self):
        counters = UsageCounters()
        counters.add("here", 7, "a")
        counters.add("here", 7, "a")
        counters.merge(WindowTotals("there", 7, {"a": 3, "b": 1}))
        assert counters.totals(7) == {"a": 5, "b": 1}
        assert counters.totals(8) == {}

    @given(
        st.lists(st.tuples(st.sampled_from("xyz"), st.sampled_from("ab"))),
        st.randoms(use_true_random=False),
    )
    def test_tellings_may_be_lost_repeated_and_out_of_order(self, started, random):
        counted, received, snapshots = UsageCounters(), UsageCounters(), []
        for life, organisation in started:
            counted.add(life, 1, organisation)
            snapshots += list(counted.all_totals([1]))
        latest = list(counted.all_totals([1]))
        random.shuffle(snapshots)
        for snapshot in snapshots[: len(snapshots) // 2] + latest + latest:
            received.merge(snapshot)
        assert received.totals(1) == counted.totals(1)

    def test_settled_windows_are_forgotten(self):
        counters = UsageCounters()
        for window in (3, 4, 5):
            counters.add("here", window, "a")
        counters.forget_before(5)
        assert counters.windows() == [5]

    def test_only_changes_are_told(self):
        assert changed_counts({"a": 1, "b": 2}, {"a": 1, "b": 3, "c": 1}) == {
            "b": 3,
            "c": 1,
        }
