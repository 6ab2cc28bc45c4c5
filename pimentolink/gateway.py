"""A gateway: an entry that passes callers' requests straight to targets."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any
from uuid import uuid4

import msgspec
from result import Err, Result

from pimentolink import directwrite
from pimentolink.authentication import Authenticator
from pimentolink.cachelearning import CacheLearning
from pimentolink.callerhttp import CallerFactory
from pimentolink.calls import Caller
from pimentolink.cells import Cells
from pimentolink.configurationage import ConfigurationAge
from pimentolink.configurationverifier import ConfigurationVerifier
from pimentolink.dialect import Dialect
from pimentolink.egressqueue import EgressQueue
from pimentolink.errors import SettingsInvalid
from pimentolink.fleet import Fleet
from pimentolink.forwarder import Forwarder
from pimentolink.gatewaydelay import GatewayDelay
from pimentolink.gatewaysettings import GatewaySettings
from pimentolink.generation import Generations
from pimentolink.httptypes import Headers, HttpRequest
from pimentolink.keyspace import Keyspace
from pimentolink.keyspacefollower import KeyspaceFollower
from pimentolink.leadership import Leadership
from pimentolink.logs import Log, LogEvent
from pimentolink.membership import Documents, Membership
from pimentolink.metering import Metering
from pimentolink.metrics import Metrics
from pimentolink.pages import Page
from pimentolink.peers import PeerProtocol, choose_peers
from pimentolink.placement import Placer
from pimentolink.plaincalls import PlainCalls
from pimentolink.prefillqueue import PrefillQueue
from pimentolink.prefillscheduler import PrefillScheduler
from pimentolink.quarantine import Quarantine
from pimentolink.registration import Registration
from pimentolink.retrylimiter import RetryLimiter
from pimentolink.rolebalance import RoleBalancer
from pimentolink.rolecontroller import RoleController
from pimentolink.routes import CallerBounds, RoutingTables
from pimentolink.settings import split_address
from pimentolink.sharedbudget import SharedBudgets
from pimentolink.stalldetector import StallDetector
from pimentolink.timers import Repeater, Timers, pause
from pimentolink.usagereporter import UsageApi

# Seconds between two looks at the settings file, which may change without a signal.
RELOAD_INTERVAL = 5.0
# Seconds after a stop's begin until idle connections are closed: the balancer takes
# this long to notice that the gateway is not ready.
LEAVE_TIME = 2.5
# Seconds beyond it until no new request is taken: one that comes later could not be
# finished before the bound on the stop, and is refused as not run instead of cut off.
LAST_WORK = 0.4
# Seconds before the bound on a stop at which work that is left is cut off.
CUT_BEFORE = 0.5


ReadSettings = Callable[[], Result[GatewaySettings, SettingsInvalid]]


class Gateway:
    """All parts of a gateway, put together."""

    def __init__(
        self,
        reactor: Any,
        settings: GatewaySettings,
        keyspace: Keyspace,
        dialect: Dialect,
        documents: Documents,
        timers: Timers,
        read_settings: ReadSettings,
        usage_api: UsageApi | None = None,
    ) -> None:
        """
        Open nothing yet.

        :param reactor: the loop.
        :param settings: of the gateway.
        :param keyspace: the store.
        :param dialect: the deployment's headers and bodies.
        :param documents: reads the store's documents.
        :param timers: the timer service.
        :param read_settings: reads the settings file again.
        :param usage_api: takes reports of usage; ``None`` if nobody does.
        """
        self._reactor = reactor
        self._settings = settings
        self._keyspace = keyspace
        self._read_settings = read_settings
        self._timers = timers
        self._life = uuid4().hex[:8]
        self.log = Log(instance=settings.instance, life=self._life)
        self.metrics = Metrics()
        self._random = Random(self._life)
        self._cells = Cells()
        self._cell_gateways: tuple[str, ...] = ()
        self._own_delay = GatewayDelay()
        self._egress_queue = EgressQueue(settings.link_megabits, timers)
        self.tables = RoutingTables()
        bound = settings.revoke_within_ms
        self._revoke_within = bound / 1000 if bound is not None else None
        self.age = ConfigurationAge(self._revoke_within, timers, self.log)
        self.fleet = Fleet(settings.placement, settings.ejection, self._random)
        self.budgets = SharedBudgets(settings, timers)
        self._dialect = dialect
        self._peers = PeerProtocol(
            settings.instance,
            self._life,
            self.fleet,
            self._news,
            timers,
            self.log,
            self.metrics,
            self._egress_queue,
        )
        self._quarantine = Quarantine(
            settings,
            self._life,
            keyspace,
            self._peers,
            timers,
            self._random,
            self.log,
        )
        self._quarantine.store.is_divided = lambda: self._cells.count > 1
        self._caller = Caller(
            directwrite.DirectEndpointReactor(reactor, self._egress_queue),
            settings.connections,
            self.fleet,
            dialect,
            self._quarantine.reports,
            timers,
            self.log,
            self.metrics,
        )
        self._quarantine.reports.is_listening = self._caller.is_listening
        self._caller.max_connections = self._max_connections
        placer = Placer(
            settings.placement,
            self.fleet,
            settings.data_centre,
            self._egress_queue,
            self._own_delay,
        )
        self.readings = self._make_readings(placer)
        self.forwarder = self._make_forwarder(placer)
        self.membership = self._make_membership(documents)
        self._follower = KeyspaceFollower(
            "",
            keyspace,
            self.membership,
            settings.store,
            timers,
            self._random,
            self.log,
        )
        self.readings.belief_age = self._follower.age
        self._registration = Registration(
            settings, self._life, keyspace, timers, self._random, self.log
        )
        self._registration.on_store_back = self._read_again
        self._registration.on_renewed = self.budgets.share.lease_renewed
        self._registration.on_lost = self.budgets.share.lease_lost
        self._follower.may_ask = self._may_ask_store
        self.leadership = Leadership(
            settings, self._life, keyspace, timers, self._random, self.log
        )
        self.membership.on_leader = self.leadership.key_changed
        self.leadership.lead = self._make_orders().lead
        self._verifier = self._make_prover(documents, keyspace)
        self._metering = self._make_metering(keyspace, usage_api)
        keyspace.on_restored = self._store_restored
        self._factory = CallerFactory(
            self.forwarder,
            self._bounds,
            self._request_id,
            timers,
            self.log,
            self.metrics,
        )
        self._ports: list[Any] = []
        self._reloading: Repeater | None = None
        self._freezes = StallDetector(timers, self.log, self._thawed)
        self.is_stopping = False

    def _make_readings(self, placer: Placer) -> PrefillScheduler:
        self._queue = PrefillQueue(self._settings.placement, placer)
        self._peers.waiting_work = self._queue.waiting_work
        readings = PrefillScheduler(
            self._queue,
            self._peers,
            self._timers,
            self.log,
            self._life,
            self._own_delay,
        )
        self._peers.open_prefills = readings.open_prefills
        return readings

    def _make_membership(self, documents: Documents) -> Membership:
        settings, timers = self._settings, self._timers
        membership = Membership(
            self.tables,
            self.fleet,
            self.age,
            documents,
            settings.store,
            timers,
            self.log,
        )
        if not settings.is_first_start:
            learning = CacheLearning(
                self._dialect,
                self.fleet,
                self._caller.alone,
                timers,
                self._random,
                self.log,
            )
            membership.on_first_read = learning.ask_all
        membership.on_changed = self._fleet_changed
        self._peers.address_of = membership.address_of
        membership.on_gone = self._caller.forget
        membership.on_life_ended = self._quarantine.reports.target_ended
        membership.on_suspects = self._quarantine.store.key_changed
        return membership

    def _make_prover(
        self, documents: Documents, keyspace: Keyspace
    ) -> ConfigurationVerifier | None:
        """Make what keeps the configuration proven, where keys are bound to it."""
        if self._revoke_within is None:
            return None
        verifier = ConfigurationVerifier(
            self._settings.instance,
            documents.configuration_key,
            keyspace,
            self.age,
            self._revoke_within,
            self._peers,
            self._timers,
        )
        verifier.is_needed = self._has_keys
        verifier.may_ask = self._may_ask_store
        verifier.gateways = lambda: self._cell_gateways
        verifier.version = lambda: self.tables.table.version if self.tables.table else 0
        self._peers.on_proof = verifier.take
        verifier.on_change = self.membership.key_changed
        return verifier

    def _has_keys(self) -> bool:
        table = self.tables.table
        return table is not None and table.api_keys is not None

    def _make_metering(
        self, keyspace: Keyspace, usage_api: UsageApi | None
    ) -> Metering | None:
        settings = self._settings
        if settings.usage is None or usage_api is None:
            return None
        metering = Metering(
            settings.usage,
            self._life,
            self.leadership,
            keyspace,
            usage_api,
            self._peers,
            self._timers,
            self.log,
        )
        metering.publisher.gateways = lambda: self.membership.gateways_by_name
        self.membership.on_usage = metering.key_changed
        self.forwarder.on_run = metering.begun
        return metering

    def _make_orders(self) -> RoleController:
        balancer = RoleBalancer(self._settings.roles, self.fleet)
        balancer.unmet_prefill = self._unmet_reading
        orders = RoleController(
            self.leadership,
            balancer,
            self.fleet,
            self._dialect,
            self._caller.alone,
            self._peers,
            self._timers,
            self.log,
        )
        orders.services = self._engine_services
        return orders

    def _make_forwarder(self, placer: Placer) -> Forwarder:
        settings, timers = self._settings, self._timers
        retry_limiter = RetryLimiter(self.budgets, self.log, self.metrics)
        generations = Generations(
            self._caller,
            self._dialect,
            self.readings,
            placer,
            retry_limiter,
            timers,
            self.log,
        )
        calls = PlainCalls(
            self._caller,
            self._dialect,
            self.fleet,
            retry_limiter,
            settings.placement,
            settings.data_centre,
            timers,
        )
        return Forwarder(
            self.tables,
            Authenticator(self.age),
            self._dialect,
            generations,
            calls,
            timers,
            self._random,
            self.log,
            self.metrics,
        )

    async def start(self) -> None:
        """Listen and begin."""
        for address, factory in (
            (self._settings.listen, self._factory),
            (self._settings.readiness, self._factory_of(self._ready)),
            (self._settings.metrics, self._factory_of(self._metrics_page)),
        ):
            host, port = split_address(address)
            self._ports.append(
                directwrite.listen(
                    self._reactor,
                    host,
                    port,
                    factory,
                    backlog=512,
                    egress_queue=self._egress_queue,
                )
            )
        host, port = split_address(self._settings.peers)
        self._ports.append(self._reactor.listenUDP(port, self._peers, interface=host))
        self._follower.start()
        self._freezes.start()
        self._registration.start()
        self.leadership.start()
        self._peers.start()
        if self._verifier is not None:
            self._verifier.start()
        if self._metering is not None:
            self._metering.start()
        self._reloading = Repeater(self._timers, RELOAD_INTERVAL, self.reload)
        self.log.write(LogEvent.STARTED, settings=msgspec.to_builtins(self._settings))

    async def stop(self) -> None:
        """Take no more work, finish what is under way."""
        self.is_stopping = True
        began_at = self._timers.now()
        self.log.write(LogEvent.STOPPING, in_work=self.forwarder.in_work)
        self._factory.announce_close()
        self._registration.stop()
        self.leadership.stop()
        await pause(self._timers, LEAVE_TIME)
        self._factory.close_idle()
        await pause(self._timers, LAST_WORK)
        self.forwarder.is_closing = True
        bound = began_at + self._settings.stop_within - CUT_BEFORE
        while self._factory.connections and self._timers.now() < bound:
            await pause(self._timers, 0.05)
        if self._factory.connections:
            self.log.write(LogEvent.STOP_TIMEOUT, in_work=self.forwarder.in_work)
        self._follower.stop()
        self._freezes.stop()
        if self._verifier is not None:
            self._verifier.stop()
        if self._metering is not None:
            self._metering.stop()
        self._peers.stop()
        self._quarantine.store.stop()
        if self._reloading is not None:
            self._reloading.cancel()
        self.log.write(LogEvent.STOPPED)

    def reload(self) -> None:
        """Read the settings again; those that are invalid change nothing."""
        found = self._read_settings()
        if isinstance(found, Err):
            self.log.write(LogEvent.SETTINGS_INVALID, detail=str(found.err_value))
            return
        settings = found.ok_value
        if settings == self._settings:
            return
        fields = msgspec.structs.asdict(settings)
        before = msgspec.structs.asdict(self._settings)
        changed = sorted(name for name in fields if fields[name] != before[name])
        # Parts hold their settings; only these are read at each use.
        self.budgets.settings = settings.budget
        later = [name for name in changed if name != "budget"]
        self._settings = settings
        self.log.write(LogEvent.RELOADED, changed=changed, at_next_start=later)

    def _bounds(self) -> CallerBounds:
        table = self.tables.table
        if table is not None and table.bounds is not None:
            return table.bounds
        callers = self._settings.callers
        return CallerBounds(
            callers.head_bytes, callers.body_bytes, callers.head_time, callers.idle_time
        )

    def _request_id(self, headers: Headers) -> str:
        return self._dialect.request_id(HttpRequest(b"", b"", headers))

    def _engine_services(self) -> list[str]:
        table = self.tables.table
        if table is None:
            return []
        services = table.services_by_name.values()
        return [service.name for service in services if service.engine is not None]

    def _unmet_reading(self, service: str) -> float:
        """Estimate what all gateways turn away, from what this one does."""
        gateways = max(1, len(self.membership.gateways_by_name))
        return self._queue.unmet(service, self._timers.now()) * gateways

    def _max_connections(self, service: str) -> int:
        """Tell this gateway's part of the connections that a target takes."""
        most = self._settings.connections.most
        table = self.tables.table
        found = table.services_by_name.get(service) if table is not None else None
        if found is None:
            return most
        return max(1, min(most, found.max_connections // self.budgets.gateways))

    def _fleet_changed(self) -> None:
        gateways = self.membership.gateways_by_name
        settings = self._settings
        places = {name: entry.data_centre for name, entry in gateways.items()}
        has_changed = self._cells.divide(places)
        cell = self._cells.of(settings.instance, settings.data_centre)
        if has_changed:
            self.fleet.divide(self._cells, cell)
            self.log.write(
                LogEvent.CELL_CHANGED,
                cell=cell,
                cells=self._cells.count,
                gateways=len(gateways),
            )
        peers = choose_peers(settings.instance, cell, self._cells, gateways)
        self._cell_gateways = tuple(peers)
        self._peers.tell_to(peers.values())
        self.budgets.share.listed_count.update(len(gateways))
        self.readings.look()

    def _news(self) -> None:
        self.readings.look()

    def _thawed(self) -> None:
        """Read the store again before anything rests on older belief."""
        self.fleet.forgive(self._timers.now())
        self._read_again()
        self._registration.check()
        self.leadership.distrust()

    def _may_ask_store(self) -> bool:
        return self._registration.is_answered

    def _read_again(self) -> None:
        """Read the store again, which may have changed unseen."""
        self._follower.restart()
        if self._verifier is not None:
            self._verifier.restart()

    def _store_restored(self) -> None:
        """Read the store again, and write again what it lost."""
        self.log.write(LogEvent.STORE_RESTORED, epoch=self._keyspace.epoch)
        self._read_again()
        self._registration.check()
        self._quarantine.store.restored()

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return (
            not self.is_stopping
            and self.tables.table is not None
            and self.membership.is_known
            and (not self._has_keys() or self.age.is_current())
        )

    def _factory_of(self, page: Callable[[], tuple[int, bytes]]) -> CallerFactory:
        handler = Page(page)
        return CallerFactory(
            handler,
            self._bounds,
            self._request_id,
            self._timers,
            self.log,
            self.metrics,
        )

    def _ready(self) -> tuple[int, bytes]:
        return (200, b"ready\n") if self.is_ready() else (503, b"not ready\n")

    def _metrics_page(self) -> tuple[int, bytes]:
        return 200, self.metrics.text()
