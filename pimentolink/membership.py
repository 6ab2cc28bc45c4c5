"""Applies the store's configuration, targets and gateways to this gateway."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import xxhash
from result import Err, Result

from pimentolink.configurationage import ConfigurationAge
from pimentolink.endedtargets import EndedTargets
from pimentolink.errors import DocumentInvalid
from pimentolink.fleet import Fleet
from pimentolink.gatewaysettings import StoreSettings
from pimentolink.jsondocument import read_entry
from pimentolink.keyspace import Change, epoch_of
from pimentolink.leadership import LEADER_KEY
from pimentolink.logs import Log, LogEvent
from pimentolink.registration import GATEWAY_PREFIX, GatewayEntry
from pimentolink.routes import RoutingTable, RoutingTables
from pimentolink.suspectstore import SUSPECT_PREFIX
from pimentolink.targetestimate import Target, TargetEstimate
from pimentolink.timers import Timers
from pimentolink.usagereporter import USAGE_KEY


class DocumentReader(Protocol):
    """Parses the documents in the store of a deployment."""

    configuration_key: str
    target_prefix: str

    def read_configuration(
        self, document: bytes
    ) -> Result[RoutingTable, DocumentInvalid]:
        """Parse the operators' configuration."""

    def read_target(self, key: str, document: bytes) -> Result[Target, DocumentInvalid]:
        """Parse the entry of a target."""


class Membership:
    """
    Applies changes of the store to this gateway's configuration, targets and peers.

    A target that is leaving gets no more work. A target whose entry expired during an
    outage of the store is removed only after it had time to register again.

    :ivar gateways_by_name: entries of all gateways in the store.
    :ivar is_loaded: whether all keys were read at least once.
    :ivar on_changed: called after changes were applied.
    :ivar on_first_snapshot: called when all keys were read for the first time.
    :ivar on_leader: called with changes of the leader key.
    :ivar on_target_removed: called with the id of a target that was removed or
        restarted.
    :ivar on_target_ended: called with a target that was removed or restarted, as last
        known, and with the sign of its end.
    :ivar on_target_listed: called with the estimate of a target that is newly listed
        or restarted.
    :ivar on_suspects: called with changes of stored suspects.
    :ivar on_usage: called with changes of the usage key.
    """

    def __init__(
        self,
        tables: RoutingTables,
        fleet: Fleet,
        age: ConfigurationAge,
        documents: DocumentReader,
        settings: StoreSettings,
        timers: Timers,
        log: Log,
    ) -> None:
        """
        Start without any entries.

        :param tables: receive the configuration.
        :param fleet: receives the targets.
        :param age: of the configuration in force.
        :param documents: parses the store's documents.
        :param settings: how long targets and gateways may take to register again.
        :param timers: the timer service.
        :param log: receives the events.
        """
        self._routing_tables = tables
        self._fleet = fleet
        self._configuration_age = age
        self._ended_targets = EndedTargets()
        self._epoch = 0
        self._documents = documents
        self._settings = settings
        self._timers = timers
        self._log = log
        # Digests of invalid entries, so that each is logged only once.
        self._unreadable_by_id: dict[str, int] = {}
        self.gateways_by_name: dict[str, GatewayEntry] = {}
        self.is_loaded = False
        self.on_changed: Callable[[], None] = lambda: None
        self.on_first_snapshot: Callable[[], None] = lambda: None
        self.on_leader: Callable[[Change], None] = lambda change: None
        self.on_target_removed: Callable[[str], None] = lambda target_id: None
        self.on_target_ended: Callable[[Target, str], None] = lambda target, sign: None
        self.on_target_listed: Callable[[TargetEstimate], None] = lambda estimate: None
        self.on_suspects: Callable[[Change], None] = lambda change: None
        self.on_usage: Callable[[Change], None] = lambda change: None

    def find_address(self, gateway: str) -> str | None:
        """Return a gateway's address for datagrams; ``None`` if it is not listed."""
        entry = self.gateways_by_name.get(gateway)
        return entry.address if entry is not None else None

    def key_changed(self, change: Change) -> None:
        """Apply one change of a key."""
        self._epoch = epoch_of(change.revision)
        if change.key == self._documents.configuration_key:
            if change.value is not None:
                self._configuration_changed(change.value, change.revision)
        elif change.key.startswith(self._documents.target_prefix):
            self._target_changed(change)
        elif change.key.startswith(GATEWAY_PREFIX):
            self._gateway_changed(change)
        elif change.key == LEADER_KEY:
            self.on_leader(change)
        elif change.key.startswith(SUSPECT_PREFIX):
            self.on_suspects(change)
        elif change.key == USAGE_KEY:
            self.on_usage(change)

    def changes_delivered(self) -> None:
        """Report that changes were applied."""
        self.on_changed()

    def snapshot_delivered(
        self, keys: frozenset[str], requested_at: float, epoch: int
    ) -> None:
        """Remove or mark what a full read of the store no longer lists."""
        self._epoch = epoch
        self._schedule_gateway_cleanup()
        if self._documents.configuration_key in keys:
            self._configuration_age.record_verification(requested_at, epoch)
        prefix = self._documents.target_prefix
        listed = {key.removeprefix(prefix) for key in keys if key.startswith(prefix)}
        for target_id in list(self._fleet.targets_by_id):
            if target_id not in listed:
                self._mark_missing(target_id)
        for target_id in self._unreadable_by_id.keys() - listed:
            del self._unreadable_by_id[target_id]
        for name in list(self.gateways_by_name):
            if GATEWAY_PREFIX + name not in keys:
                del self.gateways_by_name[name]
        if LEADER_KEY not in keys:
            self.on_leader(Change(LEADER_KEY, None, 0))
        is_first = not self.is_loaded
        self.is_loaded = True
        if is_first:
            self.on_first_snapshot()

    def _configuration_changed(self, document: bytes, revision: int) -> None:
        # Stays so if the document cannot be handled.
        self._configuration_age.set_readable(is_readable=False)
        found = self._documents.read_configuration(document)
        if isinstance(found, Err):
            detail = str(found.err_value)
            self._log.write(
                LogEvent.CONFIGURATION_UNREADABLE, detail=detail, revision=revision
            )
            return
        table = found.ok_value
        previous_version = self._routing_tables.version
        is_newer = self._routing_tables.offer(table, self._timers.now())
        self._configuration_age.set_readable(is_readable=True)
        if not is_newer:
            return
        models = {name: item.engine for name, item in table.services_by_name.items()}
        self._fleet.set_models(models)
        self._log.write(
            LogEvent.CONFIGURATION_ADOPTED,
            version=table.version,
            before=previous_version,
            routes=len(table.routes_by_name),
            revision=revision,
        )

    def _target_changed(self, change: Change) -> None:
        target_id = change.key.removeprefix(self._documents.target_prefix)
        if change.value is None:
            self._unreadable_by_id.pop(target_id, None)
            self._remove_target(target_id, "removed")
            return
        found = self._documents.read_target(change.key, change.value)
        if isinstance(found, Err):
            self._reject_entry(target_id, change.value, str(found.err_value))
            return
        self._unreadable_by_id.pop(target_id, None)
        target = found.ok_value
        previous = self._fleet.targets_by_id.get(target_id)
        is_changed = previous is None or previous.target != target
        previous_born = previous.target.born if previous is not None else target.born
        is_stale = self._ended_targets.is_outdated(
            target, self._epoch, self._timers.now()
        )
        if target.born < previous_born or is_stale:
            self._log_life_change(
                LogEvent.TARGET_OUTDATED, target, previous_born, change
            )
            return
        estimate = self._fleet.put(target)
        self._ended_targets.mark_listed(target)
        if target.is_leaving:
            self._ended_targets.mark_leaving(target, self._epoch)
        if target.born > previous_born:
            self._log_life_change(
                LogEvent.TARGET_RESTARTED, target, previous_born, change
            )
            self.on_target_removed(target_id)
            if previous is not None:
                self.on_target_ended(previous.target, "started again")
        if estimate is not previous:
            self.on_target_listed(estimate)
        if is_changed:
            self._log.write(
                LogEvent.TARGET_LISTED,
                target=target_id,
                service=target.service,
                address=target.address,
                role=target.role.value,
                leaving=target.is_leaving,
                born=target.born,
                revision=change.revision,
            )

    def _log_life_change(
        self, event: LogEvent, target: Target, previous_born: int, change: Change
    ) -> None:
        """Log an outdated entry, or the entry of a restarted target."""
        self._log.write(
            event,
            target=target.target_id,
            born=target.born,
            before=previous_born,
            revision=change.revision,
        )

    def _reject_entry(self, target_id: str, document: bytes, detail: str) -> None:
        """
        Ignore an invalid entry and log it once for each content.

        A target known under this name is marked missing rather than removed, since it
        may write its own entry again.
        """
        digest = xxhash.xxh3_64_intdigest(document)
        if self._unreadable_by_id.get(target_id) != digest:
            self._unreadable_by_id[target_id] = digest
            self._log.write(LogEvent.TARGET_UNREADABLE, target=target_id, detail=detail)
        if target_id in self._fleet.targets_by_id:
            self._mark_missing(target_id)

    def _mark_missing(self, target_id: str) -> None:
        """Give a target no work until it is listed again; remove it if it is not."""
        estimate = self._fleet.targets_by_id[target_id]
        if estimate.missing_since is not None:
            return
        now = self._timers.now()
        estimate.missing_since = now
        self._log.write(LogEvent.TARGET_MISSING, target=target_id)
        self._timers.call_later(
            self._settings.return_time, lambda: self._remove_if_missing(target_id)
        )

    def _remove_if_missing(self, target_id: str) -> None:
        estimate = self._fleet.targets_by_id.get(target_id)
        if estimate is not None and estimate.missing_since is not None:
            self._remove_target(target_id, "missing")
            self.on_changed()

    def _remove_target(self, target_id: str, reason: str) -> None:
        estimate = self._fleet.remove(target_id)
        if estimate is None:
            return
        # Requests that still refer to the estimate must not choose the target again.
        estimate.missing_since = self._timers.now()
        self._ended_targets.mark_ended(estimate.target, self._epoch, self._timers.now())
        self._log.write(LogEvent.TARGET_GONE, target=target_id, reason=reason)
        self.on_target_removed(target_id)
        self.on_target_ended(estimate.target, "no longer listed")

    def _gateway_changed(self, change: Change) -> None:
        name = change.key.removeprefix(GATEWAY_PREFIX)
        if change.value is None:
            self._remove_gateway(name)
            return
        entry = read_entry(change.key, change.value, GatewayEntry, self._log)
        if entry is None:
            return
        if self.gateways_by_name.get(name) != entry:
            self._log.write(LogEvent.PEER_LISTED, peer=name, listed=True)
        self.gateways_by_name[name] = entry

    def _remove_gateway(self, name: str) -> None:
        if self.gateways_by_name.pop(name, None) is not None:
            self._log.write(LogEvent.PEER_LISTED, peer=name, listed=False)

    def _schedule_gateway_cleanup(self) -> None:
        """
        Remove gateways that do not register again after the store was restored.

        The copy may list gateways whose leases are gone, so the store never removes
        their entries.
        """
        if any(
            self._predates_restore(entry) for entry in self.gateways_by_name.values()
        ):
            self._timers.call_later(self._settings.lease, self._remove_stale_gateways)

    def _predates_restore(self, entry: GatewayEntry) -> bool:
        return entry.epoch < self._epoch

    def _remove_stale_gateways(self) -> None:
        for name, entry in list(self.gateways_by_name.items()):
            if self._predates_restore(entry):
                self._remove_gateway(name)
        self.on_changed()
