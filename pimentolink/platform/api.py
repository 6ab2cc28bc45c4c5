"""The platform's API for what one gateway does at a time."""

from __future__ import annotations

from typing import Any

import msgspec

from pimentolink.errors import ReportRefused
from pimentolink.gatewaysettings import ConnectionSettings
from pimentolink.httptypes import HttpRequest
from pimentolink.targethttp import ConnectionPool, exchange
from pimentolink.timers import Timers
from pimentolink.usagereporter import UsageReport

LEADER = b"Pimentolink-Lease-Holder"
FENCE = b"Pimentolink-Fencing-Token"
MAX_ANSWER_BYTES = 65_536


class _Usage(msgspec.Struct, rename="camel"):
    """
    A usage report.

    :ivar counts: requests that began to run, by organisation.
    """

    window_id: int
    counts: dict[str, int]


class PlatformApi:
    """Calls the API, each time on a connection of its own."""

    def __init__(
        self,
        reactor: Any,
        address: str,
        connections: ConnectionSettings,
        timers: Timers,
    ) -> None:
        """
        Prepare; no call is made yet.

        :param reactor: the loop.
        :param address: of the API.
        :param connections: keep-alive probes and time-outs.
        :param timers: the timer service.
        """
        self._reactor = reactor
        self._address = address
        self._connections = connections
        self._timers = timers

    async def report(self, report: UsageReport, leader: str, fence: int) -> None:
        """
        Report a window's usage.

        Nothing of a call can arrive once its connection is closed, so that a leader
        that has given up a call cannot be heard after its successor.
        """
        body = msgspec.json.encode(_Usage(report.window, report.counts))
        headers = (
            (b"Host", self._address.encode()),
            (LEADER, leader.encode()),
            (FENCE, str(fence).encode()),
            (b"Content-Type", b"application/json"),
        )
        request = HttpRequest(b"POST", b"/usage", headers, body)
        pool = ConnectionPool(
            self._reactor, self._address, self._connections, self._timers
        )
        try:
            reply = await exchange(pool, request, lambda head: True, MAX_ANSWER_BYTES)
        finally:
            pool.close()
        if reply.head.status != 200:
            raise ReportRefused(f"status {reply.head.status}")
