"""Fakes of the ports of entries and sidecars, for tests in virtual time."""

import json
from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from pimentolink import link_pb2
from pimentolink.entry import Entry, EntryPorts
from pimentolink.errors import Failure, KeyValueUnavailable, OrderLost, TargetFailed
from pimentolink.httpclient import Answer
from pimentolink.instances import MemoryInstanceList
from pimentolink.kvstore import MemoryStore
from pimentolink.orders import EngineState
from pimentolink.settings import (
    EntrySettings,
    OrderSettings,
    PlatformSettings,
    SidecarSettings,
)
from pimentolink.sidecar import Sidecar, SidecarPorts
from pimentolink.targets import TargetCall
from pimentolink.timers import ManualTimers
from standins.engine import token_at

LATENCY_SECONDS = 0.001
LIST_LAG_SECONDS = 2.0
STORE_TIMEOUT_SECONDS = 0.5
TOKEN_TIME = 0.02
LEASE_SECONDS = 10.0
SILENCE_TIMEOUT_SECONDS = 8.0
SHARED_KEY = "a key for virtual time"
PLATFORM_SETTINGS = PlatformSettings(
    key_value="127.0.0.1:1", instance_list="127.0.0.1:2"
)


class VirtualTimer:
    """A delayed call of a process, which can be cancelled until it is made."""

    def __init__(self, callback: Callable[[], object]) -> None:
        self._callback: Callable[[], object] | None = callback

    def run(self) -> None:
        if self._callback is not None:
            self._callback()

    def cancel(self) -> None:
        self._callback = None


class VirtualProcess:
    """A process that can be killed, or paused, which postpones all its callbacks."""

    def __init__(self, network: "VirtualNetwork", name: str) -> None:
        self.network = network
        self.name = name
        self.is_killed = False
        self.is_paused = False
        self._pending_calls: list[Callable[[], object]] = []

    def run(self, callback: Callable[[], object]) -> None:
        if self.is_killed:
            return
        if self.is_paused:
            self._pending_calls.append(callback)
        else:
            callback()

    def later(self, delay: float, callback: Callable[[], object]) -> VirtualTimer:
        # A call that falls due during a pause can still be cancelled by those before
        # it, as on a reactor.
        timer = VirtualTimer(callback)
        self.network.clock.call_later(delay, lambda: self.run(timer.run))
        return timer

    def now(self) -> float:
        return self.network.clock.now()

    def wall_time(self) -> float:
        return self.network.clock.wall_time()

    call_later = later

    def pause(self) -> None:
        self.is_paused = True

    def resume(self) -> None:
        self.is_paused = False
        pending_calls, self._pending_calls = self._pending_calls, []
        for callback in pending_calls:
            self.run(callback)


class VirtualConnection:
    """A connection whose two ends are notified separately when it is lost."""

    def __init__(self, network: "VirtualNetwork", client: "VirtualClient") -> None:
        self.network = network
        self.client = client
        self.server = network.servers_by_address[client.address]
        self.is_broken = False
        self._pending_calls: list[Callable[[], object]] = []

    @property
    def is_cut(self) -> bool:
        pair = frozenset((self.client.process.name, self.server.process.name))
        return pair in self.network.cuts

    def schedule_delivery(
        self, process: VirtualProcess, deliver: Callable[[], object]
    ) -> None:
        if self.is_broken:
            return
        if self.is_cut:
            self._pending_calls.append(lambda: process.later(LATENCY_SECONDS, deliver))
        else:
            process.later(LATENCY_SECONDS, lambda: self.is_broken or deliver())

    def heal(self) -> None:
        pending_calls, self._pending_calls = self._pending_calls, []
        for schedule_delivery in pending_calls:
            schedule_delivery()

    def send_to_server(self, message: link_pb2.EntryMessage) -> None:
        listener = self.server.listener
        data = message.SerializeToString()
        parsed = link_pb2.EntryMessage.FromString(data)
        self.schedule_delivery(
            self.server.process, lambda: listener.link_message(self, parsed)
        )

    def send(self, message: link_pb2.SidecarMessage) -> None:
        data = message.SerializeToString()
        parsed = link_pb2.SidecarMessage.FromString(data)
        self.schedule_delivery(
            self.client.process, lambda: self.client.message_received(parsed)
        )

    def send_event(self, event: link_pb2.Event) -> None:
        self.send(link_pb2.SidecarMessage(step=link_pb2.Step(events=[event])))

    def disconnect(self) -> None:
        if self.is_broken:
            return
        self.is_broken = True
        self.network.connections.remove(self)
        server, client = self.server, self.client
        server.process.later(LATENCY_SECONDS, lambda: server.listener.link_down(self))
        client.process.later(LATENCY_SECONDS, lambda: client.connection_lost(self))


class VirtualClient:
    """An entry's link to a sidecar, which reconnects after each disconnection."""

    def __init__(
        self, network: "VirtualNetwork", process: VirtualProcess, address: str, to: Any
    ) -> None:
        self.network = network
        self.process = process
        self.address = address
        self._listener = to
        self._connection: VirtualConnection | None = None
        self._is_closed = False
        process.later(LATENCY_SECONDS, self._connect)

    def _connect(self) -> None:
        server = self.network.servers_by_address.get(self.address)
        if self._is_closed or self._connection is not None:
            return
        pair = frozenset((self.process.name, server.process.name)) if server else None
        if server is None or server.process.is_paused or pair in self.network.cuts:
            self.process.later(0.1, self._connect)
            return
        connection = VirtualConnection(self.network, self)
        self.network.connections.append(connection)
        self._connection = connection
        hello = server.listener.make_hello()
        greeting = self._listener.make_hello()
        self._listener.link_up(self, hello)
        server.listener.link_up(connection, greeting)

    def send(self, message: link_pb2.EntryMessage) -> None:
        if self._connection is not None:
            self._connection.send_to_server(message)

    def message_received(self, message: link_pb2.SidecarMessage) -> None:
        if self._connection is not None:
            self._listener.link_message(self, message)

    def connection_lost(self, connection: VirtualConnection) -> None:
        if self._connection is connection:
            self._connection = None
            self._listener.link_down(self)
            self.process.later(0.1, self._connect)

    def close(self) -> None:
        self._is_closed = True
        if self._connection is not None:
            self._connection.disconnect()


class VirtualServer:
    """A sidecar's listening port; an address takes one listener at a time."""

    def __init__(self, network: "VirtualNetwork", process: VirtualProcess) -> None:
        self.network = network
        self.process = process
        self.listener: Any = None
        self.address = ""
        self.open_links = 0

    def __call__(self, listener: Any) -> "VirtualServer":
        self.listener = listener
        return self

    def start(self, address: str) -> bool:
        if address in self.network.servers_by_address:
            return False
        self.address = address
        self.network.servers_by_address[address] = self
        return True

    def stop(self) -> None:
        if self.network.servers_by_address.get(self.address) is self:
            del self.network.servers_by_address[self.address]
        for connection in list(self.network.connections):
            if connection.server is self:
                connection.disconnect()


class VirtualStore:
    """A process's client of the key-value store, with latency and timeouts."""

    def __init__(self, process: VirtualProcess, memory: MemoryStore) -> None:
        self._process = process
        self._memory = memory

    def get(self, key: str) -> Deferred:
        return self._call(lambda: self._memory.get(key))

    def watch(self, key: str, index: int, wait: float) -> Deferred:
        return self._call(lambda: self._memory.watch(key, index, wait))

    def compare_and_swap(self, key: str, data: bytes, revision: int) -> Deferred:
        return self._call(lambda: self._memory.compare_and_swap(key, data, revision))

    def hold_lease(self, key: str, holder: str, seconds: float) -> Deferred:
        return self._call(lambda: self._memory.hold_lease(key, holder, seconds))

    def _call(self, call: Callable[[], Deferred]) -> Deferred:
        answer: Deferred = Deferred()

        def arrive() -> None:
            call().addCallbacks(
                lambda value: self._process.later(
                    LATENCY_SECONDS, lambda: answer.callback(value)
                ),
                lambda _: self._process.later(
                    STORE_TIMEOUT_SECONDS,
                    lambda: answer.errback(KeyValueUnavailable("down")),
                ),
            )

        # A request reaches the store even if its sender is killed after sending it.
        self._process.network.clock.call_later(LATENCY_SECONDS, arrive)
        return answer


class VirtualEngine:
    """
    An engine as a target of calls and as the recipient of orders.

    It does not check fencing numbers.
    """

    def __init__(self, network: "VirtualNetwork", name: str) -> None:
        self.process = VirtualProcess(network, name)
        self.sidecar: VirtualProcess | None = None
        self.role = "mixed"
        self.models: dict[str, str] = {"claims": "1"}
        self.order_time = 1.0
        self.order_transit = LATENCY_SECONDS
        self.begun: list[int] = []
        self.under_order = 0
        self.overlaps = 0
        self.cut_off = 0
        self.crosses_answers = False
        self.started: list[float] = []

    def start_stream(self, call: TargetCall, listener: Any) -> "VirtualStream":
        return VirtualStream(self, call, listener)

    def start_plain(self, call: TargetCall, listener: Any) -> "VirtualStream":
        raise NotImplementedError

    def probe(self, patience: float) -> Deferred:
        return self._answer(lambda: None, patience)

    def state(self) -> Deferred:
        return self._answer(
            lambda: EngineState(self.role, self.models, [], self.under_order > 0), 1.0
        )

    def order(self, wanted: Any, fencing_number: int) -> Deferred:
        answer: Deferred = Deferred()
        requester = self.sidecar
        assert requester is not None

        def begin() -> None:
            for stream in self.process.network.streams:
                self.cut_off += stream.interrupt_if_served_by(self)
            self.overlaps += self.under_order > 0
            self.under_order += 1
            self.begun.append(fencing_number)
            self.process.later(self.order_time, finish)

        def finish() -> None:
            self.under_order -= 1
            self.role, self.models = wanted.role, wanted.models
            requester.later(
                LATENCY_SECONDS, lambda: answer.called or answer.callback(None)
            )

        def time_out() -> None:
            if not answer.called:
                answer.errback(OrderLost("no answer"))

        # An order reaches the engine even if its sidecar is killed after sending it.
        self.process.later(self.order_transit, begin)
        requester.later(self.order_time + self.order_transit + 1.0, time_out)
        return answer

    def _answer(self, read: Callable[[], Any], patience: float) -> Deferred:
        answer: Deferred = Deferred()
        requester = self.sidecar
        assert requester is not None

        def arrive() -> None:
            value = read()
            requester.later(
                LATENCY_SECONDS, lambda: answer.called or answer.callback(value)
            )

        def time_out() -> None:
            if not answer.called:
                answer.errback(TargetFailed("no answer"))

        self.process.later(LATENCY_SECONDS, arrive)
        requester.later(patience, time_out)
        return answer


class VirtualStream:
    """The streamed answer to one call to a virtual engine."""

    def __init__(self, engine: VirtualEngine, call: TargetCall, listener: Any) -> None:
        self._engine = engine
        self._sidecar = engine.sidecar
        self._listener = listener
        body = json.loads(call.body)
        self._prompt = body["prompt"]
        self._token_limit = body["max_tokens"]
        self._emitted = len(call.resume_tokens)
        self._cache = b"cache" if call.prefill_only else b""
        if call.prefill_only:
            self._token_limit = self._emitted + 1
        self._is_finished = False
        engine.started.append(engine.process.now())
        engine.process.network.streams.append(self)
        engine.process.later(TOKEN_TIME, self._step)

    def cancel(self) -> None:
        self._is_finished = True

    def pause(self, paused: bool) -> None:
        raise NotImplementedError

    def interrupt_if_served_by(self, engine: VirtualEngine) -> bool:
        """
        Fail the stream if the engine serves it and it is still running.

        :returns: whether the stream was interrupted.
        """
        if engine is not self._engine or self._is_finished or self._sidecar.is_killed:
            return False
        self._is_finished = True
        failure = TargetFailed("the answer broke off")
        self._sidecar.later(LATENCY_SECONDS, lambda: self._listener.failed(failure))
        return True

    def _step(self) -> None:
        if self._is_finished or self._sidecar.is_killed:
            return
        token = token_at(self._prompt, self._emitted)
        self._emitted += 1
        is_last = self._emitted >= self._token_limit
        self._is_finished = is_last
        self._sidecar.later(LATENCY_SECONDS, lambda: self._arrived([token], is_last))
        if not is_last:
            self._engine.process.later(TOKEN_TIME, self._step)

    def _arrived(self, tokens: list[str], is_last: bool) -> None:
        self._listener.tokens(tokens)
        if is_last:
            self._listener.finished(Answer(200, {}, self._cache), "length")


class VirtualPlain(VirtualEngine):
    """A plain service, which finishes a call even if the sidecar has been killed."""

    def __init__(self, network: "VirtualNetwork", name: str) -> None:
        super().__init__(network, name)
        self.runs: Counter[str] = Counter()
        self.duration = 0.05

    def start_plain(self, call: TargetCall, listener: Any) -> "VirtualPlain":
        requester = self.sidecar

        def run() -> None:
            self.runs[call.body.decode()] += 1
            self.process.later(self.duration, done)

        def done() -> None:
            requester.later(
                LATENCY_SECONDS, lambda: listener.finished(Answer(200, {}, b"ok"), "")
            )

        def fail() -> None:
            listener.failed(TargetFailed("no answer"))

        if self.process.is_killed:
            requester.later(LATENCY_SECONDS, fail)
        else:
            self.process.later(LATENCY_SECONDS, run)
        return self


class VirtualReply:
    """Records the tokens and the outcome that a caller receives."""

    def __init__(self) -> None:
        self.received: list[str] = []
        self.failure: Failure | None = None
        self.finals = 0
        self.is_complete = False

    def tokens(self, tokens: list[str]) -> None:
        self.received += tokens

    def complete(self, finish: link_pb2.Finish, progress: Any) -> None:
        self.finals += 1
        self.is_complete = True

    def fail(self, failure: Failure, progress: Any) -> None:
        self.finals += 1
        self.failure = failure


class VirtualList:
    """A process's client of the instance list; its changes take effect after a lag."""

    def __init__(self, process: VirtualProcess, memory: MemoryInstanceList) -> None:
        self._process = process
        self._memory = memory

    def read(self, role: str) -> Deferred:
        return self._memory.read(role)

    def register(self, instance: Any) -> Deferred:
        clock = self._process.network.clock
        clock.call_later(LIST_LAG_SECONDS, lambda: self._memory.register(instance))
        return Deferred()

    def deregister(self, name: str) -> Deferred:
        clock = self._process.network.clock
        clock.call_later(LIST_LAG_SECONDS, lambda: self._memory.deregister(name))
        done: Deferred = Deferred()
        done.callback(None)
        return done


class VirtualNetwork:
    """All processes and their connections, with fault injection."""

    def __init__(self) -> None:
        self.clock = ManualTimers()
        self.memory = MemoryStore()
        self.list = MemoryInstanceList()
        self.servers_by_address: dict[str, VirtualServer] = {}
        self.connections: list[VirtualConnection] = []
        self.cuts: set[frozenset[str]] = set()
        self.processes: dict[str, VirtualProcess] = {}
        self.entries: dict[str, Entry] = {}
        self.sidecars: dict[str, Sidecar] = {}
        self.targets: dict[str, VirtualEngine] = {}
        self.streams: list[VirtualStream] = []
        self._incarnations = Counter()

    def _start_process(self, name: str) -> VirtualProcess:
        self._incarnations[name] += 1
        self.processes[name] = VirtualProcess(self, name)
        return self.processes[name]

    def start_entry(self, name: str, data_centre: str) -> Entry:
        process = self._start_process(name)
        ports = EntryPorts(
            timers=process,
            store=VirtualStore(process, self.memory),
            instances=VirtualList(process, self.list),
            open_link=lambda address, to: VirtualClient(self, process, address, to),
            incarnation=f"{name}/{self._incarnations[name]}",
        )
        settings = EntrySettings(
            instance=name,
            data_centre=data_centre,
            listen="127.0.0.1:3",
            shared_key=SHARED_KEY,
            platform=PLATFORM_SETTINGS,
        )
        self.entries[name] = Entry(settings, ports)
        self.entries[name].start()
        return self.entries[name]

    def start_target(self, name: str, kind: type[VirtualEngine]) -> None:
        self.targets[name] = kind(self, name)
        self.processes[name] = self.targets[name].process

    def start_sidecar(self, target: str, data_centre: str, port: int) -> bool:
        name = f"sidecar-{target}"
        process = self._start_process(name)
        self.targets[target].sidecar = process
        ports = SidecarPorts(
            timers=process,
            store=VirtualStore(process, self.memory),
            instances=VirtualList(process, self.list),
            target=self.targets[target],
            engine=self.targets[target],
            open_older_system=lambda _: self.targets[target],
            listening=VirtualServer(self, process),
            incarnation=f"{name}/{self._incarnations[name]}",
        )
        settings = SidecarSettings(
            instance=name,
            data_centre=data_centre,
            listen=f"127.0.0.1:{port}",
            target=target,
            target_address="127.0.0.1:4",
            shared_key=SHARED_KEY,
            platform=PLATFORM_SETTINGS,
            orders=OrderSettings(spread=0.1),
        )
        self.sidecars[name] = Sidecar(settings, ports)
        return self.sidecars[name].start()

    def kill(self, name: str) -> None:
        process = self.processes[name]
        process.is_killed = True
        self._expire_leases(name)
        for server in list(self.servers_by_address.values()):
            if server.process is process:
                server.stop()
        for connection in list(self.connections):
            if connection.client.process is process:
                connection.disconnect()
        if name in self.targets:
            for stream in self.streams:
                stream.interrupt_if_served_by(self.targets[name])

    def _expire_leases(self, name: str) -> None:
        holder = f"{name}/{self._incarnations[name]}"
        self.clock.call_later(LEASE_SECONDS, lambda: self.memory.lapse(holder))

    def pause(self, name: str) -> None:
        process = self.processes[name]
        process.pause()
        self._expire_leases(name)
        self.clock.call_later(
            SILENCE_TIMEOUT_SECONDS, lambda: self._disconnect_paused(process)
        )

    def _disconnect_paused(self, process: VirtualProcess) -> None:
        for connection in list(self.connections):
            ends = (connection.client.process, connection.server.process)
            if process in ends and process.is_paused:
                connection.disconnect()

    def cut(self, one: str, other: str) -> None:
        pair = frozenset((one, other))
        self.cuts.add(pair)
        self.clock.call_later(
            SILENCE_TIMEOUT_SECONDS, lambda: self._disconnect_cut(pair)
        )

    def _disconnect_cut(self, pair: frozenset[str]) -> None:
        for connection in list(self.connections):
            if connection.is_cut and pair in self.cuts:
                connection.disconnect()

    def heal(self, one: str, other: str) -> None:
        self.cuts.discard(frozenset((one, other)))
        for connection in self.connections:
            connection.heal()
