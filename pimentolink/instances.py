"""Clients of the platform's list of registered instances."""

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
    A registered process.

    :ivar role: ``SIDECAR`` or ``ENTRY``.
    :ivar target: the sidecar's target; empty for an entry.
    :ivar is_leaving: whether it is shutting down and takes no new work.
    """

    name: str
    role: str
    address: str
    data_centre: str
    target: str
    is_leaving: bool


class InstanceList(Protocol):
    """Interface of the instance list."""

    def read(self, role: str) -> Deferred[list[Instance]]:
        """
        Read the instances of a role; the result may be stale by the list's lag.

        :raises KeyValueUnavailable: if the list does not answer.
        """

    def register(self, instance: Instance) -> Deferred[None]:
        """Register an instance or update its registration."""

    def deregister(self, name: str) -> Deferred[None]:
        """Remove an instance from the list."""


class MemoryInstanceList:
    """In-memory implementation without lag."""

    def __init__(self) -> None:
        """Create an empty list."""
        self.instances_by_name: dict[str, Instance] = {}

    def read(self, role: str) -> Deferred[list[Instance]]:
        """Read the instances of a role."""
        instances = self.instances_by_name.values()
        return succeed([item for item in instances if item.role == role])

    def register(self, instance: Instance) -> Deferred[None]:
        """Register an instance or update its registration."""
        self.instances_by_name[instance.name] = instance
        return succeed(None)

    def deregister(self, name: str) -> Deferred[None]:
        """Remove an instance from the list."""
        self.instances_by_name.pop(name, None)
        return succeed(None)


class _RegistrationMeta(msgspec.Struct):
    """Metadata that is stored with a registration."""

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
    """One element of the response to a read."""

    name: str
    address: str
    port: int
    meta: _RegistrationMeta


class HttpInstanceList:
    """
    Client of the list's HTTP interface.

    :source: Consul catalogue and agent HTTP API.
    """

    def __init__(self, reactor: Any, settings: PlatformSettings) -> None:
        """
        Create a client; no request is sent yet.

        :param reactor: the Twisted reactor.
        :param settings: address and timeout.
        """
        self._settings = settings
        self._client = HttpClient(reactor, settings.timeout)

    def read(self, role: str) -> Deferred[list[Instance]]:
        """Read the instances of a role."""
        return Deferred.fromCoroutine(self._read(role))

    def register(self, instance: Instance) -> Deferred[None]:
        """Register an instance or update its registration."""
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
        """Remove an instance from the list."""
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
