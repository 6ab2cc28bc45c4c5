"""Keeps configuration, targets and other gateways as the store tells them."""

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
from pimentolink.targetestimate import Target
from pimentolink.timers import Timers
from pimentolink.usagereporter import USAGE_KEY


class Documents(Protocol):
    """Reads the documents of a deployment's store."""

    configuration_key: str
    target_prefix: str

    def read_configuration(
        self, document: bytes
    ) -> Result[RoutingTable, DocumentInvalid]:
        """Read the operators' configuration."""

    def read_target(self, key: str, document: bytes) -> Result[Target, DocumentInvalid]:
        """Read the entry of a target."""


class Membership:
    """
    Applies changes of the store to what this gateway believes.

    Guards that a target that leaves gets no more work, and that one whose entry
    lapsed in an outage is only given up once it had the time to return.
    """

    def __init__(
        self,
        tables: RoutingTables,
        fleet: Fleet,
        age: ConfigurationAge,
        documents: Documents,
        settings: StoreSettings,
        timers: Timers,
        log: Log,
    ) -> None:
        """
        Start without knowledge.

        :param tables: take the configuration.
        :param fleet: takes targets.
        :param age: of the configuration in force.
        :param documents: reads the store's documents.
        :param settings: how long lapsed entries take to return.
        :param timers: the timer service.
        :param log: where events go.
        """
        self._tables = tables
        self._fleet = fleet
        self._age = age
        self._ended = EndedTargets()
        self._epoch = 0
        self._documents = documents
        self._settings = settings
        self._timers = timers
        self._log = log
        # Digests of entries that cannot be read, so that each is logged once.
        self._unreadable_by_id: dict[str, int] = {}
        self.gateways_by_name: dict[str, GatewayEntry] = {}
        self.is_known = False
        self.on_changed: Callable[[], None] = lambda: None
        self.on_first_read: Callable[[], None] = lambda: None
        self.on_leader: Callable[[Change], None] = lambda change: None
        self.on_gone: Callable[[str], None] = lambda target_id: None
        self.on_life_ended: Callable[[Target, str], None] = lambda target, sign: None
        self.on_suspects: Callable[[Change], None] = lambda change: None
        self.on_usage: Callable[[Change], None] = lambda change: None

    def address_of(self, gateway: str) -> str | None:
        """Tell where a gateway takes datagrams; ``None`` if it is not listed."""
        entry = self.gateways_by_name.get(gateway)
        return entry.address if entry is not None else None

    def key_changed(self, change: Change) -> None:
        """Take one change of a key."""
        self._epoch = epoch_of(change.revision)
        if change.key == self._documents.configuration_key:
            if change.value is not None:
                self._configuration_changed(change.value)
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

    def changes_told(self) -> None:
        """Let others act on what has changed."""
        self.on_changed()

    def keys_read(self, keys: frozenset[str], asked_at: float, epoch: int) -> None:
        """Learn that all keys were read."""
        self._epoch = epoch
        self._expect_gateways_again()
        if self._documents.configuration_key in keys:
            self._age.proven(asked_at, epoch)
        prefix = self._documents.target_prefix
        listed = {key.removeprefix(prefix) for key in keys if key.startswith(prefix)}
        for target_id in list(self._fleet.targets_by_id):
            if target_id not in listed:
                self._target_missing(target_id)
        for target_id in self._unreadable_by_id.keys() - listed:
            del self._unreadable_by_id[target_id]
        for name in list(self.gateways_by_name):
            if GATEWAY_PREFIX + name not in keys:
                del self.gateways_by_name[name]
        if LEADER_KEY not in keys:
            self.on_leader(Change(LEADER_KEY, None, 0))
        is_first = not self.is_known
        self.is_known = True
        if is_first:
            self.on_first_read()

    def _configuration_changed(self, document: bytes) -> None:
        found = self._documents.read_configuration(document)
        if isinstance(found, Err):
            detail = str(found.err_value)
            self._log.write(LogEvent.CONFIGURATION_UNREADABLE, detail=detail)
            self._age.read(is_readable=False)
            return
        self._age.read(is_readable=True)
        table = found.ok_value
        before = self._tables.table
        if not self._tables.offer(table):
            return
        models = {name: item.engine for name, item in table.services_by_name.items()}
        self._fleet.set_models(models)
        self._log.write(
            LogEvent.CONFIGURATION_ADOPTED,
            version=table.version,
            before=before.version if before else 0,
            routes=len(table.routes_by_name),
        )

    def _target_changed(self, change: Change) -> None:
        target_id = change.key.removeprefix(self._documents.target_prefix)
        if change.value is None:
            self._unreadable_by_id.pop(target_id, None)
            self._target_gone(target_id, "removed")
            return
        found = self._documents.read_target(change.key, change.value)
        if isinstance(found, Err):
            self._target_unreadable(target_id, change.value, str(found.err_value))
            return
        self._unreadable_by_id.pop(target_id, None)
        target = found.ok_value
        known = self._fleet.targets_by_id.get(target_id)
        is_news = known is None or known.target != target
        before = known.target.born if known is not None else target.born
        is_older = self._ended.is_outdated(target, self._epoch, self._timers.now())
        if target.born < before or is_older:
            self._tell_life(LogEvent.TARGET_OUTDATED, target, before, change)
            return
        self._fleet.put(target)
        if target.is_leaving:
            self._ended.leaving(target, self._epoch)
        if target.born > before:
            self._tell_life(LogEvent.TARGET_RESTARTED, target, before, change)
            self.on_gone(target_id)
            if known is not None:
                self.on_life_ended(known.target, "started again")
        if is_news:
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

    def _tell_life(
        self, event: LogEvent, target: Target, before: int, change: Change
    ) -> None:
        """Log an entry of another life than the one known so far."""
        self._log.write(
            event,
            target=target.target_id,
            born=target.born,
            before=before,
            revision=change.revision,
        )

    def _target_unreadable(self, target_id: str, document: bytes, detail: str) -> None:
        """
        Keep an entry that names no target from use, and say so once for each content.

        A target that was known under this name may write its own entry again.
        """
        digest = xxhash.xxh3_64_intdigest(document)
        if self._unreadable_by_id.get(target_id) != digest:
            self._unreadable_by_id[target_id] = digest
            self._log.write(LogEvent.TARGET_UNREADABLE, target=target_id, detail=detail)
        if target_id in self._fleet.targets_by_id:
            self._target_missing(target_id)

    def _target_missing(self, target_id: str) -> None:
        """Keep a target from work until it is back, or for good."""
        estimate = self._fleet.targets_by_id[target_id]
        if estimate.missing_since is not None:
            return
        now = self._timers.now()
        estimate.missing_since = now
        self._log.write(LogEvent.TARGET_MISSING, target=target_id)
        self._timers.call_later(
            self._settings.return_time, lambda: self._give_up(target_id)
        )

    def _give_up(self, target_id: str) -> None:
        estimate = self._fleet.targets_by_id.get(target_id)
        if estimate is not None and estimate.missing_since is not None:
            self._target_gone(target_id, "missing")
            self.on_changed()

    def _target_gone(self, target_id: str, reason: str) -> None:
        estimate = self._fleet.remove(target_id)
        if estimate is None:
            return
        # Work that still refers to it must not choose it again.
        estimate.missing_since = self._timers.now()
        self._ended.ended(estimate.target, self._epoch, self._timers.now())
        self._log.write(LogEvent.TARGET_GONE, target=target_id, reason=reason)
        self.on_gone(target_id)
        self.on_life_ended(estimate.target, "no longer listed")

    def _gateway_changed(self, change: Change) -> None:
        name = change.key.removeprefix(GATEWAY_PREFIX)
        if change.value is None:
            self._forget_gateway(name)
            return
        entry = read_entry(change.key, change.value, GatewayEntry, self._log)
        if entry is None:
            return
        if self.gateways_by_name.get(name) != entry:
            self._log.write(LogEvent.PEER_LISTED, peer=name, listed=True)
        self.gateways_by_name[name] = entry

    def _forget_gateway(self, name: str) -> None:
        if self.gateways_by_name.pop(name, None) is not None:
            self._log.write(LogEvent.PEER_LISTED, peer=name, listed=False)

    def _expect_gateways_again(self) -> None:
        """
        Forget gateways that list themselves no more after the store was restored.

        The copy may list some whose leases are gone, so that nothing removes them.
        """
        if any(self._is_copied(entry) for entry in self.gateways_by_name.values()):
            self._timers.call_later(self._settings.lease, self._forget_copied_gateways)

    def _is_copied(self, entry: GatewayEntry) -> bool:
        return entry.epoch < self._epoch

    def _forget_copied_gateways(self) -> None:
        for name, entry in list(self.gateways_by_name.items()):
            if self._is_copied(entry):
                self._forget_gateway(name)
        self.on_changed()
