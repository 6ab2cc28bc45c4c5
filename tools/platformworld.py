"""A small deployment of the users' platform on loopback, with stand-ins."""

from __future__ import annotations

import base64
import http.client
import json
import socket
from typing import Any
from uuid import uuid4

from tools.fleet import Fleet, Reply, call, wait_until

HOST = "h.example"
PARTS = "aa:1000,bb:200"


class PlatformWorld:
    """Processes of a store, engines, plain targets and gateways."""

    def __init__(self, fleet: Fleet) -> None:
        """Start the store."""
        self.fleet = fleet
        fleet.start("store", "standins.platform_store")
        fleet.settle()

    def target(self, name: str, service: str, phase: str = "", **options: Any) -> None:
        """Start a target and write its entry to the store."""
        arguments = [f"--{key}={value}" for key, value in options.items()]
        arguments += [f"--instance={name}"] + ([f"--phase={phase}"] if phase else [])
        self.fleet.start(name, "standins.platform_engine", *arguments)
        self.list_target(name, service, phase)

    def list_target(
        self,
        name: str,
        service: str,
        phase: str = "",
        state: str = "ready",
        born: int = 0,
    ) -> None:
        """Write the entry of a target; its start time is queried if ``born`` is 0."""
        entry = {
            "service": service,
            "address": self.fleet.address(name),
            "zone": "north",
            "slots": 8,
            "state": state,
            "sequence": 9,
            "born": born or self.born(name),
        }
        self.put(f"servers/{name}", entry | ({"phase": phase} if phase else {}))

    def born(self, name: str) -> int:
        """Return the start time of a target in milliseconds."""
        return int(call(self.fleet.url(name, "/report")).json["born"])

    def put(self, key: str, value: Any) -> None:
        """Write a key on behalf of the operator or a target."""
        body = {"value": base64.b64encode(json.dumps(value).encode()).decode()}
        path = f"/operator?key={key}"
        call(self.fleet.url("store", path), "PUT", body)

    def remove(self, key: str) -> None:
        """Remove a key on behalf of the operator or a target."""
        call(self.fleet.url("store", f"/operator?key={key}"), "PUT", b"null")

    def configure(
        self,
        version: int,
        keys_by_organisation: dict[str, list[str]] | None = None,
        **extra_routes: str,
    ) -> None:
        """
        Write a configuration.

        :param version: higher than the one before.
        :param keys_by_organisation: API keys; without them requests need none.
        :param extra_routes: services of additional routes, by name of the route.
        """

        def route(name: str, kind: str, service: str, **extra: Any) -> dict[str, Any]:
            settings = {
                "name": name,
                "host": HOST,
                "prefix": f"/{name}/",
                "kind": kind,
                "service": service,
                "timeoutMs": 3000,
                "targetLatencyMs": 800,
                "maxAttempts": 2,
                "priority": 1,
            }
            return settings | extra

        routes = [
            route("read", "idempotent", "plain"),
            route("once", "non_idempotent", "plain", maxAttempts=1),
            route("short", "idempotent", "plain", timeoutMs=300),
            route("resume", "streaming", "llm", sticky=True, resumable=True),
            route("stream", "streaming", "llm", sticky=True, maxAttempts=1),
        ]
        routes += [
            route(name, "idempotent", service) for name, service in extra_routes.items()
        ]
        engine = {"slots": 8, "kvTokens": 100_000}
        services = [
            {"name": "llm", "maxConnections": 100, "engine": engine},
            {"name": "plain", "maxConnections": 100},
        ]
        configuration = {"version": version, "routes": routes, "services": services}
        if keys_by_organisation is not None:
            configuration["tenants"] = [
                {"name": name, "apiKeys": keys}
                for name, keys in keys_by_organisation.items()
            ]
        self.put("op/config", configuration)

    def start_default(self, **settings: Any) -> None:
        """
        Start two engines, two plain targets and one gateway, and wait until ready.

        :param settings: additional settings of the gateway.
        """
        self.target("reader", "llm", "prefill")
        self.target("writer", "llm", "decode")
        self.target("plain-1", "plain")
        self.target("plain-2", "plain")
        self.configure(1)
        self.gateway("gateway", **settings)

    def gateway(self, name: str, **extra: Any) -> None:
        """Start a gateway and wait until it is ready."""
        self.fleet.start_gateway(name, **extra)
        self.fleet.settle()
        wait_until(lambda: self.is_ready(name), what=f"{name} to be ready")

    def is_ready(self, name: str) -> bool:
        """Check the readiness endpoint of a gateway."""
        url = f"http://{self.fleet.readiness_by_gateway[name]}/readyz"
        return call(url).status == 200

    def request(
        self,
        path: str,
        method: str = "POST",
        body: bytes = b"x",
        headers: dict[str, str] | None = None,
        gateway: str = "gateway",
    ) -> tuple[Reply, str]:
        """Make a request; return the response and the request id."""
        request_id = uuid4().hex[:16]
        all_headers = {
            "Host": HOST,
            "Pimentolink-Request-Id": request_id,
            "Pimentolink-Deadline-Ms": "5000",
            **(headers or {}),
        }
        reply = call(self.fleet.url(gateway, path), method, body, all_headers)
        return reply, request_id

    def generate(self, path: str, **headers: str) -> tuple[Reply, str]:
        """Request a completion; return the response and the request id."""
        return self.request(
            path,
            headers={
                "Pimentolink-Model": "m",
                "Pimentolink-Token-Counts": "1200,50",
                "Pimentolink-Prompt-Prefix": PARTS,
                **headers,
            },
        )

    def fault(self, name: str, **faults: Any) -> None:
        """Enable or disable faults of a stand-in."""
        call(self.fleet.url(name, "/faults"), "PUT", faults)

    def runs(self, name: str) -> Any:
        """Return the requests that a target has run."""
        return call(self.fleet.url(name, "/runs")).json

    def raw(self, data: bytes, gateway: str = "gateway", within: float = 5.0) -> bytes:
        """Send bytes and read until the gateway closes or the timeout expires."""
        host, _, port = self.fleet.address(gateway).rpartition(":")
        with socket.create_connection((host, int(port)), timeout=within) as connected:
            connected.sendall(data)
            received = b""
            try:
                while chunk := connected.recv(65536):
                    received += chunk
            except TimeoutError:
                pass
            return received

    def connection(self, gateway: str = "gateway") -> http.client.HTTPConnection:
        """Create an HTTP connection to a gateway."""
        host, _, port = self.fleet.address(gateway).rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=10)

    def logged(self, gateway: str, request_id: str) -> list[dict[str, Any]]:
        """Return the log lines of a gateway about a request."""
        return self.log_lines(gateway, request=request_id)

    def wait_for_event(
        self, event: str, within: float, gateway: str = "gateway", **fields: Any
    ) -> None:
        """
        Wait until a gateway has logged an event.

        :param event: its name.
        :param within: seconds until the wait fails.
        :param gateway: name of the gateway.
        :param fields: values that the event must have.
        """
        expected = {"event": event, **fields}
        wait_until(
            lambda: self.log_lines(gateway, **expected),
            within,
            f"{expected} of {gateway}",
        )

    def log_lines(self, name: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the log lines of a process that have certain fields."""
        text = self.fleet.processes_by_name[name].log_path.read_text()
        lines = [json.loads(line) for line in text.splitlines() if line[:1] == "{"]
        return [line for line in lines if fields.items() <= line.items()]
