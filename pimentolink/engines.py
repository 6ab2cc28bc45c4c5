"""Queries and configures the engine of a sidecar over HTTP."""

from __future__ import annotations

import msgspec
from twisted.internet.defer import Deferred

from pimentolink.errors import Failure, OrderLost, OrderRefused, TargetFailed
from pimentolink.orders import EngineState
from pimentolink.plan import DesiredState
from pimentolink.settings import OrderSettings
from pimentolink.targets import HttpTarget

STATE_PATH = "/state"
ORDERS_PATH = "/orders"
REFUSED_STATUSES = (409, 423)


class _StateBody(msgspec.Struct):
    """
    The response body of an engine's state endpoint.

    :ivar models: versions by model name.
    :ivar ordering: the order in progress, if any.
    """

    role: str
    models: dict[str, str]
    adapters: list[str]
    ordering: dict[str, object] | None


class HttpEngineControl:
    """Reads the state of an engine and sends orders to it."""

    def __init__(self, target: HttpTarget, settings: OrderSettings) -> None:
        """
        Create a control interface for one engine.

        :param target: the HTTP client of the engine.
        :param settings: timeouts.
        """
        self._target = target
        self._settings = settings

    def state(self) -> Deferred[EngineState]:
        """Query the role, models and adapters of the engine."""
        return Deferred.fromCoroutine(self._state())

    def order(self, wanted: DesiredState, fencing_number: int) -> Deferred[None]:
        """Send an order; the result fires when it has taken effect."""
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

    async def _order(self, wanted: DesiredState, fencing_number: int) -> None:
        order = {
            "role": wanted.role,
            "models": wanted.models,
            "adapters": wanted.adapters,
            "fencing_number": fencing_number,
        }
        body = msgspec.json.encode(order)
        timeout = self._settings.timeout
        failure: Failure | None = None
        try:
            answer = await self._target.ask("POST", ORDERS_PATH, body, timeout)
        except Exception as error:
            raise OrderLost(f"{type(error).__name__}: {error}") from error
        if answer.status in REFUSED_STATUSES:
            failure = OrderRefused(f"the engine answered {answer.status}")
        elif answer.status != 200:
            failure = OrderLost(f"the engine answered {answer.status}")
        if failure is not None:
            raise failure
