"""Environments that scenarios run in: simulated virtual time and real processes."""

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

WAIT_LIMIT_SECONDS = 60.0
CLOCK_STEP_SECONDS = 0.01
DEFAULT_TOKENS = 10


class BaseWorld:
    """Condition checks that are common to both environments."""

    noted_starts = 0

    def check(self, condition: Condition) -> bool:
        return bool(getattr(self, f"is_{condition.kind}")(*condition.arguments))

    def note_started(self, target: str) -> None:
        self.noted_starts = self.started_at(target)

    def is_started(self, target: str, count: int) -> bool:
        return self.started_at(target) == count

    def is_started_no_more(self, target: str) -> bool:
        return self.started_at(target) == self.noted_starts

    def is_orders_in_order(self, target: str) -> bool:
        fencing_numbers, overlaps = self.order_history(target)
        return fencing_numbers == sorted(fencing_numbers) and overlaps == 0

    def is_ran_at_most(self, service: str, key: str, limit: int) -> bool:
        return self.runs(service, key) <= limit

    def is_ran(self, service: str, key: str, times: int) -> bool:
        return self.runs(service, key) == times

    def order_history(self, target: str) -> tuple[list[int], int]:
        raise NotImplementedError

    def runs(self, service: str, key: str) -> int:
        raise NotImplementedError

    def started_at(self, target: str) -> int:
        raise NotImplementedError


class VirtualWorld(BaseWorld):
    """Runs entries and sidecars as objects in one process, in virtual time."""

    def __init__(self) -> None:
        self.network = VirtualNetwork()
        self.replies: dict[str, VirtualReply] = {}
        self.wanted: dict[str, str] = {}
        self.stopped: dict[str, bool] = {}
        self.race_outcomes: dict[str, Any] = {}
        self._locations: dict[str, Any] = {}
        self.document = configuration()
        for name, target in self.document["targets"].items():
            kind = VirtualEngine if name.startswith("engine") else VirtualPlain
            self.network.start_target(name, kind)
            port = 100 + len(self._locations)
            self._locations[name] = (target["data_centre"], port)
            self.network.start_sidecar(name, target["data_centre"], port)
        self._apply(self.document)

    def _apply(self, document: dict[str, Any]) -> None:
        accepted = check(document).ok_value
        self.document = document
        results: list[Any] = []
        deferred = Deferred.fromCoroutine(
            porcelain.apply_configuration(self.network.memory, accepted, "test")
        )
        deferred.addCallback(results.append)
        assert results and not isinstance(results[0], Err), results

    def wait_for(self, condition: Condition) -> bool:
        deadline = self.network.clock.now() + WAIT_LIMIT_SECONDS
        while self.network.clock.now() < deadline:
            if self.check(condition):
                return True
            self.network.clock.advance(CLOCK_STEP_SECONDS)
        return False

    def start_entry(self, name: str, data_centre: str) -> None:
        self._locations[name] = (data_centre, 0)
        self.network.start_entry(name, data_centre)
        ready = Condition("reaches", [name, "everything"])
        if not self.network.memory.is_down:
            assert self.wait_for(ready), f"{name} does not reach all targets"

    def is_reaches(self, entry: str, target: str) -> bool:
        expected_targets = set(TARGETS) if target == "everything" else {target}
        described_targets = self.network.entries[entry].directory.describe()
        linked_targets = {
            item["target"] for item in described_targets if item["available"]
        }
        pools = self.network.entries[entry].dispatcher._router.pool_by_service
        pooled_targets = {
            name for pool in pools.values() for name in pool.targets_by_id
        }
        return linked_targets >= expected_targets and pooled_targets >= expected_targets

    def restart(self, name: str) -> None:
        data_centre, port = self._locations[name.removeprefix("sidecar-")]
        if name.startswith("sidecar-"):
            target = name.removeprefix("sidecar-")
            assert self.network.start_sidecar(target, data_centre, port)
        else:
            self.start_entry(name, data_centre)

    def stop(self, name: str) -> None:
        node = self.network.sidecars.get(name) or self.network.entries[name]
        stop_coroutine = (
            self._stop_entry(node) if name in self.network.entries else node.stop()
        )
        self.stopped[name] = False

        def record_stopped(_: Any) -> None:
            self.stopped[name] = True

        Deferred.fromCoroutine(stop_coroutine).addCallback(record_stopped)

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

    def cut(self, entry: str, sidecar: str) -> None:
        self.network.cut(entry, sidecar)

    def heal(self, entry: str, sidecar: str) -> None:
        self.network.heal(entry, sidecar)

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

    def order_history(self, target: str) -> tuple[list[int], int]:
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
        raise NotImplementedError(
            "authentication of peers is tested on real connections only"
        )

    def race(self, target: str, first_role: str, second_role: str) -> None:
        """Apply two changes of the configuration, both based on the same version."""
        base_version = self._current_version()
        for name, new_role in (("first", first_role), ("second", second_role)):
            changed_document = json.loads(json.dumps(self.document))
            changed_document["targets"][target]["role"] = new_role
            accepted = msgspec.convert(changed_document, Configuration)
            deferred = Deferred.fromCoroutine(
                porcelain.apply_configuration(
                    self.network.memory, accepted, name, against=base_version
                )
            )
            deferred.addCallback(
                lambda result, operator=name: self.race_outcomes.update(
                    {operator: result}
                )
            )

    def _current_version(self) -> int:
        stored = self.network.memory._read("pimentolink/configuration").data
        return json.loads(stored)["version"]

    def is_lost_race(self, name: str) -> bool:
        return isinstance(self.race_outcomes[name], Err)


class RealWorld(BaseWorld):
    """
    Runs real processes on the loopback interface.

    Entries connect to each sidecar through a relay, which can cut the connection.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.results: dict[str, dict[str, Any]] = {}
        self.threads: dict[str, threading.Thread] = {}
        self.wanted: dict[str, str] = {}
        self.race_outcomes: dict[str, int] = {}
        self.relays: dict[str, RelayControl] = {}
        self.document = configuration()
        self._locations: dict[str, Any] = {}
        self._exit_codes: dict[str, int] = {}
        fleet.start_platform(lag=0.5)
        for name, target in self.document["targets"].items():
            is_engine = name.startswith("engine")
            module = "standins.engine" if is_engine else "standins.plain_service"
            options = ["--models", '{"claims": "1"}', "--order-seconds", "0.5"]
            fleet.start(name, module, *(options if is_engine else []))
            self._start_sidecar(name, target["data_centre"])
        fleet.apply(self.document)

    def _start_sidecar(self, target: str, data_centre: str) -> None:
        if target not in self._locations:
            self._locations[target] = (data_centre, f"127.0.0.1:{free_port()}")
            address = self._locations[target][1]
            control = f"127.0.0.1:{free_port()}"
            options = ("--to", address, "--control", control)
            self.fleet.start(f"relay-{target}", "tools.relay", *options)
            self.relays[target] = RelayControl(control)
        data_centre, address = self._locations[target]
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
        self._locations[name] = (data_centre, None)
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
            self._start_sidecar(target, self._locations[target][0])
            self.fleet.settle()
        else:
            self.start_entry(name, self._locations[name][0])

    def stop(self, name: str) -> None:
        process = self.fleet.processes_by_name[name]

        def wait() -> None:
            self._exit_codes[name] = process.stop()

        self.threads[f"stop-{name}"] = threading.Thread(target=wait)
        self.threads[f"stop-{name}"].start()

    def is_ended(self, name: str, code: int) -> bool:
        return self._exit_codes.get(name) == code

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
        self._inject_store_fault({"down": True})

    def recovery(self) -> None:
        self._inject_store_fault({"down": False})

    def lose(self, count: int) -> None:
        self._inject_store_fault({"lose_answers": count})

    def delay(self, seconds: float) -> None:
        self._inject_store_fault({"delay": seconds})

    def _inject_store_fault(self, fault: dict[str, Any]) -> None:
        call(self.fleet.url("key_value", "/faults"), "PUT", fault)

    def slow(self, name: str, seconds: float) -> None:
        call(self.fleet.url(name, "/duration"), "PUT", seconds)

    def set_role(self, target: str, role: str) -> None:
        self.document["targets"][target]["role"] = role
        self.fleet.apply(self.document)

    def drain(self, target: str) -> None:
        self._run_operator_command("target", "drain", target)

    def restore(self, target: str) -> None:
        self._run_operator_command("target", "return", target)

    def _run_operator_command(self, *arguments: str) -> None:
        platform = str(self.fleet.folder / "platform.json")
        completed = self.fleet.command(*arguments, "--platform", platform)
        assert completed.returncode == 0, completed.stderr

    def race(self, target: str, first_role: str, second_role: str) -> None:
        platform = str(self.fleet.folder / "platform.json")
        show_result = self.fleet.command("config", "show", "--platform", platform)
        base_version = json.loads(show_result.stdout)["version"]
        threads = []
        for name, new_role in (("first", first_role), ("second", second_role)):
            self.document["targets"][target]["role"] = new_role
            path = str(self.fleet.write(f"race-{name}", self.document))
            arguments = ["config", "apply", path, "--platform", platform]

            def apply(
                operator: str = name, command_arguments: list[str] = arguments
            ) -> None:
                completed = self.fleet.command(
                    *command_arguments, "--against", str(base_version)
                )
                self.race_outcomes[operator] = completed.returncode

            threads.append(threading.Thread(target=apply))
            threads[-1].start()
            if name == "first":
                threads[-1].join()
        for thread in threads:
            thread.join()

    def is_lost_race(self, name: str) -> bool:
        return self.race_outcomes[name] == 4

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
        self._call_and_record(result, url, key.encode(), headers)

    def _call_model(
        self, name: str, result: Any, service: str, entry: str, _: Any, count: int
    ) -> None:
        url = self.fleet.url(entry, "/v1/completions")
        body = {"model": service, "prompt": name, "max_tokens": count, "stream": True}
        http_request = urllib.request.Request(
            url, json.dumps(body).encode(), method="POST"
        )
        try:
            with urllib.request.urlopen(http_request, timeout=40.0) as response:
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

    def _call_and_record(
        self, result: Any, url: str, body: bytes, headers: Any
    ) -> None:
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

    def _target_state(self, target: str) -> Any:
        return call(self.fleet.url(target, "/state")).json

    def is_role(self, target: str, role: str) -> bool:
        return self._target_state(target)["role"] == role

    def is_under_order(self, target: str) -> bool:
        return self._target_state(target)["ordering"] is not None

    def started_at(self, target: str) -> int:
        return self._target_state(target)["started"]

    def order_history(self, target: str) -> tuple[list[int], int]:
        state = self._target_state(target)
        fencing_numbers = [order["fencing_number"] for order in state["orders_done"]]
        return fencing_numbers, state["overlaps"]

    def is_nothing_cut(self, target: str) -> bool:
        return self._target_state(target)["cut_off"] == 0

    def is_tokens(self, name: str, count: int) -> bool:
        return self.results[name]["tokens"] >= count

    def _entry_status(self, entry: str) -> Any:
        headers = {"authorization": f"Bearer {SHARED_KEY}"}
        return call(self.fleet.url(entry, "/pimentolink/status"), headers=headers).json

    def is_reaches(self, entry: str, target: str) -> bool:
        return any(
            item["target"] == target and item["available"]
            for item in self._entry_status(entry)["targets"]
        )

    def is_version(self, version: int, name: str) -> bool:
        if name.startswith("sidecar-"):
            log = self.fleet.processes_by_name[name].log_path.read_text()
            return f'"version": {version}, "event": "configuration_adopted"' in log
        return self._entry_status(name)["configuration_version"] == version

    def is_version_everywhere(self, version: int) -> bool:
        names = [
            name
            for name, process in self.fleet.processes_by_name.items()
            if process.is_running and (name in self._locations or "sidecar-" in name)
        ]
        pimentolink_names = [name for name in names if name not in TARGETS]
        return all(self.is_version(version, name) for name in pimentolink_names)

    def stranger(self, sidecar: str) -> None:
        """Send a request to a sidecar from a peer that does not have the shared key."""
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
        _, port = self._locations[sidecar.removeprefix("sidecar-")][1].split(":")
        messages = (
            link_pb2.EntryMessage(hello=hello),
            link_pb2.EntryMessage(submit=submit),
        )
        with socket.create_connection(("127.0.0.1", int(port))) as connection:
            for message in messages:
                data = message.SerializeToString()
                connection.sendall(struct.pack("!I", len(data)) + data)
            connection.settimeout(5.0)
            try:
                while connection.recv(4096):
                    pass
            except ConnectionError:
                pass
