"""A gateway: receives callers' requests and forwards them directly to targets."""

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
from pimentolink.generation import GenerationHandler
from pimentolink.httptypes import Headers, HttpRequest
from pimentolink.keyspace import Keyspace
from pimentolink.keyspacefollower import KeyspaceFollower
from pimentolink.leadership import Leadership
from pimentolink.logs import Log, LogEvent
from pimentolink.membership import DocumentReader, Membership
from pimentolink.metering import Metering
from pimentolink.metrics import Metrics
from pimentolink.pages import Page
from pimentolink.peers import PeerProtocol, choose_peers
from pimentolink.placement import Placer
from pimentolink.plaincalls import PlainCallHandler
from pimentolink.prefillqueue import PrefillQueue
from pimentolink.prefillscheduler import PrefillScheduler
from pimentolink.quarantine import Quarantine
from pimentolink.readiness import Readiness
from pimentolink.registration import Registration
from pimentolink.retrylimiter import RetryLimiter
from pimentolink.rolebalance import RoleBalancer
from pimentolink.rolecontroller import RoleController
from pimentolink.routes import CallerBounds, RoutingTables
from pimentolink.settings import split_address
from pimentolink.sharedbudget import SharedBudgets
from pimentolink.stalldetector import StallDetector
from pimentolink.targetclient import TargetClient
from pimentolink.timers import Repeater, Timers, pause
from pimentolink.usagereporter import UsageApi

# Seconds between two reads of the settings file, which may change without a signal.
RELOAD_INTERVAL = 5.0
# Seconds from the start of a graceful stop until idle connections are closed: the load
# balancer takes this long to notice that the gateway is not ready.
IDLE_CLOSE_DELAY = 2.5
# Seconds after that for which new requests are still accepted. A later one could not
# finish before the time limit of the stop, so it is refused as not run instead of being
# aborted.
FINAL_ACCEPT_TIME = 0.4
# Seconds before the time limit of a stop at which unfinished requests are aborted.
ABORT_MARGIN = 0.5


ReadSettings = Callable[[], Result[GatewaySettings, SettingsInvalid]]


class Gateway:
    """Creates the components of a gateway and connects them."""

    def __init__(
        self,
        reactor: Any,
        settings: GatewaySettings,
        keyspace: Keyspace,
        dialect: Dialect,
        documents: DocumentReader,
        timers: Timers,
        read_settings: ReadSettings,
        usage_api: UsageApi | None = None,
    ) -> None:
        """
        Create the components; :meth:`start` opens ports and connections.

        :param reactor: the Twisted reactor.
        :param settings: of the gateway.
        :param keyspace: the store.
        :param dialect: builds and parses the deployment's headers and bodies.
        :param documents: parses the store's documents.
        :param timers: the timer service.
        :param read_settings: reads the settings file again.
        :param usage_api: receives usage reports; ``None`` if there are none to send.
        """
        self._reactor = reactor
        self._settings = settings
        self._keyspace = keyspace
        self._read_settings = read_settings
        self._timers = timers
        self._incarnation = uuid4().hex[:8]
        self.log = Log(instance=settings.instance, life=self._incarnation)
        self.metrics = Metrics()
        self._random = Random(self._incarnation)
        self._cells = Cells()
        self._cell_gateways: tuple[str, ...] = ()
        self._gateway_delay = GatewayDelay()
        self._egress_queue = EgressQueue(settings.link_megabits, timers)
        self.tables = RoutingTables()
        limit_ms = settings.revoke_within_ms
        self._revoke_within = limit_ms / 1000 if limit_ms is not None else None
        self.age = ConfigurationAge(self._revoke_within, timers, self.log)
        self.fleet = Fleet(settings.placement, settings.ejection, self._random)
        self.budgets = SharedBudgets(settings, timers)
        self._dialect = dialect
        self._peers = PeerProtocol(
            settings.instance,
            self._incarnation,
            self.fleet,
            self._dispatch_prefills,
            timers,
            self.log,
            self.metrics,
            self._egress_queue,
        )
        self._quarantine = Quarantine(
            settings,
            self._incarnation,
            keyspace,
            self._peers,
            timers,
            self._random,
            self.log,
        )
        self._quarantine.store.has_several_cells = lambda: self._cells.count > 1
        self._target_client = TargetClient(
            directwrite.DirectEndpointReactor(reactor, self._egress_queue),
            settings.connections,
            self.fleet,
            dialect,
            self._quarantine.reports,
            timers,
            self.log,
            self.metrics,
        )
        self._quarantine.reports.is_listening = self._target_client.is_listening
        self._target_client.max_connections = self._max_connections
        placer = Placer(
            settings.placement,
            self.fleet,
            settings.data_centre,
            self._egress_queue,
            self._gateway_delay,
        )
        self.prefill_scheduler = self._make_prefill_scheduler(placer)
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
        self.prefill_scheduler.estimate_age = self._follower.age
        self.forwarder.store_age = self._follower.age
        self.metrics.gauge("configuration_version", lambda: self.tables.version)
        self.metrics.gauge("store_age_seconds", self._follower.age)
        self._registration = Registration(
            settings, self._incarnation, keyspace, timers, self._random, self.log
        )
        self._registration.on_store_recovered = self._reread_store
        self._registration.on_renewed = self.budgets.share.lease_renewed
        self._registration.on_lease_lost = self.budgets.share.lease_lost
        self._follower.may_call_store = self._may_call_store
        self.leadership = Leadership(
            settings, self._incarnation, keyspace, timers, self._random, self.log
        )
        self.membership.on_leader = self.leadership.key_changed
        self.leadership.lead = self._make_role_controller().lead
        self._verifier = self._make_configuration_verifier(documents, keyspace)
        self._metering = self._make_metering(keyspace, usage_api)
        keyspace.on_restored = self._store_restored
        self._factory = CallerFactory(
            self.forwarder,
            self._caller_bounds,
            self._request_id,
            timers,
            self.log,
            self.metrics,
        )
        self._ports: list[Any] = []
        self._reload_repeater: Repeater | None = None
        self._stall_detector = StallDetector(timers, self.log, self._stall_ended)
        self._readiness = Readiness(
            {
                "configuration": lambda: self.tables.table is not None,
                "target_list": lambda: self.membership.is_loaded,
                "current_keys": self._may_serve_keys,
            },
            timers,
            self.log,
        )
        self.is_stopping = False

    def _make_prefill_scheduler(self, placer: Placer) -> PrefillScheduler:
        self._prefill_queue = PrefillQueue(self._settings.placement, placer)
        self._peers.queued_work_by_service = self._prefill_queue.queued_work_by_service
        prefill_scheduler = PrefillScheduler(
            self._prefill_queue,
            self._peers,
            self._timers,
            self.log,
            self._incarnation,
            self._gateway_delay,
        )
        self._peers.open_prefills = prefill_scheduler.open_prefills
        return prefill_scheduler

    def _make_membership(self, documents: DocumentReader) -> Membership:
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
                self._target_client.call_on_new_connection,
                timers,
                self._random,
                self.log,
            )
            membership.on_first_snapshot = learning.query_all
        membership.on_changed = self._membership_changed
        self._peers.find_address = membership.find_address
        membership.on_target_removed = self._target_client.forget
        membership.on_target_ended = self._quarantine.reports.target_removed
        membership.on_target_listed = self._quarantine.reports.target_listed
        membership.on_suspects = self._quarantine.store.key_changed
        return membership

    def _make_configuration_verifier(
        self, documents: DocumentReader, keyspace: Keyspace
    ) -> ConfigurationVerifier:
        """Create the verifier that keeps the configuration confirmed as current."""
        max_age = self._settings.adopt_within_ms / 1000
        if self._revoke_within is not None:
            max_age = min(max_age, self._revoke_within)
        verifier = ConfigurationVerifier(
            self._settings.instance,
            documents.configuration_key,
            keyspace,
            self.age,
            max_age,
            self._peers,
            self._timers,
        )
        # The first full read verifies the configuration too.
        verifier.is_needed = lambda: self.membership.is_loaded
        verifier.may_call_store = self._may_call_store
        verifier.gateways = lambda: self._cell_gateways
        verifier.version = lambda: self.tables.version
        self._peers.on_verification_message = verifier.handle_message
        verifier.on_change = self.membership.key_changed
        verifier.has_reached = self._follower.has_reached
        verifier.on_revision = self._follower.expect_revision
        return verifier

    def _uses_api_keys(self) -> bool:
        table = self.tables.table
        return table is not None and table.api_keys is not None

    def _may_serve_keys(self) -> bool:
        return not self._uses_api_keys() or self.age.is_current()

    def _make_metering(
        self, keyspace: Keyspace, usage_api: UsageApi | None
    ) -> Metering | None:
        settings = self._settings
        if settings.usage is None or usage_api is None:
            return None
        metering = Metering(
            settings.usage,
            self._incarnation,
            self.leadership,
            keyspace,
            usage_api,
            self._peers,
            self._timers,
            self.log,
        )
        metering.publisher.gateways = lambda: self.membership.gateways_by_name
        self.membership.on_usage = metering.key_changed
        self.forwarder.on_execution_started = metering.request_started
        return metering

    def _make_role_controller(self) -> RoleController:
        balancer = RoleBalancer(self._settings.roles, self.fleet)
        balancer.unmet_prefill = self._estimate_unmet_prefill
        controller = RoleController(
            self.leadership,
            balancer,
            self.fleet,
            self._dialect,
            self._target_client.call_on_new_connection,
            self._peers,
            self._timers,
            self.log,
        )
        controller.services = self._engine_services
        return controller

    def _make_forwarder(self, placer: Placer) -> Forwarder:
        settings, timers = self._settings, self._timers
        retry_limiter = RetryLimiter(self.budgets, self.log, self.metrics)
        generations = GenerationHandler(
            self._target_client,
            self._dialect,
            self.prefill_scheduler,
            placer,
            retry_limiter,
            timers,
            self.log,
        )
        calls = PlainCallHandler(
            self._target_client,
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
        """Open the ports and start the periodic work."""
        for address, factory in (
            (self._settings.listen, self._factory),
            (self._settings.readiness, self._make_page_factory(self._readiness_page)),
            (self._settings.metrics, self._make_page_factory(self._metrics_page)),
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
        self._stall_detector.start()
        self._registration.start()
        self.leadership.start()
        self._peers.start()
        self._verifier.start()
        if self._metering is not None:
            self._metering.start()
        self._reload_repeater = Repeater(self._timers, RELOAD_INTERVAL, self.reload)
        self.log.write(LogEvent.STARTED, settings=msgspec.to_builtins(self._settings))
        self._readiness.log_change()

    async def stop(self) -> None:
        """Stop gracefully: accept no more requests and finish those in flight."""
        self.is_stopping = True
        began_at = self._timers.now()
        self.log.write(LogEvent.STOPPING, in_work=self.forwarder.in_work)
        self._factory.announce_close()
        self._registration.stop()
        self.leadership.stop()
        await pause(self._timers, IDLE_CLOSE_DELAY)
        self._factory.close_idle()
        await pause(self._timers, FINAL_ACCEPT_TIME)
        self.forwarder.is_closing = True
        deadline = began_at + self._settings.stop_within - ABORT_MARGIN
        while self._factory.connections and self._timers.now() < deadline:
            await pause(self._timers, 0.05)
        if self._factory.connections:
            self.log.write(LogEvent.STOP_TIMEOUT, in_work=self.forwarder.in_work)
        await self._report_crashes(deadline)
        self._follower.stop()
        self._stall_detector.stop()
        self._verifier.stop()
        if self._metering is not None:
            self._metering.stop()
        self._peers.stop()
        self._quarantine.store.stop()
        if self._reload_repeater is not None:
            self._reload_repeater.cancel()
        self.log.write(LogEvent.STOPPED)

    async def _report_crashes(self, deadline: float) -> None:
        """
        Tell other gateways what this one knows of crashes before it stops.

        :param deadline: seconds of the timer service until which it may wait.
        """
        reports = self._quarantine.reports
        while reports.is_checking and self._timers.now() < deadline:
            await pause(self._timers, 0.05)
        self._peers.broadcast_separately(reports.unsettled_messages())

    def reload(self) -> None:
        """Read the settings again; invalid settings are logged and ignored."""
        loaded = self._read_settings()
        if isinstance(loaded, Err):
            self.log.write(LogEvent.SETTINGS_INVALID, detail=str(loaded.err_value))
            return
        settings = loaded.ok_value
        if settings == self._settings:
            return
        fields = msgspec.structs.asdict(settings)
        previous = msgspec.structs.asdict(self._settings)
        changed = sorted(name for name in fields if fields[name] != previous[name])
        # Components keep the settings that they were created with; only the retry
        # budget is read at each use.
        self.budgets.settings = settings.budget
        deferred = [name for name in changed if name != "budget"]
        self._settings = settings
        self.log.write(LogEvent.RELOADED, changed=changed, at_next_start=deferred)

    def _caller_bounds(self) -> CallerBounds:
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

    def _estimate_unmet_prefill(self, service: str) -> float:
        """
        Estimate the prefill work that all gateways refuse, from that of this one.

        :returns: engine seconds a second.
        """
        gateways = max(1, len(self.membership.gateways_by_name))
        return self._prefill_queue.unmet(service, self._timers.now()) * gateways

    def _max_connections(self, service: str) -> int:
        """Return this gateway's share of the connections that a target accepts."""
        limit = self._settings.connections.most
        table = self.tables.table
        configured = table.services_by_name.get(service) if table is not None else None
        if configured is None:
            return limit
        return max(1, min(limit, configured.max_connections // self.budgets.gateways))

    def _membership_changed(self) -> None:
        gateways = self.membership.gateways_by_name
        settings = self._settings
        data_centre_by_gateway = {
            name: entry.data_centre for name, entry in gateways.items()
        }
        has_changed = self._cells.update_cells(data_centre_by_gateway)
        cell = self._cells.of(settings.instance, settings.data_centre)
        if has_changed:
            self.fleet.update_cells(self._cells, cell)
            self.log.write(
                LogEvent.CELL_CHANGED,
                cell=cell,
                cells=self._cells.count,
                gateways=len(gateways),
            )
        peers = choose_peers(settings.instance, cell, self._cells, gateways)
        self._cell_gateways = tuple(peers)
        self._peers.set_peer_addresses(peers.values())
        self.budgets.share.listed_count.update(len(gateways))
        self.prefill_scheduler.dispatch_waiting()
        self._readiness.log_change()

    def _dispatch_prefills(self) -> None:
        self.prefill_scheduler.dispatch_waiting()

    def _stall_ended(self) -> None:
        """Read the store again, since its state may have changed during the stall."""
        self.fleet.clear_failures(self._timers.now())
        self._reread_store()
        self._registration.renew_now()
        self.leadership.invalidate_lease()

    def _may_call_store(self) -> bool:
        return self._registration.is_store_reachable or self._keyspace.responds_to_reads

    def _reread_store(self) -> None:
        """Read the store again, which may have changed unnoticed."""
        self._follower.restart()
        self._verifier.restart()

    def _store_restored(self) -> None:
        """Read the store again, and write again what the restore lost."""
        self.log.write(LogEvent.STORE_RESTORED, epoch=self._keyspace.epoch)
        self._reread_store()
        self._registration.renew_now()
        self._quarantine.store.restored()

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this gateway."""
        return not self.is_stopping and not self._readiness.unmet()

    def _make_page_factory(
        self, page: Callable[[], tuple[int, bytes]]
    ) -> CallerFactory:
        handler = Page(page)
        return CallerFactory(
            handler,
            self._caller_bounds,
            self._request_id,
            self._timers,
            self.log,
            self.metrics,
        )

    def _readiness_page(self) -> tuple[int, bytes]:
        self._readiness.log_change()
        return (200, b"ready\n") if self.is_ready() else (503, b"not ready\n")

    def _metrics_page(self) -> tuple[int, bytes]:
        return 200, self.metrics.text()
