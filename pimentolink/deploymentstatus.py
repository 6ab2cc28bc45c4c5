"""What the store tells of a deployment that gateways serve."""

from __future__ import annotations

from typing import NamedTuple, TypeVar

from result import Err

from pimentolink.jsondocument import read_json
from pimentolink.keyspace import Item, Snapshot
from pimentolink.leadership import LEADER_KEY, Leader
from pimentolink.membership import Documents
from pimentolink.registration import GATEWAY_PREFIX, GatewayEntry
from pimentolink.suspectstore import SUSPECT_PREFIX, StoredSuspects, SuspectDocument
from pimentolink.targetestimate import Target

Read = TypeVar("Read")


class ListedGateway(NamedTuple):
    """
    A gateway as the store lists it.

    :ivar address: for datagrams of the others.
    :ivar life: of its process.
    """

    name: str
    address: str
    life: str


class ListedSuspect(NamedTuple):
    """
    A request that gateways hold back.

    :ivar fingerprint: as their log lines name it.
    :ivar crashes: of targets where it was under way.
    """

    fingerprint: str
    crashes: int


class DeploymentStatus(NamedTuple):
    """
    How a deployment stands.

    :ivar revision: of the store.
    :ivar version: of the configuration; 0 before the first one.
    :ivar routes: that it has.
    :ivar leader: instance that may give orders to engines; empty if none may.
    :ivar suspects: requests that may crash targets, the worst first.
    :ivar unreadable: keys whose documents have faults, with the fault.
    """

    revision: int
    version: int
    routes: int
    targets: list[Target]
    gateways: list[ListedGateway]
    leader: str
    suspects: list[ListedSuspect]
    unreadable: list[str]


class StatusReader:
    """Reads the documents of a store one after the other."""

    def __init__(self, documents: Documents) -> None:
        """
        Start with nothing read.

        :param documents: reads operators' and targets' documents.
        """
        self._documents = documents
        self._version = 0
        self._routes = 0
        self._targets: list[Target] = []
        self._gateways: list[ListedGateway] = []
        self._leader = ""
        self._suspects = StoredSuspects()
        self._unreadable: list[str] = []

    def read(self, snapshot: Snapshot) -> DeploymentStatus:
        """Read all keys of a store."""
        for item in snapshot.items:
            self._take(item)
        return DeploymentStatus(
            snapshot.revision,
            self._version,
            self._routes,
            self._targets,
            self._gateways,
            self._leader,
            self._listed_suspects(),
            self._unreadable,
        )

    def _listed_suspects(self) -> list[ListedSuspect]:
        crashes = self._suspects.crashes_by_fingerprint()
        listed = [ListedSuspect(name, len(keys)) for name, keys in crashes.items()]
        return sorted(listed, key=lambda item: -item.crashes)

    def _take(self, item: Item) -> None:
        if item.key == self._documents.configuration_key:
            self._take_configuration(item)
        elif item.key.startswith(self._documents.target_prefix):
            self._take_target(item)
        elif item.key.startswith(GATEWAY_PREFIX) or item.key == LEADER_KEY:
            self._take_own(item)
        elif item.key.startswith(SUSPECT_PREFIX):
            document = self._readable(item, SuspectDocument)
            if document is not None:
                self._suspects.take(document)

    def _take_configuration(self, item: Item) -> None:
        found = self._documents.read_configuration(item.value)
        if isinstance(found, Err):
            self._unreadable.append(f"{item.key}: {found.err_value}")
            return
        self._version = found.ok_value.version
        self._routes = len(found.ok_value.routes_by_name)

    def _take_target(self, item: Item) -> None:
        found = self._documents.read_target(item.key, item.value)
        if isinstance(found, Err):
            self._unreadable.append(f"{item.key}: {found.err_value}")
            return
        self._targets.append(found.ok_value)

    def _take_own(self, item: Item) -> None:
        if item.key == LEADER_KEY:
            holder = self._readable(item, Leader)
            self._leader = holder.instance if holder is not None else ""
            return
        entry = self._readable(item, GatewayEntry)
        if entry is not None:
            name = item.key.removeprefix(GATEWAY_PREFIX)
            self._gateways.append(ListedGateway(name, entry.address, entry.life))

    def _readable(self, item: Item, kind: type[Read]) -> Read | None:
        found = read_json(item.value, kind)
        if isinstance(found, Err):
            self._unreadable.append(f"{item.key}: {found.err_value.detail}")
            return None
        return found.ok_value
