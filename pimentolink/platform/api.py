"""Client of the platform's API, which only the leading gateway calls."""

from __future__ import annotations

from typing import Any

import msgspec

from pimentolink.errors import ReportRefused
from pimentolink.gatewaysettings import ConnectionSettings
from pimentolink.httptypes import HttpRequest
from pimentolink.targethttp import ConnectionPool, exchange
from pimentolink.timers import Timers
from pimentolink.usagereporter import UsageReport

LEADER_HEADER = b"Pimentolink-Lease-Holder"
FENCING_TOKEN_HEADER = b"Pimentolink-Fencing-Token"
MAX_REPLY_BYTES = 65_536


class _UsageDocument(msgspec.Struct, rename="camel"):
    """
    Body of a usage report.

    :ivar window_id: number of the window that is reported.
    :ivar counts: number of requests that began to run, by organisation.
    """

    window_id: int
    counts: dict[str, int]


class PlatformApi:
    """Calls the API, opening a new connection for each call."""

    def __init__(
        self,
        reactor: Any,
        address: str,
        connections: ConnectionSettings,
        timers: Timers,
    ) -> None:
        """
        Create a client; no call is made yet.

        :param reactor: the Twisted reactor.
        :param address: of the API.
        :param connections: keep-alive probes and timeouts.
        :param timers: the timer service.
        """
        self._reactor = reactor
        self._address = address
        self._connections = connections
        self._timers = timers

    async def report(self, report: UsageReport, leader: str, fence: int) -> None:
        """
        Report the usage of a window.

        No part of a call can arrive after its connection is closed, so a call that a
        former leader has given up cannot take effect after one of its successor.

        :param report: the window and its counts.
        :param leader: name of the gateway that leads.
        :param fence: fencing token of its leadership.
        :raises ReportRefused: if the API answers with an error.
        """
        body = msgspec.json.encode(_UsageDocument(report.window, report.counts))
        headers = (
            (b"Host", self._address.encode()),
            (LEADER_HEADER, leader.encode()),
            (FENCING_TOKEN_HEADER, str(fence).encode()),
            (b"Content-Type", b"application/json"),
        )
        request = HttpRequest(b"POST", b"/usage", headers, body)
        pool = ConnectionPool(
            self._reactor, self._address, self._connections, self._timers
        )
        try:
            reply = await exchange(pool, request, lambda head: True, MAX_REPLY_BYTES)
        finally:
            pool.close()
        if reply.head.status != 200:
            raise ReportRefused(f"status {reply.head.status}")
