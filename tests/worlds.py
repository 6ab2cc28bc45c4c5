"""The two worlds that scenarios run in: virtual time, and real processes."""

import http.client
import json
import threading
import urllib.error
import urllib.request
from typing import Any

import msgspec
from result import Err
from twisted.internet.defer import Deferred

from pimentolink import link_pb2, porcelain
from pimentolink.configuration import Configuration, check
from pimentolink.errors import LateAnswer
from pimentolink.request import Request
from standins.engine import whole_answer
from tests.builders import TARGETS, configuration
from tests.scenario import Condition
from tests.virtual import VirtualEngine, VirtualNetwork, VirtualPlain, VirtualReply
from tools.fleet import SHARED_KEY, Fleet, call, free_port, wait_until
from tools.relay import RelayControl

PATIENCE = 60.0
STEP = 0.01
DEFAULT_TOKENS = 10


class BaseWorld:
    """What both worlds share: how conditions are told from facts."""

    noted = 0

    def check(self, condition: Condition) -> bool:
        return bool(getattr(self, f"is_{condition.kind}")(*condition.arguments))

    def note_started(self, target: str) -> None:
        self.noted = self.started_at(target)

    def is_started(self, target: str, count: int) -> bool:
        return self.started_at(target) == count

    def is_started_no_more(self, target: str) -> bool:
        return self.started_at(target) == self.noted

    def is_orders_in_order(self, target: str) -> bool:
        begun, overlaps = self.orders_of(target)
        return begun == sorted(begun) and overlaps == 0

    def is_ran_at_most(self, service: str, key: str, most: int) -> bool:
        return self.runs(service, key) <= most

    def is_ran(self, service: str, key: str, times: int) -> bool:
        return self.runs(service, key) == times

    def orders_of(self, target: str) -> tuple[list[int], int]:
        raise NotImplementedError

    def runs(self, service: str, key: str) -> int:
        raise NotImplementedError

    def started_at(self, target: str) -> int:
        raise NotImplementedError


class VirtualWorld(BaseWorld):
    """Entries and sidecars as objects in virtual time."""

    def __init__(self) -> None:
        self.network = VirtualNetwork()
        self.replies: dict[str, VirtualReply] = {}
        self.wanted: dict[str, str] = {}
        self.stopped: dict[str, bool] = {}
        self.racers: dict[str, Any] = {}
        self._places: dict[str, Any] = {}
        self.document = configuration()
        for name, target in self.document["targets"].items():
            kind = VirtualEngine if name.startswith("engine") else VirtualPlain
            self.network.start_target(name, kind)
            port = 100 + len(self._places)
            self._places[name] = (target["data_centre"], port)
            self.network.start_sidecar(name, target["data_centre"], port)
        self._apply(self.document)

    def _apply(self, document: dict[str, Any]) -> None:
        accepted = check(document).ok_value
        self.document = document
        applied: list[Any] = []
        pending = Deferred.fromCoroutine(
            porcelain.apply_configuration(self.network.memory, accepted, "test")
        )
        pending.addCallback(applied.append)
        assert applied and not isinstance(applied[0], Err), applied

    def wait_for(self, condition: Condition) -> bool:
        end = self.network.clock.now() + PATIENCE
        while self.network.clock.now() < end:
            if self.check(condition):
                return True
            self.network.clock.advance(STEP)
        return False

    def start_entry(self, name: str, data_centre: str) -> None:
        self._places[name] = (data_centre, 0)
        self.network.start_entry(name, data_centre)
        ready = Condition("reaches", [name, "everything"])
        if not self.network.memory.is_down:
            assert self.wait_for(ready), f"{name} reaches not all targets"

    def is_reaches(self, entry: str, target: str) -> bool:
        wanted = set(TARGETS) if target == "everything" else {target}
        known = self.network.entries[entry].directory.describe()
        linked = {item["target"] for item in known if item["available"]}
        pools = self.network.entries[entry].dispatcher._router.pool_by_service
        pooled = {name for pool in pools.values() for name in pool.targets_by_id}
        return linked >= wanted and pooled >= wanted

    def restart(self, name: str) -> None:
        data_centre, port = self._places[name.removeprefix("sidecar-")]
        if name.startswith("sidecar-"):
            target = name.removeprefix("sidecar-")
            assert self.network.start_sidecar(target, data_centre, port)
        else:
            self.start_entry(name, data_centre)

    def stop(self, name: str) -> None:
        node = self.network.sidecars.get(name) or self.network.entries[name]
        ended = self._stop_entry(node) if name in self.network.entries else node.stop()
        self.stopped[name] = False

        def done(_: Any) -> None:
            self.stopped[name] = True

        Deferred.fromCoroutine(ended).addCallback(done)

    async def _stop_entry(self, entry: Any) -> None:
        await entry.leave()
        await entry.finish()

    def is_ended(self, name: str, code: int) -> bool:
        return self.stopped.get(name, False) and code == 0

    def kill(self, name: str) -> None:
        self.network.kill(name)

    def pause(self, name: str) -> None:
        self.network.pause(name)

    def resume(self, name: str) -> None:
        self.network.processes[name].resume()

    def cut(self, one: str, other: str) -> None:
        self.network.cut(one, other)

    def heal(self, one: str, other: str) -> None:
        self.network.heal(one, other)

    def outage(self) -> None:
        self.network.memory.set_down(True)

    def recovery(self) -> None:
        self.network.memory.set_down(False)

    def lose(self, count: int) -> None:
        self.network.memory.answers_to_lose = count

    def slow(self, name: str, seconds: float) -> None:
        target = self.network.targets[name]
        target.order_time = target.duration = seconds  # type: ignore[attr-defined]

    def set_role(self, target: str, role: str) -> None:
        document = json.loads(json.dumps(self.document))
        document["targets"][target]["role"] = role
        self._apply(document)

    def drain(self, target: str) -> None:
        document = json.loads(json.dumps(self.document))
        document["targets"][target]["drained"] = True
        self._apply(document)

    def restore(self, target: str) -> None:
        document = json.loads(json.dumps(self.document))
        document["targets"][target]["drained"] = False
        self._apply(document)

    def pass_time(self, seconds: float) -> None:
        self.network.clock.advance(seconds)

    def send(
        self, name: str, service: str, entry: str, key: str | None, tokens: int | None
    ) -> None:
        count = tokens or DEFAULT_TOKENS
        is_model = service == "claims"
        body = {"model": service, "prompt": name, "max_tokens": count}
        reply = VirtualReply()
        self.replies[name] = reply
        self.wanted[name] = whole_answer(name, count) if is_model else ""
        request = Request(
            request_id=f"{name}-{len(self.replies)}",
            service=service,
            work="triage" if is_model else "dispatch",
            priority=0,
            patience=20.0,
            caller="",
            method="POST",
            path="/v1/completions" if is_model else "/send",
            headers={},
            body=json.dumps(body).encode() if is_model else (key or name).encode(),
            idempotency_key=key or "",
            is_model=is_model,
            prefill_tokens=max(2, len(name) // 4) if is_model else 0,
            decode_tokens=count if is_model else 0,
            token_limit=count if is_model else 0,
            prefixes=(),
            traceparent="",
        )
        self.network.entries[entry].dispatcher.submit(request, reply)

    def is_outcome(self, name: str, *outcomes: str) -> bool:
        reply = self.replies[name]
        assert reply.finals <= 1
        if reply.is_complete:
            is_whole = "".join(reply.received) == self.wanted[name]
            return "whole" in outcomes and is_whole
        if reply.failure is None:
            return False
        if isinstance(reply.failure, LateAnswer):
            return "late" in outcomes
        return ("unknown" if reply.failure.ran else "refused") in outcomes

    def is_over(self, name: str) -> bool:
        return self.replies[name].finals > 0

    def is_tokens(self, name: str, count: int) -> bool:
        return len(self.replies[name].received) >= count

    def runs(self, service: str, key: str) -> int:
        targets = self.network.targets.values()
        plain = [target for target in targets if isinstance(target, VirtualPlain)]
        return sum(target.runs[key] for target in plain)

    def is_role(self, target: str, role: str) -> bool:
        return self.network.targets[target].role == role

    def is_under_order(self, target: str) -> bool:
        return self.network.targets[target].under_order > 0

    def started_at(self, target: str) -> int:
        return len(self.network.targets[target].started)

    def orders_of(self, target: str) -> tuple[list[int], int]:
        engine = self.network.targets[target]
        return engine.begun, engine.overlaps

    def is_nothing_cut(self, target: str) -> bool:
        return self.network.targets[target].cut_off == 0

    def is_version(self, version: int, name: str) -> bool:
        node = self.network.entries.get(name) or self.network.sidecars[name]
        adoption = getattr(node, "adoption", None) or node._adoption
        return adoption.version == version

    def is_version_everywhere(self, version: int) -> bool:
        names = [*self.network.entries, *self.network.sidecars]
        live = [name for name in names if not self.network.processes[name].is_killed]
        return all(self.is_version(version, name) for name in live)

    def stranger(self, sidecar: str) -> None:
        raise NotImplementedError("proof of the key is tested on real connections")

    def race(self, target: str, role: str, other: str) -> None:
        """Two operators change the configuration from the same version."""
        base = self._current_version()
        for name, document in (("first", role), ("second", other)):
            changed = json.loads(json.dumps(self.document))
            changed["targets"][target]["role"] = document
            accepted = msgspec.convert(changed, Configuration)
            pending = Deferred.fromCoroutine(
                porcelain.apply_configuration(
                    self.network.memory, accepted, name, against=base
                )
            )
            pending.addCallback(lambda out, who=name: self.racers.update({who: out}))

    def _current_version(self) -> int:
        stored = self.network.memory._read("pimentolink/configuration").data
        return json.loads(stored)["version"]

    def is_lost_race(self, name: str) -> bool:
        return isinstance(self.racers[name], Err)


class RealWorld(BaseWorld):
    """Processes on loopback, with a relay before each sidecar that can be cut."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.results: dict[str, dict[str, Any]] = {}
        self.threads: dict[str, threading.Thread] = {}
        self.wanted: dict[str, str] = {}
        self.racers: dict[str, int] = {}
        self.relays: dict[str, RelayControl] = {}
        self.document = configuration()
        self._places: dict[str, Any] = {}
        self._codes: dict[str, int] = {}
        fleet.start_platform(lag=0.5)
        for name, target in self.document["targets"].items():
            is_engine = name.startswith("engine")
            module = "standins.engine" if is_engine else "standins.plain_service"
            options = ["--models", '{"claims": "1"}', "--order-seconds", "0.5"]
            fleet.start(name, module, *(options if is_engine else []))
            self._start_sidecar(name, target["data_centre"])
        fleet.apply(self.document)

    def _start_sidecar(self, target: str, data_centre: str) -> None:
        if target not in self._places:
            self._places[target] = (data_centre, f"127.0.0.1:{free_port()}")
            address = self._places[target][1]
            control = f"127.0.0.1:{free_port()}"
            options = ("--to", address, "--control", control)
            self.fleet.start(f"relay-{target}", "tools.relay", *options)
            self.relays[target] = RelayControl(control)
        data_centre, address = self._places[target]
        self.fleet.start_sidecar(
            target,
            data_centre,
            address,
            advertise=self.fleet.address(f"relay-{target}"),
            links={"silence": 1.0, "heartbeat": 0.25, "reconnect": 0.1},
            probe_interval=0.3,
        )

    def wait_for(self, condition: Condition) -> bool:
        try:
            wait_until(lambda: self.check(condition), within=40.0)
        except TimeoutError:
            return False
        return True

    def start_entry(self, name: str, data_centre: str) -> None:
        self._places[name] = (data_centre, None)
        self.fleet.start_entry(
            name,
            data_centre,
            links={"silence": 1.0, "heartbeat": 0.25, "reconnect": 0.1},
        )
        self.fleet.settle()
        self.fleet.wait_ready(name, TARGETS)

    def restart(self, name: str) -> None:
        if name.startswith("sidecar-"):
            target = name.removeprefix("sidecar-")
            self._start_sidecar(target, self._places[target][0])
            self.fleet.settle()
        else:
            self.start_entry(name, self._places[name][0])

    def stop(self, name: str) -> None:
        process = self.fleet.processes_by_name[name]

        def wait() -> None:
            self._codes[name] = process.stop()

        self.threads[f"stop-{name}"] = threading.Thread(target=wait)
        self.threads[f"stop-{name}"].start()

    def is_ended(self, name: str, code: int) -> bool:
        return self._codes.get(name) == code

    def kill(self, name: str) -> None:
        self.fleet.processes_by_name[name].kill()

    def pause(self, name: str) -> None:
        self.fleet.processes_by_name[name].pause()

    def resume(self, name: str) -> None:
        self.fleet.processes_by_name[name].resume()

    def cut(self, entry: str, sidecar: str) -> None:
        self.relays[sidecar.removeprefix("sidecar-")].cut()

    def heal(self, entry: str, sidecar: str) -> None:
        self.relays[sidecar.removeprefix("sidecar-")].heal()

    def outage(self) -> None:
        self._fault({"down": True})

    def recovery(self) -> None:
        self._fault({"down": False})

    def lose(self, count: int) -> None:
        self._fault({"lose_answers": count})

    def delay(self, seconds: float) -> None:
        self._fault({"delay": seconds})

    def _fault(self, fault: dict[str, Any]) -> None:
        call(self.fleet.url("key_value", "/faults"), "PUT", fault)

    def slow(self, name: str, seconds: float) -> None:
        call(self.fleet.url(name, "/duration"), "PUT", seconds)

    def set_role(self, target: str, role: str) -> None:
        self.document["targets"][target]["role"] = role
        self.fleet.apply(self.document)

    def drain(self, target: str) -> None:
        self._operate("target", "drain", target)

    def restore(self, target: str) -> None:
        self._operate("target", "return", target)

    def _operate(self, *arguments: str) -> None:
        platform = str(self.fleet.folder / "platform.json")
        done = self.fleet.command(*arguments, "--platform", platform)
        assert done.returncode == 0, done.stderr

    def race(self, target: str, role: str, other: str) -> None:
        platform = str(self.fleet.folder / "platform.json")
        shown = self.fleet.command("config", "show", "--platform", platform)
        base = json.loads(shown.stdout)["version"]
        threads = []
        for name, wanted in (("first", role), ("second", other)):
            self.document["targets"][target]["role"] = wanted
            path = str(self.fleet.write(f"race-{name}", self.document))
            arguments = ["config", "apply", path, "--platform", platform]

            def apply(who: str = name, words: list[str] = arguments) -> None:
                done = self.fleet.command(*words, "--against", str(base))
                self.racers[who] = done.returncode

            threads.append(threading.Thread(target=apply))
            threads[-1].start()
            if name == "first":
                threads[-1].join()
        for thread in threads:
            thread.join()

    def is_lost_race(self, name: str) -> bool:
        return self.racers[name] == 4

    def send(
        self, name: str, service: str, entry: str, key: str | None, tokens: int | None
    ) -> None:
        result: dict[str, Any] = {"text": "", "status": None, "tokens": 0}
        self.results[name] = result
        count = tokens or DEFAULT_TOKENS
        self.wanted[name] = whole_answer(name, count) if service == "claims" else ""
        target = self._call_service if key else self._call_model
        arguments = (name, result, service, entry, key, count)
        self.threads[name] = threading.Thread(target=target, args=arguments)
        self.threads[name].start()

    def _call_service(
        self, name: str, result: Any, service: str, entry: str, key: str, _: int
    ) -> None:
        url = self.fleet.url(entry, f"/services/{service}/send")
        headers = {"idempotency-key": key}
        self._finish(result, url, key.encode(), headers)

    def _call_model(
        self, name: str, result: Any, service: str, entry: str, _: Any, count: int
    ) -> None:
        url = self.fleet.url(entry, "/v1/completions")
        body = {"model": service, "prompt": name, "max_tokens": count, "stream": True}
        asked = urllib.request.Request(url, json.dumps(body).encode(), method="POST")
        try:
            with urllib.request.urlopen(asked, timeout=40.0) as response:
                self._read_stream(result, response)
        except urllib.error.HTTPError as error:
            result.update(status=error.code, error=json.load(error)["error"])
        except (OSError, http.client.HTTPException) as error:
            result.update(status=0, error={"ran": True, "code": str(error)})

    def _read_stream(self, result: Any, response: Any) -> None:
        for line in response:
            if not line.startswith(b"data: "):
                continue
            if line.startswith(b"data: [DONE]"):
                result["status"] = 200
                return
            event = json.loads(line.removeprefix(b"data: "))
            if "error" in event:
                result.update(status=0, error=event["error"])
                return
            result["text"] += event["choices"][0]["text"]
            result["tokens"] += 1
        result.update(status=0, error={"ran": True, "code": "broken off"})

    def _finish(self, result: Any, url: str, body: bytes, headers: Any) -> None:
        try:
            reply = call(url, "POST", body, headers, timeout=40.0)
        except OSError as error:
            result.update(status=0, error={"ran": True, "code": str(error)})
            return
        if reply.status != 200:
            result["error"] = reply.json["error"]
        result["status"] = reply.status

    def is_outcome(self, name: str, *outcomes: str) -> bool:
        result = self.results[name]
        if result["status"] == 200:
            return "whole" in outcomes and result["text"] == self.wanted[name]
        if result["status"] is None:
            return False
        return ("unknown" if result["error"]["ran"] else "refused") in outcomes

    def is_over(self, name: str) -> bool:
        return self.results[name]["status"] is not None

    def runs(self, service: str, key: str) -> int:
        names = [name for name in TARGETS if name.startswith(service)]
        counts = [call(self.fleet.url(name, "/runs")).json for name in names]
        return sum(count.get(key, 0) for count in counts)

    def _state(self, target: str) -> Any:
        return call(self.fleet.url(target, "/state")).json

    def is_role(self, target: str, role: str) -> bool:
        return self._state(target)["role"] == role

    def is_under_order(self, target: str) -> bool:
        return self._state(target)["ordering"] is not None

    def started_at(self, target: str) -> int:
        return self._state(target)["started"]

    def orders_of(self, target: str) -> tuple[list[int], int]:
        state = self._state(target)
        done = [order["fencing_number"] for order in state["orders_done"]]
        return done, state["overlaps"]

    def is_nothing_cut(self, target: str) -> bool:
        return self._state(target)["cut_off"] == 0

    def is_tokens(self, name: str, count: int) -> bool:
        return self.results[name]["tokens"] >= count

    def _status(self, entry: str) -> Any:
        headers = {"authorization": f"Bearer {SHARED_KEY}"}
        return call(self.fleet.url(entry, "/pimentolink/status"), headers=headers).json

    def is_reaches(self, entry: str, target: str) -> bool:
        return any(
            item["target"] == target and item["available"]
            for item in self._status(entry)["targets"]
        )

    def is_version(self, version: int, name: str) -> bool:
        if name.startswith("sidecar-"):
            log = self.fleet.processes_by_name[name].log_path.read_text()
            return f'"version": {version}, "event": "configuration_adopted"' in log
        return self._status(name)["configuration_version"] == version

    def is_version_everywhere(self, version: int) -> bool:
        names = [
            name
            for name, process in self.fleet.processes_by_name.items()
            if process.is_running and (name in self._places or "sidecar-" in name)
        ]
        ours = [name for name in names if name not in TARGETS]
        return all(self.is_version(version, name) for name in ours)

    def stranger(self, sidecar: str) -> None:
        """A peer without the key sends a submission straight to a sidecar."""
        import socket
        import struct

        submit = link_pb2.Submit(
            attempt_id=1,
            request_id="stranger",
            service="dispatch",
            method="POST",
            path="/send",
            body=b"stranger",
            idempotency_key="stranger",
        )
        hello = link_pb2.EntryHello(instance_id="x", nonce=b"n" * 16, proof=b"p" * 32)
        _, port = self._places[sidecar.removeprefix("sidecar-")][1].split(":")
        messages = (
            link_pb2.EntryMessage(hello=hello),
            link_pb2.EntryMessage(submit=submit),
        )
        with socket.create_connection(("127.0.0.1", int(port))) as stranger:
            for message in messages:
                data = message.SerializeToString()
                stranger.sendall(struct.pack("!I", len(data)) + data)
            stranger.settimeout(5.0)
            try:
                while stranger.recv(4096):
                    pass
            except ConnectionError:
                pass
