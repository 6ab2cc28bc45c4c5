"""The sidecar: the only way in to the target beside it."""

from __future__ import annotations

from random import Random
from typing import Any
from uuid import uuid4

from twisted.internet.defer import CancelledError

from pimentolink import link_pb2
from pimentolink.adoption import Adoption
from pimentolink.claims import ClaimPartition
from pimentolink.engines import HttpEngineControl
from pimentolink.executor import ClaimSource, Executor
from pimentolink.httpclient import Answer
from pimentolink.instances import SIDECAR, HttpInstanceList, Instance
from pimentolink.kvstore import HttpStore
from pimentolink.links import LinkServer, SidecarLink
from pimentolink.logs import Log, LogEvent
from pimentolink.orders import OrderKeeper
from pimentolink.plan import group_of
from pimentolink.settings import SidecarSettings
from pimentolink.targets import HttpTarget
from pimentolink.timers import ReactorTimers, Repeater, pause
from pimentolink.tracing import Tracing

PROBE_PATH = "/health"


class Sidecar:
    """One sidecar: wires the parts and answers its links."""

    def __init__(self, reactor: Any, settings: SidecarSettings) -> None:
        """
        Wire the parts; :meth:`start` begins.

        :param reactor: the loop.
        :param settings: of this sidecar.
        """
        self._reactor = reactor
        self._settings = settings
        self._older_address: str | None = None
        self._incarnation = uuid4().hex
        self._random = Random(self._incarnation)
        self._log = Log(
            instance=settings.instance, role="sidecar", target=settings.target
        )
        self._timers = ReactorTimers(reactor)
        self._adoption = Adoption(self._log)
        self._adoption.subscribe(self._configuration_adopted)
        self._store = HttpStore(reactor, settings.platform)
        self._list = HttpInstanceList(reactor, settings.platform)
        self._target = HttpTarget(
            reactor, settings.target_address, settings.target_timeout
        )
        self._executor = Executor(
            settings.queue,
            self._target,
            ClaimSource(self._open_partition, self._adoption.claim_partitions),
            self._timers,
            Tracing(settings.instance, settings.trace_ratio, self._log),
            settings.claims.answers,
        )
        self._orders = OrderKeeper(
            settings.orders,
            settings.target,
            self._store,
            HttpEngineControl(self._target, settings.orders),
            self._executor,
            self._timers,
            self._random,
            self._log,
        )
        self._server = LinkServer(
            reactor,
            settings.shared_key,
            settings.links,
            self,
            self._timers,
            self._log,
        )
        self._reports_by_link: dict[SidecarLink, tuple[link_pb2.Load, float]] = {}
        self._probes_missed = 0
        self._repeaters: list[Repeater] = []

    async def start(self) -> bool:
        """
        Take the target's slot and serve it.

        :returns: whether the slot was free.
        """
        if not self._server.start(self._settings.listen):
            self._log.write(LogEvent.SLOT_TAKEN, address=self._settings.listen)
            return False
        self._repeaters = [
            Repeater(
                self._timers, self._settings.links.load_interval, self._report_load
            ),
            Repeater(self._timers, self._settings.probe_interval, self._probe),
        ]
        self._register(is_leaving=False)
        self._log.write(LogEvent.STARTED, address=self._settings.listen)
        return True

    async def stop(self) -> None:
        """Take no new work, say so, finish what is in work, leave the list, end."""
        self._executor.is_draining = True
        self._report_load()
        self._register(is_leaving=True)
        self._log.write(LogEvent.STOPPING)
        self._orders.stop()
        is_idle = self._executor.when_idle()
        limit = self._timers.call_later(self._settings.stop_within, is_idle.cancel)
        try:
            await is_idle
            await self._orders.when_idle()
        except CancelledError:
            self._log.write(LogEvent.STOP_TIMEOUT)
        limit.cancel()
        for repeater in self._repeaters:
            repeater.cancel()
        await self._list.deregister(self._settings.instance).addErrback(lambda _: None)
        self._server.stop()
        await pause(self._timers, self._settings.stop_grace)
        self._log.write(LogEvent.STOPPED)

    def greeting(self) -> link_pb2.SidecarHello:
        """Make the first message of a link."""
        return link_pb2.SidecarHello(
            target_id=self._settings.target,
            incarnation=self._incarnation,
            data_centre=self._settings.data_centre,
            configuration_version=self._adoption.version,
        )

    def link_up(self, link: SidecarLink, hello: link_pb2.EntryHello) -> None:
        """Serve an entry; bring it up to date if it knows less."""
        self._log.write(LogEvent.LINK_UP, entry=hello.instance_id)
        self._send_load(link, self._load())
        if hello.configuration_version < self._adoption.version:
            document = link_pb2.Document(
                version=self._adoption.version, json=self._adoption.document
            )
            link.send(link_pb2.SidecarMessage(document=document))

    def link_message(self, link: SidecarLink, message: link_pb2.EntryMessage) -> None:
        """Handle a message of an entry."""
        kind = message.WhichOneof("body")
        if kind == "submit":
            self._executor.submit(link, message.submit)
        elif kind == "cancel":
            self._executor.cancel(link, message.cancel.attempt_id)
        elif kind == "pause":
            pause = message.pause
            self._executor.pause(link, pause.attempt_id, pause.paused)
        elif kind == "document":
            self._adoption.offer(message.document.json)
        elif kind == "plan_news":
            self._orders.tell(message.plan_news.revision)

    def link_down(self, link: SidecarLink) -> None:
        """Give up what a lost entry asked for."""
        self._reports_by_link.pop(link, None)
        self._executor.link_down(link)

    def _configuration_adopted(self) -> None:
        assert self._adoption.accepted is not None
        configuration = self._adoption.accepted.configuration
        target = configuration.targets.get(self._settings.target)
        self._executor.is_drained = target is None or target.drained
        self._find_older_system(configuration.older_system)
        self._orders.assign(group_of(configuration, self._settings.target))
        self._report_load()

    def _find_older_system(self, address: str | None) -> None:
        if address == self._older_address:
            return
        self._older_address = address
        self._executor.older_system = None
        if address is not None:
            timeout = self._settings.target_timeout
            older_system = HttpTarget(self._reactor, address, timeout)
            self._executor.older_system = older_system

    def _open_partition(self, service: str, number: int) -> ClaimPartition:
        self._log.write(LogEvent.CLAIMS_TAKEN_OVER, service=service, partition=number)
        return ClaimPartition(
            f"pimentolink/claims/{service}/{number}",
            self._incarnation,
            self._store,
            self._timers,
            self._settings.claims,
        )

    def load_due(self, link: SidecarLink) -> link_pb2.Load | None:
        """Tell the load along with answers, if the last report is old enough."""
        _, sent_at = self._reports_by_link.get(link, (None, 0.0))
        now = self._timers.now()
        if now - sent_at < self._settings.links.load_interval:
            return None
        load = self._load()
        self._reports_by_link[link] = (load, now)
        return load

    def _report_load(self) -> None:
        """Report the load where it changed or the last report is too old."""
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
        load.role = self._orders.role
        load.settled_number = self._orders.settled_number
        return load

    def _probe(self) -> None:
        pending = self._target.ask(
            "GET", PROBE_PATH, patience=self._settings.probe_interval
        )
        pending.addCallbacks(self._probe_answered, self._probe_missed)

    def _probe_answered(self, answer: Answer) -> None:
        self._probes_missed = 0
        if self._executor.target_is_lost:
            self._executor.target_is_lost = False
            self._report_load()

    def _probe_missed(self, failure: object) -> None:
        self._probes_missed += 1
        is_lost = self._probes_missed >= self._settings.probes_missed
        if is_lost and not self._executor.target_is_lost:
            self._executor.lose_target()
            self._report_load()

    def _register(self, is_leaving: bool) -> None:
        instance = Instance(
            name=self._settings.instance,
            role=SIDECAR,
            address=self._settings.listen,
            data_centre=self._settings.data_centre,
            target=self._settings.target,
            is_leaving=is_leaving,
        )
        pending = self._list.register(instance)
        if not is_leaving:
            pending.addErrback(self._register_again)
        else:
            pending.addErrback(lambda _: None)

    def _register_again(self, failure: object) -> None:
        pause = self._random.uniform(0.5, 1.0) * self._settings.platform.backoff_most
        self._timers.call_later(pause, lambda: self._register(is_leaving=False))
