"""Tests of the checks of the claims soak, and a run of it with one seed."""

import socket
from http.client import HTTPResponse

import pytest

from tests import soak, soak_claims
from tests.soak_claims import BROKEN, COMPLETE, Call, ResponseReader, Run, problems

NOT_RUN = Call("k", "entry-0", "r1", "not_run", may_have_run=False)
UNKNOWN = Call("k", "entry-0", "", BROKEN, may_have_run=True)
ANSWERED = Call("k", "entry-1", "r2", COMPLETE, may_have_run=True, ran="k")
ALREADY_RUN = Call("k", "entry-1", "r3", "already_run", may_have_run=True)
RUN = Run("k", "r2")


class TestPlantedFaults:
    def test_one_run_passes(self):
        assert problems([NOT_RUN, UNKNOWN, ANSWERED, ALREADY_RUN], [RUN]) == []
        assert problems([NOT_RUN, UNKNOWN], []) == []

    def test_double_run(self):
        assert problems([UNKNOWN, ANSWERED], [RUN, RUN]) == ["k ran 2 times"]

    def test_run_that_every_response_denies(self):
        assert problems([NOT_RUN, NOT_RUN._replace(request_id="r4")], [RUN])

    def test_run_that_the_response_to_its_request_denies(self):
        assert problems([NOT_RUN, UNKNOWN], [Run("k", NOT_RUN.request_id)])

    def test_mixed_response(self):
        assert problems([ANSWERED._replace(ran="other")], [RUN])

    @pytest.mark.parametrize("told", [ANSWERED, ALREADY_RUN])
    def test_run_that_did_not_happen(self, told):
        assert problems([told], [])

    def test_second_response_to_a_request(self):
        second = NOT_RUN._replace(request_id=ANSWERED.request_id)
        assert problems([ANSWERED, second], [RUN])


class TestResponseReader:
    def test_second_response_is_read_next(self):
        entry_end, caller_end = socket.socketpair()
        with entry_end, caller_end:
            for request_id in (b"r1", b"r2"):
                entry_end.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                    b"pimentolink-request: " + request_id + b"\r\n\r\n{}"
                )
            reader = ResponseReader(caller_end.makefile("rb", 0))
            for request_id in ("r1", "r2"):
                response = HTTPResponse(reader)
                response.begin()
                assert response.read() == b"{}"
                assert response.getheader("pimentolink-request") == request_id


# Sidecars and a service end while calls run, and the answers to writes are lost.
@pytest.mark.parametrize("seed", [1])
def test_seed(seed, monkeypatch):
    monkeypatch.setattr(soak, "FAULTS_FOR", 4.0)
    assert soak_claims.play(seed, size=2) == []
