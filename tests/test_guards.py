"""Each proof fails once its mechanism is taken out."""

from pathlib import Path

import pytest
from result import Ok
from twisted.internet.defer import succeed

from pimentolink import dispatcher, executor
from pimentolink.claimedcalls import ClaimedCalls
from pimentolink.claims import ClaimPartition
from pimentolink.claimtable import ClaimTable
from pimentolink.entry import Entry
from pimentolink.errors import NotRun
from pimentolink.orders import OrderKeeper
from pimentolink.request import Progress
from tests.scenario import load, run
from tests.worlds import VirtualWorld

FOLDER = Path(__file__).parent / "scenarios"


async def no_waiting(keeper):
    return await keeper._engine.state()


def no_hold(gate):
    return succeed(None)


def no_joining(self, attempt):
    return False


async def no_loading(self):
    self._table.claims_by_key.clear()
    stored = await self._store.get(self._path)
    self._revision = stored.revision
    await self._commit()


def all_tokens(self, offset, tokens):
    self.tokens += tokens
    return Ok(tokens)


async def no_finishing(self):
    return None


def not_run_always(failure, progress):
    return NotRun(str(failure))


def never_draining(self):
    return not self.target_is_lost


def resume_from_nothing(monkeypatch):
    """The engine begins anew, and what it repeats is passed on."""
    monkeypatch.setattr(Progress, "accept", all_tokens)
    original = dispatcher.Dispatcher._submission

    def submission(self, progress, attempt_id, span):
        submit = original(self, progress, attempt_id, span)
        del submit.resume_tokens[:]
        return submit

    monkeypatch.setattr(dispatcher.Dispatcher, "_submission", submission)


def no_noticing(monkeypatch):
    """Neither the entry nor the sidecar notices an engine that stands still."""
    monkeypatch.setattr(dispatcher.Dispatcher, "move_stalled", lambda self: None)
    monkeypatch.setattr(executor.Executor, "lose_target", lambda self: None)


def patch(owner, name, value):
    return lambda monkeypatch: monkeypatch.setattr(owner, name, value)


WITHOUT = {
    "waiting for the engine": (
        "order_outlives_its_sidecar",
        patch(OrderKeeper, "_idle_state", no_waiting),
    ),
    "holding work before an order": (
        "planned_changes_cut_nothing",
        patch(executor.Executor, "hold", no_hold),
    ),
    "joining a call under way": (
        "call_under_way_is_joined",
        patch(ClaimedCalls, "join", no_joining),
    ),
    "reading claims at take-over": (
        "call_survives_no_sidecar_twice",
        patch(ClaimPartition, "_take_over", no_loading),
    ),
    "claiming before the call": (
        "call_while_service_is_down",
        patch(ClaimPartition, "claim", lambda *_: succeed(Ok(None))),
    ),
    "knowing claims by key": (
        "call_survives_no_sidecar_twice",
        patch(ClaimTable, "add", lambda *_: Ok(None)),
    ),
    "resuming at the token's offset": (
        "engine_crashes_mid_answer",
        resume_from_nothing,
    ),
    "moving stalled answers on": (
        "engine_paused_mid_answer",
        no_noticing,
    ),
    "finishing before the end": (
        "entry_stops_whole",
        patch(Entry, "_finish_work", no_finishing),
    ),
    "remembering that it may have run": (
        "target_dies_under_a_call",
        patch(dispatcher, "final_failure", not_run_always),
    ),
    "refusing work while leaving": (
        "leaving_target_gets_nothing",
        patch(executor.Executor, "is_accepting", property(never_draining)),
    ),
}


@pytest.mark.parametrize("mechanism", WITHOUT)
def test_proof_fails_without(mechanism, monkeypatch):
    scenario, take_out = WITHOUT[mechanism]
    take_out(monkeypatch)
    with pytest.raises(AssertionError):
        run(load(FOLDER / f"{scenario}.scenario"), VirtualWorld())
