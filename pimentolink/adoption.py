"""Holds the configuration that this process currently uses."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pimentolink.configstore import apply_patch, document_digest
from pimentolink.configuration import AcceptedConfiguration, ServiceConfiguration
from pimentolink.logs import Log, LogEvent


class Adoption:
    """
    Holds the newest accepted configuration that this process has received.

    An accepted configuration is one as stored in the key-value service. The process
    never reverts to an older version: only a higher version replaces the current one,
    whichever peer or store it comes from.

    :ivar accepted: the current configuration; ``None`` if there is none.
    :ivar document: the same configuration as canonical JSON, to which patches are
        applied; empty if there is none.
    """

    def __init__(self, log: Log) -> None:
        """
        Start without a configuration.

        :param log: receives log events.
        """
        self._log = log
        self._subscribers: list[Callable[[], None]] = []
        self.accepted: AcceptedConfiguration | None = None
        self.document = b""

    @property
    def version(self) -> int:
        """Version of the current configuration; 0 if there is none."""
        return self.accepted.version if self.accepted else 0

    def subscribe(self, callback: Callable[[], None]) -> None:
        """
        Register a callback for changes.

        :param callback: called after each change of the current configuration.
        """
        self._subscribers.append(callback)

    def offer(self, document: bytes) -> bool:
        """
        Replace the current configuration if the document's version is higher.

        :param document: an accepted configuration as JSON.
        :returns: whether it was replaced.
        """
        try:
            accepted = msgspec.json.decode(document, type=AcceptedConfiguration)
        except msgspec.DecodeError as error:
            self._log.write(LogEvent.CONFIGURATION_UNREADABLE, detail=str(error))
            return False
        if accepted.version <= self.version:
            return False
        self.accepted = accepted
        self.document = document
        self._log.write(LogEvent.CONFIGURATION_ADOPTED, version=accepted.version)
        for callback in self._subscribers:
            callback()
        return True

    def offer_patch(self, patch: bytes, version: int, digest: str) -> bool:
        """
        Replace the current configuration by applying a patch to it, if possible.

        :param patch: JSON merge patch (RFC 7396) from the previous version.
        :param version: version of the patched document.
        :param digest: digest of the patched document.
        :returns: whether the current version is now ``version`` or a higher one; if
            not, the whole document is needed.
        """
        if version <= self.version:
            return True
        if version != self.version + 1 or not self.document:
            return False
        document = apply_patch(self.document, patch)
        if document_digest(document) != digest:
            return False
        return self.offer(document)

    def service(self, name: str) -> ServiceConfiguration | None:
        """
        Look up a service.

        :param name: the service's name.
        :returns: ``None`` if there is no service of that name.
        """
        if self.accepted is None:
            return None
        return self.accepted.configuration.services.get(name)

    def claim_partitions(self, service: str) -> int:
        """
        Return how many partitions the claims of a service are spread over.

        A claim is a stored record that a call with an idempotency key may run once; a
        partition is the share of a service's claims that one sidecar at a time writes.

        :param service: the service's name.
        :returns: 1 if there is no service of that name.
        """
        found = self.service(service)
        return found.claim_partitions if found is not None else 1
