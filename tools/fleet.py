"""Starts a small fleet of real processes on loopback and ends it again."""

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
START_WITHIN = 20.0
POLL = 0.02
# Below the range that the system takes ports of outgoing connections from.
FIRST_PORT, LAST_PORT = 10_000, 32_000
CLAIM_ADDRESS = "127.0.0.2"
# Kept for the life of the process, a few hundred in a run of all tests.
_claims_by_port: dict[int, socket.socket] = {}


class Reply(NamedTuple):
    """An HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """Decode the body."""
        return json.loads(self.body)


def free_port() -> int:
    """
    Pick a port that nothing uses and that no outgoing connection is given.

    Between the choice and the bind another test process could choose the same port;
    so each holds what it chose on a loopback address that nothing else uses.
    """
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        claim = socket.socket()
        try:
            claim.bind((CLAIM_ADDRESS, port))
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
        except OSError:
            claim.close()
            continue
        _claims_by_port[port] = claim
        return port


def call(
    url: str,
    method: str = "GET",
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> Reply:
    """Make one HTTP request; statuses of 400 and over are answers too."""
    data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return Reply(response.status, _lower(response.headers), response.read())
    except urllib.error.HTTPError as error:
        with error:
            return Reply(error.code, _lower(error.headers), error.read())


def _lower(headers: Any) -> dict[str, str]:
    return {name.lower(): value for name, value in headers.items()}


def wait_until(condition: Any, within: float = START_WITHIN, what: str = "") -> Any:
    """Poll a condition until it is true; exceptions of sockets count as false."""
    end = time.monotonic() + within
    while True:
        try:
            value = condition()
            if value:
                return value
        except OSError:
            pass
        if time.monotonic() > end:
            raise TimeoutError(f"waited {within} s for {what or condition}")
        time.sleep(POLL)


class Process:
    """One process of the fleet."""

    def __init__(
        self,
        name: str,
        arguments: list[str],
        address: str,
        folder: Path,
        further: tuple[str, ...] = (),
    ) -> None:
        """
        Start it; its output goes to a file.

        :param further: addresses that it opens besides, one after the other.
        """
        self.name = name
        self.arguments = arguments
        self.address = address
        self.further = further
        self.log_path = folder / f"{name}.log"
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=log, stderr=log
            )

    def send(self, number: int) -> None:
        """Send a signal."""
        os.kill(self.popen.pid, number)

    def kill(self) -> None:
        """End it without warning."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Freeze it."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        self.send(signal.SIGCONT)

    def stop(self, within: float = 30.0) -> int:
        """End it gracefully; return its exit code."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        return self.popen.wait(within)

    def listens(self) -> bool:
        """Tell whether it takes connections at all of its addresses."""
        if not self.is_running:
            raise RuntimeError(f"{self.name} ended: {self.log_path.read_text()}")
        for address in (self.address, *self.further):
            host, _, port = address.rpartition(":")
            socket.create_connection((host, int(port)), timeout=1.0).close()
        return True

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.popen.poll() is None


class LogRetention:
    """Keeps the folders of fleets that ran during a failed test, removes all others."""

    def __init__(self, parent: Path) -> None:
        """
        Start without fleets.

        :param parent: folder in which the folders of fleets are made.
        """
        self.parent = parent
        self._running: set[Path] = set()
        self._closed: set[Path] = set()
        self._kept: set[Path] = set()

    def started(self, folder: Path) -> None:
        """Take note of a fleet that starts."""
        self._running.add(folder)

    def closed(self, folder: Path) -> None:
        """Take note of a fleet whose processes have ended."""
        self._running.discard(folder)
        self._closed.add(folder)

    def test_failed(self) -> list[Path]:
        """
        Keep what has run during the current test.

        :returns: the folders.
        """
        folders = self._running | self._closed
        self._kept |= folders
        return sorted(folders)

    def test_ended(self) -> None:
        """Remove the folders of closed fleets that no failed test used."""
        for folder in self._closed - self._kept:
            shutil.rmtree(folder)
        self._closed.clear()


class Fleet:
    """
    Processes by name, with the settings files that they read.

    :ivar retention: decides which folders are kept; without it all are removed.
    """

    retention: ClassVar[LogRetention | None] = None

    def __init__(self) -> None:
        """Start with none."""
        parent = self.retention.parent if self.retention else None
        self.folder = Path(tempfile.mkdtemp(prefix="pimentolink-", dir=parent))
        if self.retention:
            self.retention.started(self.folder)
        self.processes_by_name: dict[str, Process] = {}
        self._starting: list[Process] = []
        self.readiness_by_gateway: dict[str, str] = {}
        self.metrics_by_gateway: dict[str, str] = {}

    def __enter__(self) -> Fleet:
        """Use as a context: every process is ended with it."""
        return self

    def __exit__(self, *_: object) -> None:
        """End every process."""
        self.close()

    def close(self) -> None:
        """End every process that is left, and wait for it."""
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
        """Tell where the platform's services are."""
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
        """Start the sidecar of a target that runs already."""
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
        """Start a gateway on the platform's stand-ins."""
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
        """Start a process that ended, as it was started before."""
        before = self.processes_by_name[name]
        return self._launch(name, before.arguments, before.address, before.further)

    def _launch(
        self,
        name: str,
        arguments: list[str],
        address: str,
        further: tuple[str, ...] = (),
    ) -> Process:
        process = Process(name, arguments, address, self.folder, further)
        self.processes_by_name[name] = process
        self._starting.append(process)
        return process

    def settle(self) -> None:
        """Wait until every process that was started listens."""
        starting, self._starting = self._starting, []
        for process in starting:
            wait_until(process.listens, what=f"{process.name} to listen")

    def write(self, name: str, value: Any) -> Path:
        """Write a JSON file; return its path."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(value))
        return path

    def address(self, name: str) -> str:
        """Tell where a process listens."""
        return self.processes_by_name[name].address

    def url(self, name: str, path: str) -> str:
        """Make a URL of a process, which is waited for if it has just started."""
        self.settle()
        return f"http://{self.address(name)}{path}"

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command line to its end."""
        return subprocess.run(
            [sys.executable, "-m", "pimentolink.cli", *arguments],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )

    def apply(self, configuration: dict[str, Any]) -> None:
        """Apply a configuration with the command line."""
        self.settle()
        path = self.write("configuration", configuration)
        platform = str(self.folder / "platform.json")
        done = self.command("config", "apply", str(path), "--platform", platform)
        if done.returncode:
            raise RuntimeError(done.stderr)

    def faults(self) -> list[str]:
        """List the lines in which a process tells of a fault of its own."""
        return [
            f"{name}: {line}"
            for name, process in self.processes_by_name.items()
            for line in process.log_path.read_text().splitlines()
            if "unhandled_error" in line or line.startswith("Traceback")
        ]

    def wait_ready(self, entry: str, targets: list[str]) -> None:
        """Wait until an entry can reach all of these targets."""

        def is_ready() -> bool:
            headers = {"authorization": f"Bearer {SHARED_KEY}"}
            told = call(self.url(entry, "/pimentolink/status"), headers=headers).json
            available = {
                target["target"] for target in told["targets"] if target["available"]
            }
            return bool(told["configuration_version"]) and available >= set(targets)

        wait_until(is_ready, what=f"{entry} to reach {targets}")
