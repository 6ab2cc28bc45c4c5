"""Applies the plan to the engine beside a sidecar, one order at a time."""

from __future__ import annotations

from random import Random
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from pimentolink.errors import Failure, KeyValueUnavailable, OrderLost, OrderStuck
from pimentolink.kvstore import KeyValueStore
from pimentolink.logs import Log, LogEvent
from pimentolink.plan import DesiredState, Group, decode_plan
from pimentolink.retry import Backoff
from pimentolink.settings import OrderSettings
from pimentolink.timers import Timers, pause

STATE_POLL_INTERVAL = 0.1


class EngineState(NamedTuple):
    """
    State reported by an engine.

    :ivar models: versions by name of model.
    :ivar is_ordering: whether an order is in progress.
    """

    role: str
    models: dict[str, str]
    adapters: list[str]
    is_ordering: bool


class EngineControl(Protocol):
    """Control interface of an engine."""

    def state(self) -> Deferred[EngineState]:
        """
        Query the engine's state.

        :raises Failure: if the engine does not answer.
        """

    def order(self, wanted: DesiredState, fencing_number: int) -> Deferred[None]:
        """
        Send an order and wait until it took effect.

        :raises Failure: if the order was refused or its outcome is unknown.
        """


class WorkGate(Protocol):
    """Keeps requests from the target while an order is in progress."""

    def hold(self) -> Deferred[None]:
        """Refuse new requests and wait until all accepted ones have ended."""

    def release(self) -> None:
        """Accept new requests again."""


class EngineReconciler:
    """
    Reconciles the engine with the plan.

    Ensures that at most one order is in progress and that an older order never follows
    a newer one: each order is built from the stored plan, which is read right before
    the order is sent; the next order waits until the engine reports that none is in
    progress; and a new sidecar waits for orders that its predecessor may have sent
    (``OrderSettings.quiet``) before it even queries the engine.
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
        Start the quiet period.

        :param settings: quiet period and timeouts.
        :param target_id: the engine's name.
        :param store: the key-value service.
        :param engine: control interface of the engine.
        :param gate: keeps requests from the engine.
        :param timers: the timer service.
        :param random: seeded source for jitter.
        :param log: receives log events.
        """
        self._settings = settings
        self._target_id = target_id
        self._store = store
        self._engine = engine
        self._gate = gate
        self._timers = timers
        self._backoff = Backoff(0.1, 5.0, random)
        self._log = log
        # Avoids a burst of reads at the key-value service when a fleet restarts.
        spread = random.uniform(0.0, settings.spread)
        self._quiet_until = timers.now() + settings.quiet + spread
        self._group: Group | None = None
        self._known_revision = 0
        self._is_busy = False
        self._has_plan_changed = False
        self._is_stopped = False
        self.role = ""
        self.settled_number = 0

    def assign(self, group: Group | None) -> None:
        """
        Set the group whose plan contains the target.

        :param group: its group, or ``None`` while its orders come from another system.
        """
        if group != self._group:
            self._group = group
            self._known_revision = 0
            self.plan_changed(1)

    def plan_changed(self, revision: int) -> None:
        """
        Start applying a changed plan, unless its revision is already known.

        :param revision: revision at which an entry read the plan.
        """
        if revision <= self._known_revision:
            return
        self._has_plan_changed = True
        self._start_if_idle()

    def stop(self) -> None:
        """Send no further orders."""
        self._is_stopped = True

    async def when_idle(self) -> None:
        """Wait until no plan is being applied."""
        while self._is_busy:
            await pause(self._timers, STATE_POLL_INTERVAL)

    def _start_if_idle(self) -> None:
        if not self._is_busy:
            self._is_busy = True
            Deferred.fromCoroutine(self._run())

    async def _run(self) -> None:
        try:
            while (
                self._has_plan_changed
                and self._group is not None
                and not self._is_stopped
            ):
                quiet = self._quiet_until - self._timers.now()
                await pause(self._timers, max(0.0, quiet))
                self._has_plan_changed = False
                if not await self._try_reconcile():
                    self._has_plan_changed = True
                    await pause(self._timers, self._backoff.next())
        finally:
            self._is_busy = False
            self._gate.release()

    async def _try_reconcile(self) -> bool:
        try:
            await self._reconcile()
        except Failure as failure:
            if isinstance(failure, OrderLost):
                # The engine may still start the order, as with an order that a stopped
                # predecessor sent.
                self._quiet_until = self._timers.now() + self._settings.quiet
            # An engine that is still executing an order refuses requests itself.
            self._gate.release()
            self._log.write(
                LogEvent.ORDER_FAILED, code=failure.code, detail=failure.detail
            )
            return False
        self._backoff.reset()
        return True

    async def _reconcile(self) -> None:
        """Apply the current plan until the engine matches it."""
        while not self._is_stopped:
            state = await self._idle_state()
            wanted, _ = await self._read_plan()
            if wanted is None or _matches(wanted, state):
                self._record_settled(wanted, state)
                return
            await self._gate.hold()
            # Read again: the plan may have changed while accepted requests ended.
            wanted, revision = await self._read_plan()
            state = await self._idle_state()
            if wanted is not None and not _matches(wanted, state):
                await self._send_order(wanted, revision)

    async def _send_order(self, wanted: DesiredState, revision: int) -> None:
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
            await pause(self._timers, STATE_POLL_INTERVAL)

    async def _read_plan(self) -> tuple[DesiredState | None, int]:
        if self._group is None:
            return None, 0
        value = await self._store.get(self._group.plan_key)
        if value.revision < self._known_revision:
            raise KeyValueUnavailable("an older plan than one read before")
        self._known_revision = value.revision
        plan = decode_plan(value.data)
        return plan.wanted_by_target.get(self._target_id), value.revision

    def _record_settled(self, wanted: DesiredState | None, state: EngineState) -> None:
        self.role = state.role
        if wanted is not None:
            self.settled_number = wanted.number


def _matches(wanted: DesiredState, state: EngineState) -> bool:
    return wanted.matches(state.role, state.models, state.adapters)
