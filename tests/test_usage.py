"""Totals of requests by organisation and window."""

from hypothesis import given
from hypothesis import strategies as st

from pimentolink.usage import UsageBook, WindowTotals, changed_counts


class TestTotals:
    def test_totals_of_all_lives_add_up(self):
        book = UsageBook()
        book.add("here", 7, "a")
        book.add("here", 7, "a")
        book.take(WindowTotals("there", 7, {"a": 3, "b": 1}))
        assert book.totals(7) == {"a": 5, "b": 1}
        assert book.totals(8) == {}

    @given(
        st.lists(st.tuples(st.sampled_from("xyz"), st.sampled_from("ab"))),
        st.randoms(use_true_random=False),
    )
    def test_tellings_may_be_lost_repeated_and_out_of_order(self, begun, random):
        counted, heard, tellings = UsageBook(), UsageBook(), []
        for life, organisation in begun:
            counted.add(life, 1, organisation)
            tellings += list(counted.all_totals([1]))
        last = list(counted.all_totals([1]))
        random.shuffle(tellings)
        for telling in tellings[: len(tellings) // 2] + last + last:
            heard.take(telling)
        assert heard.totals(1) == counted.totals(1)

    def test_settled_windows_are_forgotten(self):
        book = UsageBook()
        for window in (3, 4, 5):
            book.add("here", window, "a")
        book.forget_before(5)
        assert book.windows() == [5]

    def test_only_changes_are_told(self):
        assert changed_counts({"a": 1, "b": 2}, {"a": 1, "b": 3, "c": 1}) == {
            "b": 3,
            "c": 1,
        }
