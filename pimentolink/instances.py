"""The platform's list of live and leaving instances."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

import msgspec
from twisted.internet.defer import Deferred, succeed

from pimentolink.errors import KeyValueUnavailable
from pimentolink.httpclient import Answer, HttpClient
from pimentolink.settings import PlatformSettings, split_address

SIDECAR = "pimentolink-sidecar"
ENTRY = "pimentolink-entry"


class Instance(NamedTuple):
    """
    One process on the list.

    :ivar role: ``SIDECAR`` or ``ENTRY``.
    :ivar target: the sidecar's target; empty for an entry.
    :ivar is_leaving: whether it takes no new work.
    """

    name: str
    role: str
    address: str
    data_centre: str
    target: str
    is_leaving: bool


class InstanceList(Protocol):
    """What the system needs of the list."""

    def read(self, role: str) -> Deferred[list[Instance]]:
        """
        Read the instances of a role; late by the list's lag.

        :raises KeyValueUnavailable: without an answer.
        """

    def register(self, instance: Instance) -> Deferred[None]:
        """Put an instance on the list or change it there."""

    def deregister(self, name: str) -> Deferred[None]:
        """Take an instance off the list."""


class MemoryInstanceList:
    """The list's twin in memory, without lag."""

    def __init__(self) -> None:
        """Start empty."""
        self.instances_by_name: dict[str, Instance] = {}

    def read(self, role: str) -> Deferred[list[Instance]]:
        """Read the instances of a role."""
        instances = self.instances_by_name.values()
        return succeed([item for item in instances if item.role == role])

    def register(self, instance: Instance) -> Deferred[None]:
        """Put an instance on the list or change it there."""
        self.instances_by_name[instance.name] = instance
        return succeed(None)

    def deregister(self, name: str) -> Deferred[None]:
        """Take an instance off the list."""
        self.instances_by_name.pop(name, None)
        return succeed(None)


class _Meta(msgspec.Struct):
    """What the system keeps with a registration."""

    data_centre: str = ""
    target: str = ""
    leaving: str = "no"


class _CatalogService(
    msgspec.Struct,
    rename={
        "name": "ServiceID",
        "address": "ServiceAddress",
        "port": "ServicePort",
        "meta": "ServiceMeta",
    },
):
    """One element of the list's answer."""

    name: str
    address: str
    port: int
    meta: _Meta


class HttpInstanceList:
    """
    The list over its HTTP interface.

    :source: Consul catalogue and agent HTTP API.
    """

    def __init__(self, reactor: Any, settings: PlatformSettings) -> None:
        """
        Prepare calls; none is made yet.

        :param reactor: the loop.
        :param settings: address and patience.
        """
        self._settings = settings
        self._client = HttpClient(reactor, settings.timeout)

    def read(self, role: str) -> Deferred[list[Instance]]:
        """Read the instances of a role."""
        return Deferred.fromCoroutine(self._read(role))

    def register(self, instance: Instance) -> Deferred[None]:
        """Put an instance on the list or change it there."""
        host, port = split_address(instance.address)
        body = {
            "ID": instance.name,
            "Name": instance.role,
            "Address": host,
            "Port": port,
            "Meta": {
                "data_centre": instance.data_centre,
                "target": instance.target,
                "leaving": "yes" if instance.is_leaving else "no",
            },
        }
        path = "/v1/agent/service/register"
        return Deferred.fromCoroutine(self._write(path, msgspec.json.encode(body)))

    def deregister(self, name: str) -> Deferred[None]:
        """Take an instance off the list."""
        path = f"/v1/agent/service/deregister/{name}"
        return Deferred.fromCoroutine(self._write(path, b""))

    def close(self) -> Deferred[None]:
        """Close idle connections."""
        return self._client.close()

    async def _read(self, role: str) -> list[Instance]:
        answer = await self._call("GET", f"/v1/catalog/service/{role}", b"")
        services = msgspec.json.decode(answer.body, type=list[_CatalogService])
        return [_instance_of(service, role) for service in services]

    async def _write(self, path: str, body: bytes) -> None:
        await self._call("PUT", path, body)

    async def _call(self, method: str, path: str, body: bytes) -> Answer:
        url = f"http://{self._settings.instance_list}{path}"
        patience = self._settings.timeout
        try:
            answer = await self._client.request(method, url, body, patience=patience)
        except Exception as error:
            raise KeyValueUnavailable(f"{type(error).__name__}: {error}") from error
        if answer.status != 200:
            raise KeyValueUnavailable(f"status {answer.status}")
        return answer


def _instance_of(service: _CatalogService, role: str) -> Instance:
    return Instance(
        name=service.name,
        role=role,
        address=f"{service.address}:{service.port}",
        data_centre=service.meta.data_centre,
        target=service.meta.target,
        is_leaving=service.meta.leaving == "yes",
    )
