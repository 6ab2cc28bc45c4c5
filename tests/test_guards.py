"""Checks that each scenario fails when the mechanism it verifies is disabled."""

from pathlib import Path

import pytest
from result import Ok
from twisted.internet.defer import succeed

from pimentolink import dispatcher, executor
from pimentolink.claimedcalls import ClaimedCalls, ClaimPartitions
from pimentolink.claims import ClaimPartition
from pimentolink.claimtable import ClaimTable
from pimentolink.entry import Entry
from pimentolink.errors import NotRun
from pimentolink.orders import EngineReconciler
from pimentolink.request import Progress
from tests.scenario import load, run
from tests.worlds import VirtualWorld

SCENARIO_FOLDER = Path(__file__).parent / "scenarios"


async def state_without_waiting(keeper):
    return await keeper._engine.state()


def skip_hold(target_executor):
    return succeed(None)


def never_join(self, attempt):
    return False


async def take_over_without_claims(self):
    self._table.claims_by_key.clear()
    stored = await self._store.get(self._path)
    self._revision = stored.revision
    await self._commit()


async def grant_without_claiming(self, service, key, fingerprint):
    return Ok(self._open_partition(service, 0))


def accept_all_tokens(self, offset, tokens):
    self.tokens += tokens
    return Ok(tokens)


async def skip_finishing(self):
    return None


def always_not_run(failure, progress):
    return NotRun(str(failure))


def accept_while_draining(self):
    return not self.target_is_lost


def resume_without_tokens(monkeypatch):
    """Let the engine generate from the first token, and forward repeated tokens."""
    monkeypatch.setattr(Progress, "accept", accept_all_tokens)
    original = dispatcher.Dispatcher._submission

    def submission(self, progress, attempt_id, span):
        submit = original(self, progress, attempt_id, span)
        del submit.resume_tokens[:]
        return submit

    monkeypatch.setattr(dispatcher.Dispatcher, "_submission", submission)


def ignore_stalls(monkeypatch):
    """Let neither the entry nor the sidecar detect a stalled engine."""
    monkeypatch.setattr(
        dispatcher.Dispatcher, "retry_stalled_streams", lambda self: None
    )
    monkeypatch.setattr(executor.Executor, "mark_target_lost", lambda self: None)


def replace_attribute(owner, name, value):
    return lambda monkeypatch: monkeypatch.setattr(owner, name, value)


MECHANISMS = {
    "waiting for the engine": (
        "order_outlives_its_sidecar",
        replace_attribute(EngineReconciler, "_idle_state", state_without_waiting),
    ),
    "holding work before an order": (
        "planned_changes_cut_nothing",
        replace_attribute(executor.Executor, "hold", skip_hold),
    ),
    "joining a call under way": (
        "call_under_way_is_joined",
        replace_attribute(ClaimedCalls, "join", never_join),
    ),
    "reading claims at take-over": (
        "call_survives_no_sidecar_twice",
        replace_attribute(ClaimPartition, "_take_over", take_over_without_claims),
    ),
    "claiming before the call": (
        "call_while_service_is_down",
        replace_attribute(ClaimPartitions, "claim", grant_without_claiming),
    ),
    "knowing claims by key": (
        "call_survives_no_sidecar_twice",
        replace_attribute(ClaimTable, "add", lambda *_: Ok(None)),
    ),
    "resuming at the token's offset": (
        "engine_crashes_mid_answer",
        resume_without_tokens,
    ),
    "moving stalled answers on": (
        "engine_paused_mid_answer",
        ignore_stalls,
    ),
    "finishing before the end": (
        "entry_stops_whole",
        replace_attribute(Entry, "_finish_work", skip_finishing),
    ),
    "remembering that it may have run": (
        "target_dies_under_a_call",
        replace_attribute(dispatcher, "final_failure", always_not_run),
    ),
    "refusing work while leaving": (
        "leaving_target_gets_nothing",
        replace_attribute(
            executor.Executor, "is_accepting", property(accept_while_draining)
        ),
    ),
}


@pytest.mark.parametrize("mechanism", MECHANISMS)
def test_proof_fails_without(mechanism, monkeypatch):
    scenario, disable = MECHANISMS[mechanism]
    disable(monkeypatch)
    with pytest.raises(AssertionError):
        run(load(SCENARIO_FOLDER / f"{scenario}.scenario"), VirtualWorld())
