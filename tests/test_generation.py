"""Tests of requests to model engines, in virtual time."""

from tests.requesthandlers import Gateway, Outcome


class TestInvalidPrefillReply:
    def test_prompt_is_read_again_at_another_engine(self):
        # Guards against a request that ended without a response because the reply to
        # its prefill was no valid document.
        gateway = Gateway([(Outcome.GARBLED, False)])
        for _ in range(10):
            gateway.budgets.earn("s")
        gateway.serve("r")
        first, *others = gateway.engines.arrivals_by_request_id["r"]
        assert first.is_prefill
        assert [arrival.is_prefill for arrival in others] == [True, False]
