"""Carries the plan out on the engine beside a sidecar, one order at a time."""

from __future__ import annotations

from random import Random
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from pimentolink.errors import Failure, KeyValueUnavailable, OrderLost, OrderStuck
from pimentolink.kvstore import KeyValueStore
from pimentolink.logs import Log, LogEvent
from pimentolink.plan import Group, Wanted, decode_plan
from pimentolink.retry import Backoff
from pimentolink.settings import OrderSettings
from pimentolink.timers import Timers, pause

STATE_PAUSE = 0.1


class EngineState(NamedTuple):
    """
    What an engine tells of itself.

    :ivar models: versions by name of model.
    :ivar is_ordering: whether an order is under way.
    """

    role: str
    models: dict[str, str]
    adapters: list[str]
    is_ordering: bool


class EngineControl(Protocol):
    """How a sidecar asks and orders its engine."""

    def state(self) -> Deferred[EngineState]:
        """
        Ask what the engine holds.

        :raises Failure: without an answer.
        """

    def order(self, wanted: Wanted, fencing_number: int) -> Deferred[None]:
        """
        Give an order; ends when it took effect.

        :raises Failure: if it was refused or its outcome is not known.
        """


class WorkGate(Protocol):
    """How work is kept from the target while an order is carried out."""

    def hold(self) -> Deferred[None]:
        """Let no new work start; ends when none runs any more."""

    def release(self) -> None:
        """Let work start again."""


class OrderKeeper:
    """
    Brings the engine to what the plan wants.

    Guards that at most one order is under way and that an older one never follows a
    newer: each order is read from the plan at its source right before it is given,
    the next one waits until the engine tells that none is under way, and a new
    sidecar waits out what its predecessor may have sent (``OrderSettings.quiet``)
    before it so much as asks.
    """

    def __init__(
        self,
        settings: OrderSettings,
        target_id: str,
        store: KeyValueStore,
        engine: EngineControl,
        gate: WorkGate,
        timers: Timers,
        random: Random,
        log: Log,
    ) -> None:
        """
        Start the quiet time.

        :param settings: quiet time, timeouts.
        :param target_id: the engine's name.
        :param store: the key-value service.
        :param engine: asks and orders the engine.
        :param gate: keeps work from it.
        :param timers: the timer service.
        :param random: seeded source for jitter.
        :param log: where events go.
        """
        self._settings = settings
        self._target_id = target_id
        self._store = store
        self._engine = engine
        self._gate = gate
        self._timers = timers
        self._backoff = Backoff(0.1, 5.0, random)
        self._log = log
        # A fleet that restarts must not ask the key-value service all at once.
        spread = random.uniform(0.0, settings.spread)
        self._quiet_until = timers.now() + settings.quiet + spread
        self._group: Group | None = None
        self._known_revision = 0
        self._is_busy = False
        self._has_news = False
        self._is_stopped = False
        self.role = ""
        self.settled_number = 0

    def assign(self, group: Group | None) -> None:
        """
        Take note which plan the target stands in.

        :param group: its group, or ``None`` while others give it orders.
        """
        if group != self._group:
            self._group = group
            self._known_revision = 0
            self.broadcast(1)

    def broadcast(self, revision: int) -> None:
        """
        Take note that the plan has changed.

        :param revision: of the plan, as somebody read it.
        """
        if revision <= self._known_revision:
            return
        self._has_news = True
        self._start()

    def stop(self) -> None:
        """Begin no further order."""
        self._is_stopped = True

    async def when_idle(self) -> None:
        """Wait until no order is under way."""
        while self._is_busy:
            await pause(self._timers, STATE_PAUSE)

    def _start(self) -> None:
        if not self._is_busy:
            self._is_busy = True
            Deferred.fromCoroutine(self._work())

    async def _work(self) -> None:
        try:
            while self._has_news and self._group is not None and not self._is_stopped:
                quiet = self._quiet_until - self._timers.now()
                await pause(self._timers, max(0.0, quiet))
                self._has_news = False
                if not await self._try_once():
                    self._has_news = True
                    await pause(self._timers, self._backoff.next())
        finally:
            self._is_busy = False
            self._gate.release()

    async def _try_once(self) -> bool:
        try:
            await self._settle()
        except Failure as failure:
            if isinstance(failure, OrderLost):
                # It may begin yet, as one of a dead predecessor may.
                self._quiet_until = self._timers.now() + self._settings.quiet
            # An engine still under an order refuses work by itself meanwhile.
            self._gate.release()
            self._log.write(
                LogEvent.ORDER_FAILED, code=failure.code, detail=failure.detail
            )
            return False
        self._backoff.reset()
        return True

    async def _settle(self) -> None:
        """Carry the plan out as it stands; ends when the engine is as wanted."""
        while not self._is_stopped:
            state = await self._idle_state()
            wanted, _ = await self._read_plan()
            if wanted is None or _is_met(wanted, state):
                self._settled(wanted, state)
                return
            await self._gate.hold()
            # Read again: the plan may have changed while running work ended.
            wanted, revision = await self._read_plan()
            state = await self._idle_state()
            if wanted is not None and not _is_met(wanted, state):
                await self._give_order(wanted, revision)

    async def _give_order(self, wanted: Wanted, revision: int) -> None:
        self._log.write(
            LogEvent.ORDER_STARTED, role=wanted.role, fencing_number=revision
        )
        await self._engine.order(wanted, revision)
        self._log.write(LogEvent.ORDER_DONE, role=wanted.role, fencing_number=revision)

    async def _idle_state(self) -> EngineState:
        end = self._timers.now() + self._settings.timeout
        while True:
            state = await self._engine.state()
            if not state.is_ordering:
                self.role = state.role
                return state
            if self._timers.now() > end:
                raise OrderStuck("an order has been under way for too long")
            await pause(self._timers, STATE_PAUSE)

    async def _read_plan(self) -> tuple[Wanted | None, int]:
        if self._group is None:
            return None, 0
        value = await self._store.get(self._group.plan_key)
        if value.revision < self._known_revision:
            raise KeyValueUnavailable("an older plan than one read before")
        self._known_revision = value.revision
        plan = decode_plan(value.data)
        return plan.wanted_by_target.get(self._target_id), value.revision

    def _settled(self, wanted: Wanted | None, state: EngineState) -> None:
        self.role = state.role
        if wanted is not None:
            self.settled_number = wanted.number


def _is_met(wanted: Wanted, state: EngineState) -> bool:
    return wanted.is_met_by(state.role, state.models, state.adapters)
