"""A small deployment on loopback, of the project's gateways and of stand-ins."""

from __future__ import annotations

import base64
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any
from uuid import uuid4

ROOT = Path(__file__).resolve().parents[2]
HERE = Path(__file__).resolve().parent
HOST = "h.example"
BROKEN, HELD, NOT_RUN = 1, 0, 2
# Seconds after which the platform removes the entry of a target that says nothing:
# three liveness report intervals of 1.2 s.
SILENCE = 3.6
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 56,
    "recoveryS": 12,
    "transitMs": 120,
    "reuseWindowS": 7.5,
    "requireFencing": False,
    "leaseMs": 3000,
    "thawSlackMs": 300,
}


def has_trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings as the platform does."""

    def look_up(name: str) -> Any:
        value: Any = fields
        for step in name.split("."):
            if isinstance(value, list):
                value = value[int(step)] if int(step) < len(value) else None
            else:
                value = value.get(step) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        return render(match[2], fields) if look_up(match[1]) else ""

    def placeholder(match: re.Match[str]) -> str:
        value = look_up(match[1])
        if match[2]:
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


class World:
    """The processes of one run of a case, and what is recorded of it."""

    def __init__(self, folder: Path) -> None:
        """Create an empty deployment; ``folder`` receives ``record.txt``."""
        self.began_at = time.time()
        self.folder = Path(tempfile.mkdtemp())
        self.record_path = folder / "record.txt"
        self.record_path.write_text("")
        self.journal = self.folder / "journal.jsonl"
        self.journal.write_text("")
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.commands: dict[str, tuple[list[str], dict[str, str]]] = {}
        self.addresses: dict[str, str] = {}
        self.readiness: dict[str, str] = {}
        self._taken: set[int] = set()
        self._lock = threading.Lock()

    def note(self, text: str, at: float | None = None) -> None:
        """Write a line to the record."""
        seconds = (time.time() if at is None else at) - self.began_at
        with self._lock, self.record_path.open("a") as file:
            file.write(f"{seconds:8.3f} {text}\n")

    def port(self) -> int:
        """Return a port that nothing uses."""
        while True:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                number = int(probe.getsockname()[1])
            if number not in self._taken:
                self._taken.add(number)
                return number

    def address(self) -> str:
        """Return a loopback address with a free port."""
        return f"127.0.0.1:{self.port()}"

    def start(self, name: str, command: list[str], **variables: str) -> None:
        """Start a process, with the environment of the deploy file."""
        self.commands[name] = (command, variables)
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment |= variables
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.note(f"start {name}")

    def restart(self, name: str) -> None:
        """Start a process that has ended once more, with the same settings."""
        command, variables = self.commands[name]
        self.start(name, command, **variables)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this run started."""
        self.note(f"{number.name} to {name}")
        os.kill(self.processes[name].pid, number)
        if number is signal.SIGKILL:
            self.processes[name].wait()

    def close(self) -> None:
        """End all processes that this run started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        if "KEEP" in os.environ:
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def log_text(self, name: str) -> str:
        """Return what a process has written."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def store(self) -> None:
        """Start the project's stand-in of the platform's store."""
        self.addresses["store"] = self.address()
        self.start(
            "store",
            [
                "python3",
                "-m",
                "standins.platform_store",
                "--listen",
                self.addresses["store"],
            ],
        )
        self.wait_listening(self.addresses["store"])

    def engine(self, name: str, service: str, **options: Any) -> None:
        """Start a target, which registers itself."""
        address = options.pop("address", None) or self.address()
        self.addresses[name] = address
        command = ["python3", str(HERE / "engine.py"), "--listen", address]
        command += ["--store", self.addresses["store"], "--instance", name]
        command += ["--service", service, "--journal", str(self.journal)]
        for key, value in options.items():
            command += [f"--{key}"] if value is True else [f"--{key}", str(value)]
        self.start(name, command)
        self.wait_listening(address)

    def gateway(self, name: str, **changes: Any) -> None:
        """Start a gateway with the settings that the platform would give it."""
        front, ready = self.address(), self.address()
        self.addresses[name], self.readiness[name] = front, ready
        fields = {
            "nodeName": name,
            "zone": "trenta",
            "listen": {"front": front, "readiness": ready},
            "ip": "127.0.0.1",
            "internalPorts": [self.port(), self.port()],
            "provider": {"address": self.addresses["store"]},
            "bounds": BOUNDS | changes.pop("bounds", {}),
            "limits": {"linkMbps": 1000.0},
            "bootstrap": True,
        } | changes
        template = (ROOT / "deploy" / "settings.json").read_text()
        path = self.folder / f"{name}.boot"
        path.write_text(render(template, fields))
        command = ["python3", "-m", "pimentolink.platform.edge"]
        self.start(name, command, PIMENTOLINK_BOOT=str(path))

    def wait_listening(self, address: str, within: float = 15.0) -> None:
        """Wait until a process accepts connections."""

        def accepts() -> bool:
            host, _, port = address.rpartition(":")
            try:
                socket.create_connection((host, int(port)), timeout=1).close()
            except OSError:
                return False
            return True

        self.wait(accepts, within, f"{address} to listen")

    def wait(self, condition: Any, within: float, what: str) -> None:
        """Wait for a condition; raises :class:`TimeoutError` if it is not met."""
        end = time.monotonic() + within
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(what)
            time.sleep(0.02)

    def is_ready(self, name: str) -> bool:
        """Ask a gateway whether it is ready."""
        try:
            return self.http(self.readiness[name], "GET", "/readyz")[0] == 200
        except OSError:
            return False

    def wait_ready(self, *names: str) -> None:
        """Wait until gateways are ready."""
        for name in names:
            self.wait(lambda name=name: self.is_ready(name), 20, f"{name} to be ready")

    def http(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float = 10.0,
    ) -> tuple[int, bytes]:
        """Make a request on a connection of its own."""
        connection = http.client.HTTPConnection(address, timeout=timeout)
        try:
            connection.request(method, path, body or None, headers or {})
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def put(self, key: str, value: Any) -> None:
        """Write a key as the operator or a target; ``None`` removes it."""
        body: Any = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            body = {"value": text}
        self.http(
            self.addresses["store"],
            "PUT",
            f"/operator?key={key}",
            json.dumps(body).encode(),
        )
        self.note(f"store: {key} {'removed' if value is None else 'written'}")

    def configure(
        self, version: int, routes: list[dict[str, Any]], **others: Any
    ) -> None:
        """Write a configuration with these routes, and other fields as given."""
        defaults = {
            "host": HOST,
            "timeoutMs": 6000,
            "targetLatencyMs": 400,
            "priority": 0,
            "maxAttempts": 2,
            "sticky": False,
            "resumable": False,
            "targetGapMs": 400,
        }
        engine = {
            "slots": 128,
            "kvTokens": 700_000,
            "kvBytes": 18432,
            "linkMbps": 350_000.0,
            "kvTtlS": 5.0,
            "roleSwitchS": 3.0,
            "models": [{"name": "m"}],
        }
        self.put(
            "op/config",
            {
                "version": version,
                "routes": [
                    defaults | {"prefix": f"/{route['name']}/"} | route
                    for route in routes
                ],
                "services": [
                    {"name": "llm", "maxConnections": 620, "engine": engine},
                    {"name": "plain", "maxConnections": 110},
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 4194304,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            }
            | others,
        )

    def tell(self, name: str, **wanted: Any) -> None:
        """Change how a stand-in of a target behaves."""
        self.note(f"{name}: {wanted}")
        body = json.dumps(wanted).encode()
        self.http(self.addresses[name], "PUT", "/standin", body)

    def entries(self) -> list[dict[str, Any]]:
        """Return what all targets have written to their journal."""
        lines = self.journal.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def note_journal(self) -> None:
        """Add the journal of the targets to the record."""
        for entry in self.entries():
            at = entry.pop("at")
            self.note(f"engine {json.dumps(entry)}", at)


class Consumer(threading.Thread):
    """One consumer attempt on a connection of its own."""

    def __init__(
        self,
        world: World,
        address: str,
        path: str,
        budget: float = 6.0,
        method: str = "POST",
        body: bytes = b"x",
        prompt: str = "",
        tokens: str = "1460,20",
        **headers: str,
    ) -> None:
        """Prepare the request; ``prompt`` lists the parts of its prompt."""
        super().__init__(daemon=True)
        self.world = world
        self.address = address
        self.budget = budget
        self.request_id = uuid4().hex[:16]
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Pimentolink-Request-Id: {self.request_id}",
            f"Pimentolink-Deadline-Ms: {int(budget * 1000)}",
        ]
        if prompt:
            lines += [
                "Pimentolink-Model: m",
                f"Pimentolink-Token-Counts: {tokens}",
                f"Pimentolink-Prompt-Prefix: {prompt}",
            ]
        lines += [f"{name.replace('_', '-')}: {text}" for name, text in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.message = "\r\n".join(lines).encode() + body
        self.path = path
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.ended_how = ""
        self.sent_at = 0.0
        self.ended_at = 0.0

    def run(self) -> None:
        """Send the request and read the response until its end or the time budget."""
        self.world.note(f"consumer {self.request_id} sends {self.path}")
        host, _, port = self.address.rpartition(":")
        self.sent_at = time.monotonic()
        end = self.sent_at + self.budget
        received = b""
        try:
            with socket.create_connection((host, int(port)), timeout=1.0) as connection:
                connection.sendall(self.message)
                while not self.is_complete:
                    connection.settimeout(max(0.01, end - time.monotonic()))
                    data = connection.recv(65536)
                    if not data:
                        self.ended_how = "connection closed"
                        break
                    received += data
                    self.parse(received)
        except TimeoutError:
            self.ended_how = "time budget over"
        except OSError as error:
            self.ended_how = f"{type(error).__name__}"
        self.ended_how = self.ended_how or "complete"
        self.ended_at = time.monotonic()
        self.world.note(
            f"consumer {self.request_id} gets {self.status or 'no status'}, "
            f"{len(self.body)} bytes, events {self.event_ids()}, {self.ended_how}, "
            f"after {self.ended_at - self.sent_at:.3f} s"
        )

    def parse(self, received: bytes) -> None:
        """Read as much of the response as has arrived."""
        head, separator, rest = received.partition(b"\r\n\r\n")
        if not separator:
            return
        first, *lines = head.decode("latin-1").split("\r\n")
        self.status = int(first.split(" ")[1])
        for line in lines:
            name, _, value = line.partition(":")
            self.headers[name.lower()] = value.strip()
        if "content-length" in self.headers:
            length = int(self.headers["content-length"])
            self.body = rest[:length]
            self.is_complete = len(rest) >= length
            return
        self.body = b""
        while rest:
            size, separator, rest = rest.partition(b"\r\n")
            if not separator or len(rest) < int(size, 16) + 2:
                return
            if int(size, 16) == 0:
                self.is_complete = True
                return
            self.body += rest[: int(size, 16)]
            rest = rest[int(size, 16) + 2 :]

    def event_ids(self) -> list[int]:
        """Return the ids of the events received."""
        return [int(text) for text in re.findall(rb"id: (\d+)\n", self.body)]


def main(case: Any, folder: Path) -> None:
    """Run a case and exit with its outcome."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    world = World(folder)
    outcome = NOT_RUN
    try:
        outcome = case(world)
    except Exception as error:
        world.note(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        if "store" in world.addresses:
            world.note_journal()
        world.note(f"exit {outcome}")
        world.close()
    sys.exit(outcome)
