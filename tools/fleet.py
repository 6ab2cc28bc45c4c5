"""Runs real processes on loopback for tests, benchmarks and demonstrations."""

from __future__ import annotations

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
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any, ClassVar, NamedTuple

SHARED_KEY = "a shared key for loopback only"
START_TIMEOUT = 20.0
POLL_INTERVAL = 0.02
# Below the range of ephemeral ports, from which outgoing connections take theirs.
FIRST_PORT, LAST_PORT = 10_000, 32_000
RESERVATION_ADDRESS = "127.0.0.2"
# Kept until this process exits; a run of all tests makes a few hundred.
_reservations_by_port: dict[int, socket.socket] = {}


class Reply(NamedTuple):
    """An HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """Parse the body as JSON."""
        return json.loads(self.body)


def free_port() -> int:
    """
    Choose an unused port outside the range of ephemeral ports.

    Another test process could choose the same port before it is bound. So each process
    reserves its ports by binding them on a loopback address that nothing else uses.
    """
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        reservation = socket.socket()
        try:
            reservation.bind((RESERVATION_ADDRESS, port))
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
        except OSError:
            reservation.close()
            continue
        _reservations_by_port[port] = reservation
        return port


def call(
    url: str,
    method: str = "GET",
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> Reply:
    """Make an HTTP request; a status of 400 or above raises no exception."""
    data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return Reply(
                response.status, _lowercase_names(response.headers), response.read()
            )
    except urllib.error.HTTPError as error:
        with error:
            return Reply(error.code, _lowercase_names(error.headers), error.read())


def _lowercase_names(headers: Any) -> dict[str, str]:
    return {name.lower(): value for name, value in headers.items()}


def wait_until(condition: Any, within: float = START_TIMEOUT, what: str = "") -> Any:
    """Poll a condition until it is true; an ``OSError`` counts as false."""
    deadline = time.monotonic() + within
    while True:
        try:
            value = condition()
            if value:
                return value
        except OSError:
            pass
        if time.monotonic() > deadline:
            raise TimeoutError(
                f"timed out after {within} s waiting for {what or condition}"
            )
        time.sleep(POLL_INTERVAL)


class Process:
    """A process of the fleet."""

    def __init__(
        self,
        name: str,
        arguments: list[str],
        address: str,
        folder: Path,
        other_addresses: tuple[str, ...] = (),
    ) -> None:
        """
        Start the process and append its output to a log file.

        :param other_addresses: further addresses on which the process listens.
        """
        self.name = name
        self.arguments = arguments
        self.address = address
        self.other_addresses = other_addresses
        self.log_path = folder / f"{name}.log"
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=log, stderr=log
            )

    def send(self, signal_number: int) -> None:
        """Send a signal to the process."""
        os.kill(self.popen.pid, signal_number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Suspend the process."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.send(signal.SIGCONT)

    def stop(self, within: float = 30.0) -> int:
        """Stop the process gracefully and return its exit code."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        return self.popen.wait(within)

    def listens(self) -> bool:
        """Check that the process accepts connections at all of its addresses."""
        if not self.is_running:
            raise RuntimeError(f"{self.name} exited: {self.log_path.read_text()}")
        for address in (self.address, *self.other_addresses):
            host, _, port = address.rpartition(":")
            socket.create_connection((host, int(port)), timeout=1.0).close()
        return True

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self.popen.poll() is None


class LogRetention:
    """Keeps the folders of fleets that ran during a failed test and removes others."""

    def __init__(self, parent: Path) -> None:
        """
        Create a retention without fleets.

        :param parent: folder in which the folders of fleets are created.
        """
        self.parent = parent
        self._running: set[Path] = set()
        self._closed: set[Path] = set()
        self._retained: set[Path] = set()

    def started(self, folder: Path) -> None:
        """Register a fleet that starts."""
        self._running.add(folder)

    def closed(self, folder: Path) -> None:
        """Register that all processes of a fleet have ended."""
        self._running.discard(folder)
        self._closed.add(folder)

    def test_failed(self) -> list[Path]:
        """
        Keep the folders of fleets that ran during the current test.

        :returns: these folders.
        """
        folders = self._running | self._closed
        self._retained |= folders
        return sorted(folders)

    def test_ended(self) -> None:
        """Remove the folders of closed fleets that ran during no failed test."""
        for folder in self._closed - self._retained:
            shutil.rmtree(folder)
        self._closed.clear()


class Fleet:
    """
    Named processes and the settings files that they read.

    :ivar retention: decides which folders are kept; if ``None``, all are removed.
    """

    retention: ClassVar[LogRetention | None] = None

    def __init__(self) -> None:
        """Create a fleet without processes."""
        parent = self.retention.parent if self.retention else None
        self.folder = Path(tempfile.mkdtemp(prefix="pimentolink-", dir=parent))
        if self.retention:
            self.retention.started(self.folder)
        self.processes_by_name: dict[str, Process] = {}
        self._starting: list[Process] = []
        self.readiness_by_gateway: dict[str, str] = {}
        self.metrics_by_gateway: dict[str, str] = {}

    def __enter__(self) -> Fleet:
        """Return the fleet, whose processes end with the context."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill all processes."""
        self.close()

    def close(self) -> None:
        """Kill all running processes and wait for their end."""
        for process in self.processes_by_name.values():
            if process.is_running:
                process.send(signal.SIGCONT)
                process.popen.kill()
                process.popen.wait()
        if self.retention:
            self.retention.closed(self.folder)
        else:
            shutil.rmtree(self.folder)

    def start(
        self, name: str, module: str, *options: str, address: str | None = None
    ) -> Process:
        """Start a stand-in."""
        address = address or f"127.0.0.1:{free_port()}"
        arguments = [module, "--listen", address, *options]
        return self._launch(name, arguments, address)

    def start_platform(self, lag: float = 0.2) -> None:
        """Start the key-value service and the list of instances."""
        self.start("key_value", "standins.key_value")
        self.start("instance_list", "standins.instance_list", "--lag", str(lag))
        self.write("platform", self.platform_settings())

    def platform_settings(self) -> dict[str, Any]:
        """Return settings with the addresses of the platform's services."""
        return {
            "key_value": self.address("key_value"),
            "instance_list": self.address("instance_list"),
            "list_interval": 0.2,
            "watch_wait": 5.0,
            "timeout": 1.0,
            "backoff_most": 0.5,
        }

    def start_sidecar(
        self, target: str, data_centre: str, address: str | None = None, **extra: Any
    ) -> Process:
        """Start the sidecar of a target that is already running."""
        name = f"sidecar-{target}"
        address = address or f"127.0.0.1:{free_port()}"
        settings = {
            "instance": name,
            "data_centre": data_centre,
            "listen": address,
            "target": target,
            "target_address": self.address(target),
            "orders": {"spread": 0.1},
            "shared_key": SHARED_KEY,
            "platform": self.platform_settings(),
            "links": {"reconnect": 0.1, "heartbeat": 1.0, "silence": 4.0},
            **extra,
        }
        path = self.write(name, settings)
        return self._launch(name, ["pimentolink.cli", "sidecar", str(path)], address)

    def start_entry(
        self, name: str, data_centre: str, address: str | None = None, **extra: Any
    ) -> Process:
        """Start an entry."""
        address = address or f"127.0.0.1:{free_port()}"
        settings = {
            "instance": name,
            "data_centre": data_centre,
            "listen": address,
            "shared_key": SHARED_KEY,
            "platform": self.platform_settings(),
            "links": {"reconnect": 0.1, "heartbeat": 1.0, "silence": 4.0},
            "leave_delay": 0.2,
            **extra,
        }
        path = self.write(name, settings)
        return self._launch(name, ["pimentolink.cli", "entry", str(path)], address)

    def start_gateway(self, name: str, **extra: Any) -> Process:
        """Start a gateway that uses the stand-in of the platform's store."""
        listen, readiness, peers, metrics = (
            f"127.0.0.1:{free_port()}" for _ in range(4)
        )
        settings = {
            "instance": name,
            "data_centre": "north",
            "listen": listen,
            "readiness": readiness,
            "peers": peers,
            "metrics": metrics,
            "store": {"address": self.address("store"), "timeout": 0.5},
            "stop_within": 5.0,
            **extra,
        }
        self.readiness_by_gateway[name] = readiness
        self.metrics_by_gateway[name] = metrics
        path = self.write(name, settings)
        arguments = ["pimentolink.platform.edge", str(path)]
        return self._launch(name, arguments, listen, (readiness, metrics))

    def start_again(self, name: str) -> Process:
        """Restart a process that has ended, with the same arguments."""
        previous = self.processes_by_name[name]
        return self._launch(
            name, previous.arguments, previous.address, previous.other_addresses
        )

    def _launch(
        self,
        name: str,
        arguments: list[str],
        address: str,
        other_addresses: tuple[str, ...] = (),
    ) -> Process:
        process = Process(name, arguments, address, self.folder, other_addresses)
        self.processes_by_name[name] = process
        self._starting.append(process)
        return process

    def settle(self) -> None:
        """Wait until every started process accepts connections."""
        starting, self._starting = self._starting, []
        for process in starting:
            wait_until(process.listens, what=f"{process.name} to listen")

    def write(self, name: str, value: Any) -> Path:
        """Write a JSON file and return its path."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(value))
        return path

    def address(self, name: str) -> str:
        """Return the address on which a process listens."""
        return self.processes_by_name[name].address

    def url(self, name: str, path: str) -> str:
        """Return a URL of a process once it accepts connections."""
        self.settle()
        return f"http://{self.address(name)}{path}"

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command-line interface and wait for its end."""
        return subprocess.run(
            [sys.executable, "-m", "pimentolink.cli", *arguments],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )

    def apply(self, configuration: dict[str, Any]) -> None:
        """Apply a configuration with the command-line interface."""
        self.settle()
        path = self.write("configuration", configuration)
        platform = str(self.folder / "platform.json")
        result = self.command("config", "apply", str(path), "--platform", platform)
        if result.returncode:
            raise RuntimeError(result.stderr)

    def faults(self) -> list[str]:
        """List the log lines with unhandled errors and tracebacks."""
        return [
            f"{name}: {line}"
            for name, process in self.processes_by_name.items()
            for line in process.log_path.read_text().splitlines()
            if "unhandled_error" in line or line.startswith("Traceback")
        ]

    def wait_ready(self, entry: str, targets: list[str]) -> None:
        """Wait until an entry reports all of these targets as available."""

        def is_ready() -> bool:
            headers = {"authorization": f"Bearer {SHARED_KEY}"}
            status_report = call(
                self.url(entry, "/pimentolink/status"), headers=headers
            ).json
            available = {
                target["target"]
                for target in status_report["targets"]
                if target["available"]
            }
            return bool(status_report["configuration_version"]) and available >= set(
                targets
            )

        wait_until(is_ready, what=f"{entry} to reach {targets}")
