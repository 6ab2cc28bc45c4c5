"""A small deployment on loopback addresses, for the scripts of the second review."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "h.example"
ZONE = "kl-a"
# Bounds of the small deployments' sheets.
BOUNDS = {
    "contactMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "recoveryS": 12,
}
START_TIMEOUT = 20.0


class CannotRun(Exception):
    """The case could not be run; this says nothing about the rule."""


def free_port(address: str) -> int:
    """Choose a port that is free on a loopback address."""
    while True:
        port = random.SystemRandom().randint(10_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
            except OSError:
                continue
            return port


class Record:
    """Collects what was sent, answered and run, and writes it to a file."""

    def __init__(self, folder: Path) -> None:
        """Start an empty record in the folder of a case."""
        self._path = folder / "record.txt"
        self._began_at = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._began_at

    def add(self, text: str) -> None:
        """Add a line with the current time."""
        self._lines.append(f"{self.now():8.3f} s  {text}")

    def note(self, text: str) -> None:
        """Add a line, and print it too."""
        self.add(text)
        print(text, flush=True)

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Message:
    """A request or response as it was read from a connection."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        """Keep the parts; the names of headers are in lower case."""
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def request_id(self) -> str:
        """Return the id of the request that it is or answers."""
        return self.headers.get("pimentolink-request-id", "")

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ", 2)[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ", 2)[0]

    @property
    def path(self) -> str:
        """Return the path of a request."""
        return self.start.split(" ", 2)[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; ``None`` if the connection ends before one is complete."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return Message(start, headers, b"")


async def read_body(reader: asyncio.StreamReader, message: Message) -> bool:
    """Read the body of a message; tell whether it is complete."""
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    return True
                message.body += data[:-2]
        length = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return False
    return True


class Exchange:
    """One request that an engine has received, and the way to answer it."""

    def __init__(
        self, engine: Engine, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Start without an answer."""
        self.engine = engine
        self.request = request
        self.writer = writer
        self.has_left = asyncio.Event()

    def write(self, status: str, headers: dict[str, str], body: bytes) -> None:
        """Write a whole answer."""
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def answer(self, body: bytes = b"done") -> None:
        """Answer with a signed success."""
        self.write("200 OK", self.own_headers(), body)

    def own_headers(self) -> dict[str, str]:
        """Return the headers by which the engine vouches for an answer."""
        return {
            "Pimentolink-Request-Id": self.request.request_id,
            "Pimentolink-Response-Signature": f"{self.engine.name}.{time.monotonic()}",
        }

    def reject(self) -> None:
        """Reject the request as not run."""
        headers = {
            "Pimentolink-Request-Id": self.request.request_id,
            "Pimentolink-Not-Executed": "1",
        }
        self.write("503 Service Unavailable", headers, b"")


Handler = Callable[[Exchange], Awaitable[None]]


class Engine:
    """A stand-in of an engine or of an instance of a plain service."""

    def __init__(
        self,
        rig: Rig,
        name: str,
        service: str,
        handler: Handler,
        slots: int = 6,
        phase: str = "",
    ) -> None:
        """Prepare; :meth:`start` begins to listen."""
        self.rig = rig
        self.name = name
        self.service = service
        self.handler = handler
        self.slots = slots
        self.phase = phase
        self.address = ""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str]] = []
        self.connection_count = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and write the entry every 1.2 s."""
        host = f"{self.rig.network}.100"
        await self.start_at(f"{host}:{free_port(host)}")

    async def start_at(self, address: str) -> None:
        """Listen at an address; see :meth:`start`."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1_000_000
        )
        self.address = address
        await self.write_entry()
        self._beat = asyncio.create_task(self._write_entries())

    def entry(self) -> dict[str, Any]:
        """Return the entry as the page lists its fields."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.phase:
            entry["phase"] = self.phase
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    async def write_entry(self) -> None:
        """Write the entry into the store."""
        await self.rig.put(f"servers/{self.name}", self.entry())

    async def _write_entries(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            await self.write_entry()

    def stop_beating(self) -> None:
        """Write no more entries."""
        if self._beat is not None:
            self._beat.cancel()

    def close(self) -> None:
        """Exit: close the port and reset all connections."""
        self.stop_beating()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.connection_count += 1
        try:
            while (request := await read_head(reader)) is not None:
                if not await read_body(reader, request):
                    return
                await self._handle(request, reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connection_count -= 1
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        exchange = Exchange(self, request, writer)
        expected = request.headers.get("pimentolink-expect-instance")
        if expected not in (None, self.name):
            exchange.write(
                "421 Misdirected Request", {"Pimentolink-Instance-Id": self.name}, b""
            )
            return
        if request.path == "/report":
            exchange.write("200 OK", {}, json.dumps(self._report()).encode())
            return
        if request.path == "/kv-list":
            document = {"epoch": 1, "next": 1, "held": [], "born": self.born}
            exchange.write("200 OK", {}, json.dumps(document).encode())
            return
        if request.path == "/order":
            self.rig.record.add(f"{self.name} gets an order: {request.body!r}")
            exchange.write("409 Conflict", {}, b"")
            return
        self.arrivals.append((self.rig.record.now(), request.request_id))
        self.rig.record.add(f"{self.name} gets {request.request_id} {request.start}")
        await self.handler(exchange)
        await writer.drain()

    def _report(self) -> dict[str, Any]:
        return {
            "phase": self.phase,
            "models": [],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 400_000,
            "kvHandles": 0,
            "born": self.born,
        }

    def ran(self, exchange: Exchange) -> None:
        """Record that a run began."""
        self.runs.append((self.rig.record.now(), exchange.request.request_id))
        self.rig.record.add(f"{self.name} runs {exchange.request.request_id}")


class Caller:
    """A kept connection of a consumer to a gateway."""

    def __init__(self, rig: Rig, gateway: str) -> None:
        """Prepare; the connection is opened when it is needed."""
        self.rig = rig
        self._gateway = gateway
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, receive_buffer: int = 0) -> None:
        """Open the connection."""
        host, _, port = self.rig.listen[self._gateway].rpartition(":")
        connection = socket.socket()
        if receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (host, int(port)))
        self.reader, self.writer = await asyncio.open_connection(
            sock=connection, limit=100_000_000
        )

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    def send(
        self,
        method: str,
        path: str,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> str:
        """Write a request; return its id."""
        assert self.writer is not None
        name = f"{random.getrandbits(64):016x}"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Pimentolink-Request-Id: {name}",
            f"Pimentolink-Deadline-Ms: {deadline_ms}",
        ]
        lines += [f"{key}: {value}" for key, value in (headers or {}).items()]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        self.rig.record.add(f"a consumer sends {name} {method} {path}")
        return name

    async def receive(self, name: str, within: float) -> Message | None:
        """Read an answer; ``None`` if there is none or not a whole one."""
        assert self.reader is not None
        try:
            answer = await asyncio.wait_for(self._receive(), within)
        except TimeoutError:
            self.rig.record.add(f"{name} has no whole answer within {within:.1f} s")
            return None
        if answer is None:
            how = self.reader.exception() or "closed"
            self.rig.record.add(f"{name}: no whole answer; the connection is {how}")
        else:
            body = answer.body[:60]
            self.rig.record.add(f"{name} is answered {answer.status}: {body!r}")
        return answer

    async def _receive(self) -> Message | None:
        assert self.reader is not None
        answer = await read_head(self.reader)
        if answer is None or not await read_body(self.reader, answer):
            return None
        return answer

    async def ask(
        self,
        method: str,
        path: str,
        deadline_ms: int = 1500,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> tuple[str, int]:
        """
        Make a request; open a connection if there is none.

        :returns: its id and the status of its answer, 0 if there was none.
        """
        if self.writer is None:
            await self.open()
        name = self.send(method, path, deadline_ms, headers, body)
        answer = await self.receive(name, deadline_ms / 1000 + 1.0)
        if answer is None or answer.headers.get("connection") == "close":
            self.close()
        return name, 0 if answer is None else answer.status


class Rig:
    """A store, engines and gateways."""

    def __init__(self, folder: Path) -> None:
        """Prepare a temporary folder."""
        self.record = Record(folder)
        # Addresses of its own, so that deployments beside it choose other ports.
        octets = [random.SystemRandom().randint(16, 250) for _ in range(2)]
        self.network = f"127.{octets[0]}.{octets[1]}"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.listen: dict[str, str] = {}
        self.readiness: dict[str, str] = {}
        self.engines: list[Engine] = []
        self._settings: dict[str, Path] = {}
        self._store = ""

    def _launch(self, name: str, arguments: list[str], **variables: str) -> None:
        environment = dict(os.environ)
        environment["PYTHONPATH"] = f"{ROOT}:{ROOT / 'target' / 'deps'}"
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env=environment | variables,
                stdout=log,
                stderr=log,
            )

    async def start_store(self) -> None:
        """Start the project's stand-in of the store."""
        host = f"{self.network}.200"
        self._store = f"{host}:{free_port(host)}"
        self._launch(
            "store", ["-m", "standins.platform_store", "--listen", self._store]
        )
        await self._wait_for_port("store", self._store)

    async def _wait_for_port(self, name: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            if self.processes[name].poll() is not None:
                break
            try:
                socket.create_connection((host, int(port)), timeout=1.0).close()
            except OSError:
                await asyncio.sleep(0.05)
            else:
                return
        raise CannotRun(f"{name} does not listen")

    async def put(self, key: str, value: Any) -> None:
        """Write a key on behalf of the operator or an engine."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        body = json.dumps({"value": data}).encode()
        await asyncio.to_thread(self._call_store, f"/operator?key={key}", body)

    async def remove(self, key: str) -> None:
        """Remove a key on behalf of the operator or an engine."""
        await asyncio.to_thread(self._call_store, f"/operator?key={key}", b"null")

    async def control_store(self, path: str, value: Any = None) -> None:
        """Set a fault of the store, or make it copy or restore its keys."""
        body = json.dumps({} if value is None else value).encode()
        await asyncio.to_thread(self._call_store, path, body)

    def _call_store(self, path: str, body: bytes) -> None:
        request = urllib.request.Request(
            f"http://{self._store}{path}", data=body, method="PUT"
        )
        with urllib.request.urlopen(request, timeout=5.0) as response:
            response.read()

    async def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        version: int = 1,
        **further: Any,
    ) -> None:
        """Write a configuration with the limits of the page's example."""
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        await self.put("op/config", document | further)

    async def start_gateway(self, name: str, number: int = 1, **further: Any) -> None:
        """
        Start a gateway with the settings that ``deploy/settings.json`` gives.

        :param number: last part of its address.
        :param further: further settings.
        """
        address = f"{self.network}.{number}"
        ports = [free_port(address) for _ in range(4)]
        listen, readiness, peers, metrics = (f"{address}:{port}" for port in ports)
        settings = {
            "instance": name,
            "data_centre": ZONE,
            "listen": listen,
            "readiness": readiness,
            "peers": peers,
            "metrics": metrics,
            "store": {"address": self._store},
            "budget": {"ratio": 0.2, "slack": 54, "window": 10},
            "adopt_within_ms": BOUNDS["configApplyMs"],
            "link_megabits": 1000.0,
            "is_first_start": True,
            "stop_within": BOUNDS["graceS"],
            "order_lease_ms": 3000,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings | further))
        self.listen[name], self.readiness[name] = listen, readiness
        self._settings[name] = path
        self.launch_gateway(name)
        await self._wait_for_port(name, readiness)
        deadline = time.monotonic() + START_TIMEOUT
        while not await asyncio.to_thread(self.is_ready, name):
            if time.monotonic() > deadline:
                raise CannotRun(f"{name} is not ready")
            await asyncio.sleep(0.05)
        self.record.note(f"{name} is ready")

    def launch_gateway(self, name: str) -> None:
        """Start the process of a gateway with the command of the deploy file."""
        arguments = ["-m", "pimentolink.platform.edge"]
        self._launch(name, arguments, PIMENTOLINK_BOOT=str(self._settings[name]))

    def is_ready(self, name: str) -> bool:
        """Ask a gateway whether it is ready, as the platform does."""
        url = f"http://{self.readiness[name]}/readyz"
        try:
            with urllib.request.urlopen(url, timeout=1.0) as response:
                return bool(response.status == 200)
        except OSError:
            return False

    async def engine(
        self,
        name: str,
        service: str,
        handler: Handler,
        slots: int = 6,
        phase: str = "",
    ) -> Engine:
        """Start an engine and list it."""
        engine = Engine(self, name, service, handler, slots, phase)
        self.engines.append(engine)
        await engine.start()
        return engine

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the rig."""
        self.record.note(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    def close(self) -> None:
        """End all processes and remove the folder."""
        for engine in self.engines:
            engine.close()
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.write()


def route(name: str, kind: str, service: str, **extra: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    settings = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "maxAttempts": 1,
        "priority": 2,
    }
    return settings | extra


Case = Callable[[Rig, bool], Awaitable[bool]]


def main(folder: str, case: Case) -> None:
    """
    Run a case, and exit as the review asks.

    :param folder: of the case.
    :param case: called with the rig and whether the disruption is played; returns
        whether the rule held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        rig = Rig(Path(folder))
        rig.record.note(f"with the disruption: {has_trouble}")
        running = asyncio.current_task()
        assert running is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, running.cancel)
        try:
            return 0 if await case(rig, has_trouble) else 1
        except (CannotRun, OSError, asyncio.CancelledError) as error:
            rig.record.note(f"the case could not run: {error!r}")
            return 2
        finally:
            rig.close()

    sys.exit(asyncio.run(run()))
