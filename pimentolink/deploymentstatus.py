"""Reads the status of a deployment from the store."""

from __future__ import annotations

from typing import NamedTuple, TypeVar

from result import Err

from pimentolink.jsondocument import read_json
from pimentolink.keyspace import Item, Snapshot
from pimentolink.leadership import LEADER_KEY, Leader
from pimentolink.membership import DocumentReader
from pimentolink.registration import GATEWAY_PREFIX, GatewayEntry
from pimentolink.suspectstore import SUSPECT_PREFIX, StoredSuspects, SuspectDocument
from pimentolink.targetestimate import Target

Read = TypeVar("Read")


class ListedGateway(NamedTuple):
    """
    A gateway that is registered in the store.

    :ivar address: where it receives datagrams of other gateways.
    :ivar life: identity of its process.
    """

    name: str
    address: str
    life: str


class ListedSuspect(NamedTuple):
    """
    A request that gateways hold back because it may crash targets.

    :ivar fingerprint: fingerprint by which log lines name the request.
    :ivar crashes: number of targets that crashed while it was running there.
    """

    fingerprint: str
    crashes: int


class DeploymentStatus(NamedTuple):
    """
    Status of a deployment.

    :ivar revision: revision of the store.
    :ivar version: version of the configuration; 0 before the first one.
    :ivar routes: number of routes in the configuration.
    :ivar targets: registered targets.
    :ivar gateways: registered gateways.
    :ivar leader: instance of the gateway that leads and may order engines to change
        roles; empty if none does.
    :ivar suspects: requests suspected of crashing targets, most crashes first.
    :ivar unreadable: keys whose documents are invalid, each with the error.
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
    """Collects the status from the documents of a store."""

    def __init__(self, documents: DocumentReader) -> None:
        """
        Create a reader for one snapshot.

        :param documents: decodes the documents of operators and targets.
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
        """Derive the status from all keys of a store."""
        for item in snapshot.items:
            self._read_item(item)
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

    def _read_item(self, item: Item) -> None:
        if item.key == self._documents.configuration_key:
            self._read_configuration(item)
        elif item.key.startswith(self._documents.target_prefix):
            self._read_target(item)
        elif item.key.startswith(GATEWAY_PREFIX) or item.key == LEADER_KEY:
            self._read_gateway_key(item)
        elif item.key.startswith(SUSPECT_PREFIX):
            document = self._decode(item, SuspectDocument)
            if document is not None:
                self._suspects.add(document)

    def _read_configuration(self, item: Item) -> None:
        found = self._documents.read_configuration(item.value)
        if isinstance(found, Err):
            self._unreadable.append(f"{item.key}: {found.err_value}")
            return
        self._version = found.ok_value.version
        self._routes = len(found.ok_value.routes_by_name)

    def _read_target(self, item: Item) -> None:
        found = self._documents.read_target(item.key, item.value)
        if isinstance(found, Err):
            self._unreadable.append(f"{item.key}: {found.err_value}")
            return
        self._targets.append(found.ok_value)

    def _read_gateway_key(self, item: Item) -> None:
        if item.key == LEADER_KEY:
            leader = self._decode(item, Leader)
            self._leader = leader.instance if leader is not None else ""
            return
        entry = self._decode(item, GatewayEntry)
        if entry is not None:
            name = item.key.removeprefix(GATEWAY_PREFIX)
            self._gateways.append(ListedGateway(name, entry.address, entry.life))

    def _decode(self, item: Item, kind: type[Read]) -> Read | None:
        found = read_json(item.value, kind)
        if isinstance(found, Err):
            self._unreadable.append(f"{item.key}: {found.err_value.detail}")
            return None
        return found.ok_value
