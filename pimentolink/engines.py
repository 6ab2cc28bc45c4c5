"""Asks and orders the engine beside a sidecar over HTTP."""

from __future__ import annotations

import msgspec
from twisted.internet.defer import Deferred

from pimentolink.errors import Failure, OrderLost, OrderRefused, TargetFailed
from pimentolink.orders import EngineState
from pimentolink.plan import Wanted
from pimentolink.settings import OrderSettings
from pimentolink.targets import HttpTarget

STATE_PATH = "/state"
ORDERS_PATH = "/orders"
REFUSED_STATUSES = (409, 423)


class _StateBody(msgspec.Struct):
    """What an engine answers when asked for its state."""

    role: str
    models: dict[str, str]
    adapters: list[str]
    ordering: dict[str, object] | None


class HttpEngineControl:
    """Controls the engine over its HTTP interface."""

    def __init__(self, target: HttpTarget, settings: OrderSettings) -> None:
        """
        Bind.

        :param target: the engine.
        :param settings: timeouts.
        """
        self._target = target
        self._settings = settings

    def state(self) -> Deferred[EngineState]:
        """Ask what the engine holds."""
        return Deferred.fromCoroutine(self._state())

    def order(self, wanted: Wanted, fencing_number: int) -> Deferred[None]:
        """Give an order; ends when it took effect."""
        return Deferred.fromCoroutine(self._order(wanted, fencing_number))

    async def _state(self) -> EngineState:
        try:
            answer = await self._target.ask("GET", STATE_PATH)
            body = msgspec.json.decode(answer.body, type=_StateBody)
        except Exception as error:
            raise TargetFailed(f"{type(error).__name__}: {error}") from error
        return EngineState(
            body.role, body.models, body.adapters, body.ordering is not None
        )

    async def _order(self, wanted: Wanted, fencing_number: int) -> None:
        order = {
            "role": wanted.role,
            "models": wanted.models,
            "adapters": wanted.adapters,
            "fencing_number": fencing_number,
        }
        body = msgspec.json.encode(order)
        patience = self._settings.timeout
        failure: Failure | None = None
        try:
            answer = await self._target.ask("POST", ORDERS_PATH, body, patience)
        except Exception as error:
            raise OrderLost(f"{type(error).__name__}: {error}") from error
        if answer.status in REFUSED_STATUSES:
            failure = OrderRefused(f"the engine answered {answer.status}")
        elif answer.status != 200:
            failure = OrderLost(f"the engine answered {answer.status}")
        if failure is not None:
            raise failure
