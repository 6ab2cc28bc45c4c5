"""Once the last tenant's keys are taken away, every request is let in."""

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
REVOKE_MS = 5000
CONFIG_APPLY_MS = 3000
KEYS = {"hule930": "k-4be1c07a", "fida11": "k-90d23f5e"}
KEY_THAT_NEVER_WAS = "k-00000000"


class Service:
    """Plain targets that keep what they are told of the caller."""

    def __init__(self) -> None:
        """Start without runs."""
        self.tenant_by_run: dict[str, str | None] = {}
        self.key_by_run: dict[str, str | None] = {}

    async def work(self, exchange: Exchange) -> None:
        """Run a plain call."""
        name, headers = exchange.request.request_id, exchange.request.headers
        self.tenant_by_run[name] = headers.get("pimentolink-tenant")
        self.key_by_run[name] = headers.get("authorization")
        exchange.engine.ran(exchange)
        exchange.engine.rig.record.add(
            f"{name} came with tenant {self.tenant_by_run[name]}, "
            f"key {self.key_by_run[name]}"
        )
        await asyncio.sleep(WORK)
        exchange.answer()


class Calls:
    """The calls that consumers make with one key."""

    def __init__(self, rig: Rig, key: str) -> None:
        """Start without calls."""
        self.rig = rig
        self.key = key
        self.sent_at: dict[str, float] = {}
        self.statuses: Counter[int] = Counter()

    async def make(self, gateway: str, until: float) -> None:
        """Send about two calls a second that may run once."""
        caller = Caller(self.rig, gateway)
        while self.rig.record.now() < until:
            began_at = self.rig.record.now()
            headers = {"Authorization": f"Bearer {self.key}"}
            name, status = await caller.ask("POST", "/once/x", 1500, headers, b"notice")
            self.sent_at[name] = began_at
            self.statuses[status] += 1
            await asyncio.sleep(0.5)
        caller.close()


async def case(rig: Rig, has_trouble: bool) -> bool:
    """Take away the keys of two tenants, with which consumers go on to call."""
    await rig.start_store()
    service = Service()
    for number in range(4):
        await rig.engine(f"i-{number}", "dispatch", service.work)
    routes = [route("once", "non_idempotent", "dispatch")]
    services = [{"name": "dispatch", "maxConnections": 190}]
    tenants = [{"name": name, "apiKeys": [key]} for name, key in KEYS.items()]
    other = {"name": "wobu4", "apiKeys": ["k-7712ab03"]}
    # Without the disruption a third tenant keeps its key.
    remaining = [] if has_trouble else [other]
    await rig.configure(routes, services, 1, tenants=[*tenants, *remaining])
    gateways = ["edge-1", "edge-2"]
    for number, name in enumerate(gateways, start=1):
        await rig.start_gateway(
            name,
            number,
            revoke_within_ms=REVOKE_MS,
            adopt_within_ms=CONFIG_APPLY_MS,
        )
    until = rig.record.now() + 18.0
    taken = [Calls(rig, key) for key in KEYS.values()]
    unknown = Calls(rig, KEY_THAT_NEVER_WAS)
    making = [
        asyncio.create_task(calls.make(gateway, until))
        for calls in (*taken, unknown)
        for gateway in gateways
    ]
    await asyncio.sleep(5.0)
    await rig.configure(routes, services, 2, tenants=remaining)
    acknowledged_at = rig.record.now()
    rig.record.note(f"version 2 takes {list(KEYS.values())} away; tenants: {remaining}")
    await asyncio.gather(*making)
    revoked = [
        name
        for calls in taken
        for name, sent_at in calls.sent_at.items()
        if sent_at > acknowledged_at + REVOKE_MS / 1000
        and name in service.tenant_by_run
    ]
    for name in revoked:
        rig.record.add(f"CONFIG: {name} ran, though its key had been taken away")
    strangers = [name for name in unknown.sent_at if name in service.tenant_by_run]
    passed_on = [name for name, key in service.key_by_run.items() if key]
    for calls in (*taken, unknown):
        rig.record.note(f"answers to {calls.key}: {dict(calls.statuses)}")
    rig.record.note(f"runs with a key taken away over revokeMs ago: {len(revoked)}")
    rig.record.note(f"runs with a key that no configuration held: {len(strangers)}")
    rig.record.note(f"runs to which the key was passed on: {len(passed_on)}")
    return not revoked and not strangers and not passed_on


main(str(FOLDER), case)
