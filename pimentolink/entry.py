"""The entry: takes callers' requests and sends them to targets."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any
from uuid import uuid4

from twisted.internet.defer import Deferred

from pimentolink import link_pb2
from pimentolink.adoption import Adoption
from pimentolink.callers import CallerInterface, make_site
from pimentolink.configstore import CONFIGURATION_KEY
from pimentolink.directory import TargetDirectory
from pimentolink.directwrite import listen
from pimentolink.dispatcher import Dispatcher
from pimentolink.follower import KeyFollower
from pimentolink.instances import ENTRY, SIDECAR, HttpInstanceList, Instance
from pimentolink.kvstore import HttpStore, Value
from pimentolink.links import EntryLink, LinkClient
from pimentolink.logs import Log, LogEvent
from pimentolink.metrics import Metrics
from pimentolink.plan import Group, group_of, groups_of
from pimentolink.planner import FixedRoles, Planner
from pimentolink.router import PredictedWork, Router
from pimentolink.settings import EntrySettings, split_address
from pimentolink.timers import ReactorTimers, Repeater
from pimentolink.tracing import Tracing

IDLE_POLL = 0.05
LISTEN_BACKLOG = 1024


class Entry:
    """One entry: wires the parts and answers its links."""

    def __init__(self, reactor: Any, settings: EntrySettings) -> None:
        """
        Wire the parts; :meth:`start` begins.

        :param reactor: the loop.
        :param settings: of this entry.
        """
        self._reactor = reactor
        self._settings = settings
        self._incarnation = uuid4().hex
        self._random = Random(self._incarnation)
        self._log = Log(instance=settings.instance, role="entry")
        self._timers = ReactorTimers(reactor)
        self._metrics = Metrics()
        self._tracing = Tracing(settings.instance, settings.trace_ratio, self._log)
        self._adoption = Adoption(self._log)
        self._store = HttpStore(reactor, settings.platform)
        self._list = HttpInstanceList(reactor, settings.platform)
        self._follower = self._make_follower(
            CONFIGURATION_KEY, self._configuration_came
        )
        self._plan_followers: dict[Group, KeyFollower] = {}
        self._revision_by_group: dict[Group, int] = {}
        policy = PredictedWork(settings.routing, settings.data_centre, self._random)
        router = Router(policy)
        self._directory = TargetDirectory(self._adoption, router, self._timers)
        self._dispatcher = Dispatcher(
            settings,
            self._adoption,
            self._directory,
            router,
            self._timers,
            self._tracing,
            self._log,
        )
        self._planner = Planner(
            settings.planner,
            self._incarnation,
            settings.data_centre,
            self._store,
            self._adoption,
            self._directory,
            FixedRoles(),
            self._timers,
            self._log,
        )
        self._adoption.subscribe(self._configuration_adopted)
        self._link_by_sidecar: dict[str, LinkClient] = {}
        self._hello_by_link: dict[EntryLink, link_pb2.SidecarHello] = {}
        self._list_is_lost = False
        self._port: Any = None
        self._poll: Repeater | None = None
        self.is_stopping = False
        self._publish_gauges()

    async def start(self) -> None:
        """Listen to callers and begin to look for sidecars."""
        interface = CallerInterface(
            self._dispatcher,
            self._adoption,
            self._settings.limits,
            self._metrics,
            self._timers,
            self._tracing,
            self,
            self._settings.shared_key,
        )
        site = make_site(interface, self._settings.limits, self._timers)
        host, port = split_address(self._settings.listen)
        self._port = listen(self._reactor, host, port, site, LISTEN_BACKLOG)
        self._follower.start()
        self._planner.start()
        self._read_list()
        interval = self._settings.platform.list_interval
        self._poll = Repeater(self._timers, interval, self._read_list)
        self._register(is_leaving=False)
        self._log.write(LogEvent.STARTED, address=self._settings.listen)

    async def stop(self) -> None:
        """Leave the list, let the balancer notice, finish what is in work, end."""
        self.is_stopping = True
        self._planner.stop()
        self._register(is_leaving=True)
        self._log.write(LogEvent.STOPPING, in_flight=self._dispatcher.in_flight)
        await self._sleep(self._settings.leave_delay)
        await self._port.stopListening()
        await self._finish_work()
        if self._poll is not None:
            self._poll.cancel()
        for follower in (self._follower, *self._plan_followers.values()):
            follower.stop()
        for link in self._link_by_sidecar.values():
            link.close()
        await _ignore_failure(self._list.deregister(self._settings.instance))
        self._log.write(LogEvent.STOPPED)

    async def _finish_work(self) -> None:
        end = self._timers.now() + self._settings.stop_within
        while self._dispatcher.in_flight:
            if self._timers.now() > end:
                left = self._dispatcher.in_flight
                self._log.write(LogEvent.STOP_TIMEOUT, in_flight=left)
                return
            await self._sleep(IDLE_POLL)

    def status(self) -> dict[str, Any]:
        """Describe the entry for operators."""
        accepted = self._adoption.accepted
        return {
            "instance": self._settings.instance,
            "data_centre": self._settings.data_centre,
            "is_stopping": self.is_stopping,
            "configuration_version": self._adoption.version,
            "change_id": accepted.change_id if accepted else "",
            "key_value_is_up": self._follower.is_connected,
            "in_flight": self._dispatcher.in_flight,
            "retries": self._dispatcher.retries,
            "late_events": self._dispatcher.late_events,
            "targets": list(self._directory.describe()),
        }

    def greeting(self) -> link_pb2.EntryHello:
        """Make the first message of a link."""
        return link_pb2.EntryHello(
            instance_id=self._settings.instance,
            incarnation=self._incarnation,
            data_centre=self._settings.data_centre,
            configuration_version=self._adoption.version,
        )

    def link_up(self, link: EntryLink, hello: link_pb2.SidecarHello) -> None:
        """Take a sidecar's target into routing; bring it up to date."""
        self._log.write(LogEvent.LINK_UP, target=hello.target_id)
        self._hello_by_link[link] = hello
        self._directory.add(link, hello.target_id, hello.data_centre)
        if hello.configuration_version < self._adoption.version:
            link.send(self._document())
        self._tell_plan(link, hello.target_id)

    def link_message(self, link: EntryLink, message: link_pb2.SidecarMessage) -> None:
        """Handle a message of a sidecar."""
        kind = message.WhichOneof("body")
        if kind == "step":
            if message.step.HasField("load"):
                self._directory.reported(link, message.step.load)
            self._dispatcher.step_received(message.step)
        elif kind == "load":
            self._directory.reported(link, message.load)
        elif kind == "document":
            self._adoption.offer(message.document.json)

    def link_down(self, link: EntryLink) -> None:
        """Take a sidecar's target out of routing."""
        hello = self._hello_by_link.pop(link)
        self._log.write(LogEvent.LINK_DOWN, target=hello.target_id)
        lost = self._directory.remove(link)
        if lost is not None:
            self._dispatcher.target_down(lost)

    def _make_follower(
        self, key: str, on_value: Callable[[Value], object]
    ) -> KeyFollower:
        return KeyFollower(
            key,
            self._store,
            self._settings.platform,
            self._timers,
            self._random,
            self._log,
            on_value,
        )

    def _configuration_came(self, value: Value) -> None:
        if value.data is not None:
            self._adoption.offer(value.data)

    def _configuration_adopted(self) -> None:
        document = self._document()
        for link in self._hello_by_link:
            link.send(document)
        self._follow_plans()

    def _follow_plans(self) -> None:
        """Follow the plans of this region's groups, and no others."""
        assert self._adoption.accepted is not None
        configuration = self._adoption.accepted.configuration
        region = configuration.region_of(self._settings.data_centre)
        wanted = {group for group in groups_of(configuration) if group.region == region}
        for group in self._plan_followers.keys() - wanted:
            self._plan_followers.pop(group).stop()
        for group in wanted - self._plan_followers.keys():
            follower = self._make_follower(
                group.plan_key, partial(self._plan_came, group)
            )
            self._plan_followers[group] = follower
            follower.start()

    def _plan_came(self, group: Group, value: Value) -> None:
        self._revision_by_group[group] = value.revision
        for link, hello in self._hello_by_link.items():
            self._tell_plan(link, hello.target_id)

    def _tell_plan(self, link: EntryLink, target_id: str) -> None:
        if self._adoption.accepted is None:
            return
        group = group_of(self._adoption.accepted.configuration, target_id)
        if group is None or group not in self._revision_by_group:
            return
        news = link_pb2.PlanNews(
            service=group.service,
            region=group.region,
            revision=self._revision_by_group[group],
        )
        link.send(link_pb2.EntryMessage(plan_news=news))

    def _document(self) -> link_pb2.EntryMessage:
        document = link_pb2.Document(
            version=self._adoption.version, json=self._adoption.document
        )
        return link_pb2.EntryMessage(document=document)

    def _read_list(self) -> None:
        self._list.read(SIDECAR).addCallbacks(self._list_came, self._list_failed)

    def _list_came(self, instances: list[Instance]) -> None:
        self._list_is_lost = False
        wanted = {instance.name: instance for instance in instances}
        for name in self._link_by_sidecar.keys() - wanted:
            self._link_by_sidecar.pop(name).close()
        for name, instance in wanted.items():
            link = self._link_by_sidecar.get(name)
            if link is not None and link.address != instance.address:
                link.close()
                link = None
            if link is None:
                self._link_by_sidecar[name] = LinkClient(
                    self._reactor,
                    instance.address,
                    self._settings.shared_key,
                    self._settings.links,
                    self,
                    self._timers,
                    self._log,
                )

    def _list_failed(self, failure: object) -> None:
        if not self._list_is_lost:
            self._list_is_lost = True
            self._log.write(LogEvent.LIST_LOST)

    def _register(self, is_leaving: bool) -> None:
        instance = Instance(
            name=self._settings.instance,
            role=ENTRY,
            address=self._settings.listen,
            data_centre=self._settings.data_centre,
            target="",
            is_leaving=is_leaving,
        )
        self._list.register(instance).addErrback(self._list_failed)

    def _publish_gauges(self) -> None:
        dispatcher = self._dispatcher
        self._metrics.gauge("in_flight", lambda: dispatcher.in_flight)
        self._metrics.gauge("retries", lambda: dispatcher.retries)
        self._metrics.gauge("late_events", lambda: dispatcher.late_events)
        self._metrics.gauge("configuration_version", lambda: self._adoption.version)
        self._metrics.gauge("links", lambda: len(self._hello_by_link))

    def _sleep(self, seconds: float) -> Deferred[None]:
        pending: Deferred[None] = Deferred()
        self._timers.call_later(seconds, lambda: pending.callback(None))
        return pending


async def _ignore_failure(pending: Deferred[None]) -> None:
    # The list drops an instance that is gone by itself, only later.
    await pending.addErrback(lambda _: None)
