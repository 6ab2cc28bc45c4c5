"""The sidecar: sole access to the target beside it; opens no sockets itself."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import NamedTuple, Protocol

from twisted.internet.defer import CancelledError

from pimentolink import link_pb2
from pimentolink.adoption import Adoption
from pimentolink.breaker import BreakerStore
from pimentolink.claimedcalls import ClaimPartitions
from pimentolink.claims import ClaimPartition
from pimentolink.executor import Executor
from pimentolink.instances import SIDECAR, Instance, InstanceList
from pimentolink.kvstore import KeyValueStore
from pimentolink.links import SidecarLink, SidecarLinkListener
from pimentolink.logs import Log, LogEvent
from pimentolink.orders import EngineControl, EngineReconciler
from pimentolink.partitioncounts import PartitionCounts
from pimentolink.plan import group_of
from pimentolink.settings import SidecarSettings
from pimentolink.targets import Target
from pimentolink.timers import Repeater, Timers, pause
from pimentolink.tracing import Tracing

CLOSE_POLL_INTERVAL = 0.02


class LinkListening(Protocol):
    """Accepts links of entries on one address."""

    def start(self, address: str) -> bool:
        """Start listening; return whether the target's slot was free."""

    @property
    def open_links(self) -> int:
        """Number of links that have not ended yet."""

    def stop(self) -> None:
        """Close every link once its queued messages have been sent."""


class SidecarPorts(NamedTuple):
    """
    External dependencies of a sidecar, with real and in-memory implementations.

    :ivar target: the target beside it.
    :ivar engine: control interface of the target, if it is an engine.
    :ivar open_older_system: creates a client of the older system at an address.
    :ivar listening: creates the server that accepts links of entries.
    :ivar incarnation: unique identifier of this run of the process; also seeds its
        random source.
    """

    timers: Timers
    store: KeyValueStore
    instances: InstanceList
    target: Target
    engine: EngineControl
    open_older_system: Callable[[str], Target]
    listening: Callable[[SidecarLinkListener], LinkListening]
    incarnation: str


class Sidecar:
    """A sidecar: connects its components and handles messages of its links."""

    def __init__(self, settings: SidecarSettings, ports: SidecarPorts) -> None:
        """
        Create the components; :meth:`start` begins.

        :param settings: settings of this sidecar.
        :param ports: external dependencies.
        """
        self._settings = settings
        self._ports = ports
        self._older_address: str | None = None
        self._random = Random(ports.incarnation)
        self._timers = ports.timers
        self._store = BreakerStore(
            ports.store, settings.platform, self._timers, self._random
        )
        self.log = Log(
            instance=settings.instance, role="sidecar", target=settings.target
        )
        self._adoption = Adoption(self.log)
        self._adoption.subscribe(self._configuration_adopted)
        self._executor = Executor(
            settings.queue,
            ports.target,
            ClaimPartitions(
                self._open_partition,
                PartitionCounts(self._store, self._configured_partitions, self.log),
            ),
            self._timers,
            Tracing(settings.instance, settings.trace_ratio, self.log),
            settings.claims.answers,
        )
        self._order_keeper = EngineReconciler(
            settings.orders,
            settings.target,
            self._store,
            ports.engine,
            self._executor,
            self._timers,
            self._random,
            self.log,
        )
        self._server = ports.listening(self)
        self._reports_by_link: dict[SidecarLink, tuple[link_pb2.Load, float]] = {}
        self._probes_missed = 0
        self._repeaters: list[Repeater] = []

    def start(self) -> bool:
        """
        Listen on the target's slot and start serving.

        :returns: whether the slot was free.
        """
        if not self._server.start(self._settings.listen):
            self.log.write(LogEvent.SLOT_TAKEN, address=self._settings.listen)
            return False
        self._repeaters = [
            Repeater(
                self._timers, self._settings.links.load_interval, self._report_load
            ),
            Repeater(self._timers, self._settings.probe_interval, self._probe),
        ]
        self._register(is_leaving=False)
        self.log.write(LogEvent.STARTED, address=self._settings.listen)
        return True

    async def stop(self) -> None:
        """Refuse new work, finish running work, deregister and close all links."""
        self._executor.is_draining = True
        self._report_load()
        self._register(is_leaving=True)
        self.log.write(LogEvent.STOPPING)
        self._order_keeper.stop()
        idle = self._executor.when_idle()
        stop_timer = self._timers.call_later(self._settings.stop_within, idle.cancel)
        try:
            await idle
            await self._order_keeper.when_idle()
        except CancelledError:
            self.log.write(LogEvent.STOP_TIMEOUT)
        stop_timer.cancel()
        for repeater in self._repeaters:
            repeater.cancel()
        await self._ports.instances.deregister(self._settings.instance).addErrback(
            lambda _: None
        )
        self._server.stop()
        end = self._timers.now() + self._settings.stop_grace
        while self._server.open_links and self._timers.now() < end:
            await pause(self._timers, CLOSE_POLL_INTERVAL)
        self.log.write(LogEvent.STOPPED)

    def make_hello(self) -> link_pb2.SidecarHello:
        """Build the message that opens a link."""
        return link_pb2.SidecarHello(
            target_id=self._settings.target,
            incarnation=self._ports.incarnation,
            data_centre=self._settings.data_centre,
            configuration_version=self._adoption.version,
        )

    def link_up(self, link: SidecarLink, hello: link_pb2.EntryHello) -> None:
        """Send an entry the load, and the configuration if the entry's is older."""
        self.log.write(LogEvent.LINK_UP, entry=hello.instance_id)
        self._send_load(link, self._load())
        if hello.configuration_version < self._adoption.version:
            document = link_pb2.Document(
                version=self._adoption.version, json=self._adoption.document
            )
            link.send(link_pb2.SidecarMessage(document=document))

    def link_message(self, link: SidecarLink, message: link_pb2.EntryMessage) -> None:
        """Handle a message from an entry."""
        kind = message.WhichOneof("body")
        if kind == "submit":
            self._executor.submit(link, message.submit)
        elif kind == "cancel":
            self._executor.cancel(link, message.cancel.attempt_id)
        elif kind == "pause":
            pause = message.pause
            self._executor.pause(link, pause.attempt_id, pause.paused)
        elif kind == "document":
            self._offer_document(link, message.document)
        elif kind == "plan_news":
            self._order_keeper.plan_changed(message.plan_news.revision)

    def link_down(self, link: SidecarLink) -> None:
        """Cancel the work of an entry whose link is lost."""
        self._reports_by_link.pop(link, None)
        self._executor.link_down(link)

    def _offer_document(self, link: SidecarLink, document: link_pb2.Document) -> None:
        if document.json:
            self._adoption.offer(document.json)
            return
        is_in_force = self._adoption.offer_patch(
            document.patch, document.version, document.digest
        )
        if not is_in_force:
            wanted = link_pb2.DocumentWanted()
            link.send(link_pb2.SidecarMessage(document_wanted=wanted))

    def _configuration_adopted(self) -> None:
        assert self._adoption.accepted is not None
        configuration = self._adoption.accepted.configuration
        target = configuration.targets.get(self._settings.target)
        self._executor.is_drained = target is None or target.drained
        self._set_older_system(configuration.older_system)
        self._order_keeper.assign(group_of(configuration, self._settings.target))
        self._report_load()

    def _set_older_system(self, address: str | None) -> None:
        if address == self._older_address:
            return
        self._older_address = address
        self._executor.older_system = None
        if address is not None:
            self._executor.older_system = self._ports.open_older_system(address)

    def _configured_partitions(self, service: str) -> int | None:
        found = self._adoption.service(service)
        return found.claim_partitions if found is not None else None

    def _open_partition(self, service: str, number: int) -> ClaimPartition:
        self.log.write(LogEvent.CLAIMS_TAKEN_OVER, service=service, partition=number)
        return ClaimPartition(
            f"pimentolink/claims/{service}/{number}",
            self._ports.incarnation,
            self._store,
            self._timers,
            self._settings.claims,
        )

    def take_due_load(self, link: SidecarLink) -> link_pb2.Load | None:
        """Return the load to send with other messages, or ``None`` if not due yet."""
        _, sent_at = self._reports_by_link.get(link, (None, 0.0))
        now = self._timers.now()
        if now - sent_at < self._settings.links.load_interval:
            return None
        load = self._load()
        self._reports_by_link[link] = (load, now)
        return load

    def _report_load(self) -> None:
        """Report the load on links where it changed or a heartbeat is due."""
        load = self._load()
        heartbeat = self._settings.links.heartbeat
        for link, (sent, sent_at) in list(self._reports_by_link.items()):
            is_due = self._timers.now() - sent_at >= heartbeat
            if is_due or sent != load:
                self._send_load(link, load)

    def _send_load(self, link: SidecarLink, load: link_pb2.Load) -> None:
        self._reports_by_link[link] = (load, self._timers.now())
        link.send(link_pb2.SidecarMessage(load=load))

    def _load(self) -> link_pb2.Load:
        load = self._executor.load()
        load.role = self._order_keeper.role
        load.settled_number = self._order_keeper.settled_number
        return load

    def _probe(self) -> None:
        pending = self._ports.target.probe(self._settings.probe_interval)
        pending.addCallbacks(self._probe_answered, self._probe_missed)

    def _probe_answered(self, _: None) -> None:
        self._probes_missed = 0
        if self._executor.target_is_lost:
            self._executor.target_is_lost = False
            self._report_load()

    def _probe_missed(self, failure: object) -> None:
        self._probes_missed += 1
        is_lost = self._probes_missed >= self._settings.probes_missed
        if is_lost and not self._executor.target_is_lost:
            self._executor.mark_target_lost()
            self._report_load()

    def _register(self, is_leaving: bool) -> None:
        instance = Instance(
            name=self._settings.instance,
            role=SIDECAR,
            address=self._settings.advertise or self._settings.listen,
            data_centre=self._settings.data_centre,
            target=self._settings.target,
            is_leaving=is_leaving,
        )
        pending = self._ports.instances.register(instance)
        if not is_leaving:
            pending.addErrback(self._register_again)
        else:
            pending.addErrback(lambda _: None)

    def _register_again(self, failure: object) -> None:
        delay = self._random.uniform(0.5, 1.0) * self._settings.platform.backoff_most
        self._timers.call_later(delay, lambda: self._register(is_leaving=False))
