"""The entry: routes callers' requests to targets; opens no sockets itself."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, NamedTuple, Protocol

import msgspec

from pimentolink import link_pb2
from pimentolink.adoption import Adoption
from pimentolink.breaker import BreakerStore
from pimentolink.configstore import CONFIGURATION_KEY, ConfigurationHead
from pimentolink.directory import TargetDirectory
from pimentolink.dispatcher import Dispatcher
from pimentolink.follower import KeyFollower
from pimentolink.instances import ENTRY, SIDECAR, Instance, InstanceList
from pimentolink.kvstore import KeyValueStore, Value
from pimentolink.links import EntryLink, EntryLinkListener
from pimentolink.logs import Log, LogEvent
from pimentolink.metrics import Metrics
from pimentolink.plan import Group, Plan, decode_plan, groups_of
from pimentolink.planner import Planner
from pimentolink.prefixes import PrefixIndex
from pimentolink.roles import make_role_policy
from pimentolink.router import Router, make_policy
from pimentolink.settings import EntrySettings
from pimentolink.targetpool import ring_hash
from pimentolink.timers import Repeater, Timers, pause
from pimentolink.tracing import Tracing

IDLE_POLL_INTERVAL = 0.05
STALL_CHECK_INTERVAL = 1.0


class ReconnectingLink(EntryLink, Protocol):
    """A link that reconnects by itself until it is closed."""

    address: str

    def close(self) -> None:
        """Close the link and stop reconnecting."""


class EntryPorts(NamedTuple):
    """
    External dependencies of an entry, with real and in-memory implementations.

    :ivar open_link: opens a link to a sidecar's address.
    :ivar incarnation: unique identifier of this run of the process; also seeds its
        random source.
    """

    timers: Timers
    store: KeyValueStore
    instances: InstanceList
    open_link: Callable[[str, EntryLinkListener], ReconnectingLink]
    incarnation: str


class Entry:
    """An entry: connects its components and handles messages of its links."""

    def __init__(self, settings: EntrySettings, ports: EntryPorts) -> None:
        """
        Create the components; :meth:`start` begins.

        :param settings: settings of this entry.
        :param ports: external dependencies.
        """
        self._settings = settings
        self._ports = ports
        self._random = Random(ports.incarnation)
        self._timers = ports.timers
        self._store = BreakerStore(
            ports.store, settings.platform, self._timers, self._random
        )
        self.log = Log(instance=settings.instance, role="entry")
        self.metrics = Metrics()
        self.tracing = Tracing(settings.instance, settings.trace_ratio, self.log)
        self.adoption = Adoption(self.log)
        self._follower = self._make_follower(CONFIGURATION_KEY, self._head_received)
        self._head: ConfigurationHead | None = None
        self._plan_followers: dict[Group, KeyFollower] = {}
        self._plan_by_group: dict[Group, tuple[Plan, int]] = {}
        prefix_memory = PrefixIndex(settings.routing.prefixes_kept)
        policy = make_policy(
            settings.routing, settings.data_centre, prefix_memory, self._random
        )
        router = Router(policy)
        self.directory = TargetDirectory(self.adoption, router, self._timers)
        self.dispatcher = Dispatcher(
            settings,
            self.adoption,
            self.directory,
            router,
            prefix_memory,
            self._timers,
            self.tracing,
            self.log,
        )
        self._planner = Planner(
            settings.planner,
            ports.incarnation,
            settings.data_centre,
            self._store,
            self.adoption,
            self.directory,
            make_role_policy(settings.planner, self._timers),
            self._timers,
            self._random,
            self.log,
        )
        self.adoption.subscribe(self._configuration_adopted)
        self._link_by_sidecar: dict[str, ReconnectingLink] = {}
        self._hello_by_link: dict[EntryLink, link_pb2.SidecarHello] = {}
        self._is_list_lost = False
        self._list_poller: Repeater | None = None
        self._stall_checker: Repeater | None = None
        self.is_stopping = False
        self._publish_gauges()

    def start(self) -> None:
        """Follow the configuration, open links to sidecars and start planning."""
        self._follower.start()
        self._planner.start()
        self._read_sidecars()
        interval = self._settings.platform.list_interval
        self._list_poller = Repeater(self._timers, interval, self._read_sidecars)
        self._stall_checker = Repeater(
            self._timers, STALL_CHECK_INTERVAL, self.dispatcher.retry_stalled_streams
        )
        self._register(is_leaving=False)
        self.log.write(LogEvent.STARTED, address=self._settings.listen)

    async def leave(self) -> None:
        """Register as leaving, then keep serving while load balancers take notice."""
        self.is_stopping = True
        self._planner.stop()
        self._register(is_leaving=True)
        self.log.write(LogEvent.STOPPING, in_flight=self.dispatcher.in_flight)
        await pause(self._timers, self._settings.leave_delay)

    async def finish(self) -> None:
        """Wait for requests in flight, then close all links and deregister."""
        await self._finish_work()
        for repeater in (self._list_poller, self._stall_checker):
            if repeater is not None:
                repeater.cancel()
        for follower in (self._follower, *self._plan_followers.values()):
            follower.stop()
        for link in self._link_by_sidecar.values():
            link.close()
        # A failure is ignored: the list itself removes instances that are gone, later.
        pending = self._ports.instances.deregister(self._settings.instance)
        await pending.addErrback(lambda _: None)
        self.log.write(LogEvent.STOPPED)

    async def _finish_work(self) -> None:
        end = self._timers.now() + self._settings.stop_within
        while self.dispatcher.in_flight:
            if self._timers.now() > end:
                left = self.dispatcher.in_flight
                self.log.write(LogEvent.STOP_TIMEOUT, in_flight=left)
                return
            await pause(self._timers, IDLE_POLL_INTERVAL)

    def status(self) -> dict[str, Any]:
        """Describe the entry for operators."""
        accepted = self.adoption.accepted
        return {
            "instance": self._settings.instance,
            "data_centre": self._settings.data_centre,
            "is_stopping": self.is_stopping,
            "configuration_version": self.adoption.version,
            "change_id": accepted.change_id if accepted else "",
            "key_value_is_up": self._follower.is_connected,
            "in_flight": self.dispatcher.in_flight,
            "retries": self.dispatcher.retries,
            "late_events": self.dispatcher.late_events,
            "targets": list(self.directory.describe()),
        }

    def make_hello(self) -> link_pb2.EntryHello:
        """Build the message that opens a link."""
        return link_pb2.EntryHello(
            instance_id=self._settings.instance,
            incarnation=self._ports.incarnation,
            data_centre=self._settings.data_centre,
            configuration_version=self.adoption.version,
        )

    def link_up(self, link: EntryLink, hello: link_pb2.SidecarHello) -> None:
        """Start routing to a sidecar's target; send newer configuration and plans."""
        self.log.write(LogEvent.LINK_UP, target=hello.target_id)
        self._hello_by_link[link] = hello
        self.directory.add(link, hello.target_id, hello.data_centre)
        if hello.configuration_version < self.adoption.version:
            link.send(self._document_message())
        self._send_plan_news(link, hello.target_id)

    def link_message(self, link: EntryLink, message: link_pb2.SidecarMessage) -> None:
        """Handle a message from a sidecar."""
        kind = message.WhichOneof("body")
        if kind == "step":
            if message.step.HasField("load"):
                self._load_received(link, message.step.load)
            self.dispatcher.step_received(message.step)
        elif kind == "load":
            self._load_received(link, message.load)
        elif kind == "document":
            self.adoption.offer(message.document.json)
        elif kind == "document_wanted":
            link.send(self._document_message())

    def _load_received(self, link: EntryLink, load: link_pb2.Load) -> None:
        if self.directory.reported(link, load):
            self.dispatcher.change_ended()

    def link_down(self, link: EntryLink) -> None:
        """Stop routing to a sidecar's target."""
        hello = self._hello_by_link.pop(link)
        self.log.write(LogEvent.LINK_DOWN, target=hello.target_id)
        lost = self.directory.remove(link)
        if lost is not None:
            self.dispatcher.target_down(lost)

    def _make_follower(
        self, key: str, on_value: Callable[[Value], object]
    ) -> KeyFollower:
        return KeyFollower(
            key,
            self._store,
            self._settings.platform,
            self._timers,
            self._random,
            self.log,
            on_value,
        )

    def _head_received(self, value: Value) -> None:
        if value.data is None:
            return
        head = msgspec.json.decode(value.data, type=ConfigurationHead)
        self._head = head
        if not self.adoption.offer_patch(bytes(head.patch), head.version, head.digest):
            pending = self._store.get(head.document_key)
            pending.addCallbacks(self._document_received, self._document_failed)

    def _document_received(self, value: Value) -> None:
        if value.data is not None:
            self.adoption.offer(value.data)

    def _document_failed(self, failure: object) -> None:
        # Reading the head again also retries the document.
        self._follower.schedule_read()

    def _configuration_adopted(self) -> None:
        message = self._change_message()
        for link in self._hello_by_link:
            link.send(message)
        self._follow_plans()

    def _follow_plans(self) -> None:
        """Watch the plans of this region's groups and stop watching all others."""
        assert self.adoption.accepted is not None
        configuration = self.adoption.accepted.configuration
        region = configuration.region_of(self._settings.data_centre)
        wanted = {group for group in groups_of(configuration) if group.region == region}
        for group in self._plan_followers.keys() - wanted:
            self._plan_followers.pop(group).stop()
            self._plan_by_group.pop(group, None)
        for group in wanted - self._plan_followers.keys():
            follower = self._make_follower(
                group.plan_key, partial(self._plan_received, group)
            )
            self._plan_followers[group] = follower
            follower.start()

    def _plan_received(self, group: Group, value: Value) -> None:
        self._plan_by_group[group] = (decode_plan(value.data), value.revision)
        for link, hello in self._hello_by_link.items():
            self._send_plan_news(link, hello.target_id)

    def _send_plan_news(self, link: EntryLink, target_id: str) -> None:
        """Notify a sidecar of plans with changes that its target has not reached."""
        target = self.directory.target(target_id)
        if target is None:
            return
        for group, (plan, revision) in self._plan_by_group.items():
            wanted = plan.wanted_by_target.get(target_id)
            if wanted is None or target.load.settled_number >= wanted.number:
                continue
            news = link_pb2.PlanNews(
                service=group.service, region=group.region, revision=revision
            )
            link.send(link_pb2.EntryMessage(plan_news=news))

    def _document_message(self) -> link_pb2.EntryMessage:
        document = link_pb2.Document(
            version=self.adoption.version, json=self.adoption.document
        )
        return link_pb2.EntryMessage(document=document)

    def _change_message(self) -> link_pb2.EntryMessage:
        """Build a message with the patch if it is known, else the whole document."""
        head = self._head
        if head is None or head.version != self.adoption.version:
            return self._document_message()
        document = link_pb2.Document(
            version=head.version, patch=bytes(head.patch), digest=head.digest
        )
        return link_pb2.EntryMessage(document=document)

    def _read_sidecars(self) -> None:
        self._ports.instances.read(SIDECAR).addCallbacks(
            self._instances_received, self._instance_list_failed
        )

    def _instances_received(self, instances: list[Instance]) -> None:
        self._is_list_lost = False
        wanted = {
            instance.name: instance for instance in self._choose_sidecars(instances)
        }
        for name in self._link_by_sidecar.keys() - wanted:
            self._link_by_sidecar.pop(name).close()
        for name, instance in wanted.items():
            link = self._link_by_sidecar.get(name)
            if link is not None and link.address != instance.address:
                link.close()
                link = None
            if link is None:
                opened = self._ports.open_link(instance.address, self)
                self._link_by_sidecar[name] = opened

    def _choose_sidecars(self, instances: list[Instance]) -> list[Instance]:
        """Choose the sidecars to link to, deterministically, local ones first."""
        most = self._settings.links.most_links
        if len(instances) <= most:
            return instances

        def sort_key(instance: Instance) -> tuple[bool, int]:
            is_far = instance.data_centre != self._settings.data_centre
            return is_far, ring_hash(f"{self._settings.instance}/{instance.name}")

        return sorted(instances, key=sort_key)[:most]

    def _instance_list_failed(self, failure: object) -> None:
        if not self._is_list_lost:
            self._is_list_lost = True
            self.log.write(LogEvent.LIST_LOST)

    def _register(self, is_leaving: bool) -> None:
        instance = Instance(
            name=self._settings.instance,
            role=ENTRY,
            address=self._settings.listen,
            data_centre=self._settings.data_centre,
            target="",
            is_leaving=is_leaving,
        )
        self._ports.instances.register(instance).addErrback(self._instance_list_failed)

    def _publish_gauges(self) -> None:
        dispatcher = self.dispatcher
        self.metrics.gauge("in_flight", lambda: dispatcher.in_flight)
        self.metrics.gauge("retries", lambda: dispatcher.retries)
        self.metrics.gauge("late_events", lambda: dispatcher.late_events)
        self.metrics.gauge("configuration_version", lambda: self.adoption.version)
        self.metrics.gauge("links", lambda: len(self._hello_by_link))
