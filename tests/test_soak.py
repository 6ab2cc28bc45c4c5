"""The soak's checks catch planted faults; one short seed runs here."""

import json
from types import SimpleNamespace

import pytest

from standins.platform_engine import PlatformEngineStandIn
from tests import soak
from tests.soak import Asked, Ran, problems, problems_of_fatal

# Seeds that once failed stay here, each with its cause.
FAILED_SEEDS = [
    # What all callers ask was held for a minute beside the request to blame.
    901,
    # Tries that two gateways began at the same moment blamed nobody, again and again.
    1015,
    # Behind a proxy that still listens a crash showed only as its target was listed
    # anew, eight seconds later.
    2001,
    # The same, and a gateway that stopped meanwhile told nobody of a crash.
    2100,
]


def asked(kind, status=200, name="a", body=None, is_whole=True):
    if body is None:
        body = json.dumps({"name": name}).encode()
    return Asked(name, kind, status, is_whole, body, 0.0)


def ran(name="a", target="t", event="run", at=1.0, fence=0):
    return Ran(target, event, name, at, fence)


def stream(name, ids):
    lines = [
        f"id: {number}\ndata: {json.dumps({'request': name, 'piece': number})}\n\n"
        for number in ids
    ]
    return "".join(lines).encode()


class TestTargetEvents:
    def test_event_is_written_in_one_call(self, monkeypatch):
        # Guards against an unterminated line that the next process appends to.
        writes = []
        stdout = SimpleNamespace(write=writes.append, flush=lambda: None)
        monkeypatch.setattr("sys.stdout", stdout)
        PlatformEngineStandIn._log(SimpleNamespace(), "run", "a")
        (line,) = writes
        assert line.endswith("\n")
        assert json.loads(line)["name"] == "a"


class TestPlantedFaults:
    def test_whole_and_single_answers_pass(self):
        whole = stream("b", range(1, soak.PIECES + 1))
        requests = [asked("once"), asked("resume", name="b", body=whole)]
        assert problems(requests, [ran(), ran("b")], {}) == []

    def test_double_run(self):
        assert problems([asked("once")], [ran(), ran(target="u")], {})

    def test_refusal_of_what_ran(self):
        assert problems([asked("once", 503)], [ran()], {})

    def test_lost_part_of_an_answer(self):
        short = stream("a", [1, 2, 4, 5, 6])
        assert problems([asked("resume", body=short)], [ran()], {})

    def test_mixed_answer(self):
        other = json.dumps({"name": "other"}).encode()
        assert problems([asked("read", body=other)], [ran()], {})
        mixed = stream("other", range(1, soak.PIECES + 1))
        assert problems([asked("stream", body=mixed)], [ran()], {})

    def test_fatal_request_that_goes_on(self):
        crashes = [ran(event="crash", at=float(n)) for n in range(3)]
        late = [ran(at=6.0 + n) for n in range(4)]
        assert problems_of_fatal([asked("resume")], [*crashes, *late[:3]]) == []
        assert problems_of_fatal([asked("resume")], [*crashes, *late])

    def test_stale_order(self):
        orders = [
            ran("g1", event="order", at=1.0, fence=7),
            ran("g2", event="order", at=2.0, fence=5),
        ]
        assert problems([], orders, {})

    def test_two_holders_with_one_fence(self):
        orders = [
            ran("g1", event="order", at=1.0, fence=7),
            ran("g2", "u", event="order", at=2.0, fence=7),
        ]
        assert problems([], orders, {})

    def test_request_to_a_target_that_left(self):
        assert problems([], [ran(at=9.0)], {"t": 8.0})


@pytest.mark.parametrize("seed", [2, *FAILED_SEEDS])
def test_seed(seed, monkeypatch):
    monkeypatch.setattr(soak, "FAULTS_FOR", 5.0)
    assert soak.play(seed) == []
