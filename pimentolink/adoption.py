"""Holds the configuration that a process acts on."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pimentolink.configstore import apply_patch, document_digest
from pimentolink.configuration import AcceptedConfiguration, ServiceConfiguration
from pimentolink.logs import Log, LogEvent


class Adoption:
    """
    Holds the accepted configuration that is in force in this process.

    Ensures that the configuration never reverts to an older version: only a higher
    version replaces the one in force, whichever peer or store it comes from.
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
        """Version in force; 0 if there is none."""
        return self.accepted.version if self.accepted else 0

    def subscribe(self, callback: Callable[[], None]) -> None:
        """
        Register a callback for changes.

        :param callback: called after each change of the configuration in force.
        """
        self._subscribers.append(callback)

    def offer(self, document: bytes) -> bool:
        """
        Put a document into force if its version is newer.

        :param document: an accepted configuration as JSON.
        :returns: whether it was put into force.
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
        Apply a patch to the document in force.

        :param patch: JSON merge patch.
        :param version: version of the patched document.
        :param digest: digest of the patched document.
        :returns: whether that version, or a newer one, is now in force; if not, the
            whole document is needed.
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

        :param service: the service's name.
        """
        found = self.service(service)
        return found.claim_partitions if found is not None else 1
