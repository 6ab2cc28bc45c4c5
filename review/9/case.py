"""One tenant whose name holds a blank stops all gateways."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig2"))

from rig import Caller, Exchange, Rig, main, route  # noqa: E402

# Seconds of a plain call, and the bounds of the sheet.
WORK = 0.09
CONFIG_APPLY_MS = 3000
REVOKE_MS = 5000
KEY = "k-4be1c07a"


class Calls:
    """The calls of consumers on one route."""

    def __init__(self, rig: Rig, name: str) -> None:
        """Start without calls."""
        self.rig = rig
        self.name = name
        self.calls: list[tuple[float, int]] = []

    async def make(self, gateway: str, until: float) -> None:
        """Send about three calls a second."""
        caller = Caller(self.rig, gateway)
        while self.rig.record.now() < until:
            sent_at = self.rig.record.now()
            headers = {"Authorization": f"Bearer {KEY}"}
            _, status = await caller.ask("GET", f"/{self.name}/x", 1500, headers)
            self.calls.append((sent_at, status))
            await asyncio.sleep(0.3)
        caller.close()

    def statuses(self, begin: float, end: float = 1e9) -> Counter[int]:
        """Count the answers to the calls sent in a span."""
        return Counter(status for at, status in self.calls if begin <= at < end)


async def work(exchange: Exchange) -> None:
    """Run a plain call."""
    exchange.engine.ran(exchange)
    await asyncio.sleep(WORK)
    exchange.answer()


async def case(rig: Rig, has_trouble: bool) -> bool:
    """Add a route and a tenant, while consumers of another tenant call."""
    await rig.start_store()
    for number in range(4):
        await rig.engine(f"i-{number}", "dispatch", work)
    services = [{"name": "dispatch", "maxConnections": 190}]
    routes = [route("old", "idempotent", "dispatch", maxAttempts=2)]
    tenants = [{"name": "hule930", "apiKeys": [KEY]}]
    await rig.configure(routes, services, 1, tenants=tenants)
    gateways = ["edge-1", "edge-2"]
    for number, name in enumerate(gateways, start=1):
        await rig.start_gateway(
            name,
            f"127.0.1.{number}",
            revoke_within_ms=REVOKE_MS,
            adopt_within_ms=CONFIG_APPLY_MS,
        )
    until = rig.record.now() + 20.0
    calls = {name: Calls(rig, name) for name in ("old", "new")}
    making = [
        asyncio.create_task(item.make(gateway, until))
        for item in calls.values()
        for gateway in gateways
    ]
    await asyncio.sleep(5.0)
    added = "Jentera Lindung Berhad" if has_trouble else "Jentera-Lindung-Berhad"
    tenants.append({"name": added, "apiKeys": ["k-90d23f5e"]})
    routes.append(route("new", "idempotent", "dispatch", maxAttempts=2))
    await rig.configure(routes, services, 2, tenants=tenants)
    acknowledged_at = rig.record.now()
    rig.record.note(f"version 2 adds the route of /new/ and the tenant {added!r}")
    await asyncio.gather(*making)
    due_at = acknowledged_at + CONFIG_APPLY_MS / 1000
    for name, item in calls.items():
        before, after = item.statuses(0.0, acknowledged_at), item.statuses(due_at)
        rig.record.note(f"/{name}/ before: {dict(before)}, once due: {dict(after)}")
    for name in gateways:
        is_ready = await asyncio.to_thread(rig.is_ready, name)
        rig.record.note(f"{name} is ready at the end: {is_ready}")
    return not calls["new"].statuses(due_at)[404]


main(str(FOLDER), case)
