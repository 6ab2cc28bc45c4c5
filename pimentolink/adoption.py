"""The configuration that a process acts on."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pimentolink.configstore import digest_of, patched
from pimentolink.configuration import AcceptedConfiguration, ServiceConfiguration
from pimentolink.logs import Log, LogEvent


class Adoption:
    """
    Holds the accepted configuration that is in force here.

    Guards the rule that an accepted configuration never reverts: only a higher
    version replaces the one in force, whoever brings it.
    """

    def __init__(self, log: Log) -> None:
        """
        Start with none in force.

        :param log: where events go.
        """
        self._log = log
        self._subscribers: list[Callable[[], None]] = []
        self.accepted: AcceptedConfiguration | None = None
        self.document = b""

    @property
    def version(self) -> int:
        """Version in force; 0 for none."""
        return self.accepted.version if self.accepted else 0

    def subscribe(self, callback: Callable[[], None]) -> None:
        """
        Ask to be told of changes.

        :param callback: called after each newer configuration came into force.
        """
        self._subscribers.append(callback)

    def offer(self, document: bytes) -> bool:
        """
        Take a document if it is newer.

        :param document: an accepted configuration as JSON.
        :returns: whether it is now in force.
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
        Take a change to the document in force.

        :param patch: JSON merge patch.
        :param version: that it leads to.
        :param digest: of the document that it leads to.
        :returns: whether that version, or a newer one, is now in force; if not, the
            whole document is needed.
        """
        if version <= self.version:
            return True
        if version != self.version + 1 or not self.document:
            return False
        document = patched(self.document, patch)
        if digest_of(document) != digest:
            return False
        return self.offer(document)

    def service(self, name: str) -> ServiceConfiguration | None:
        """
        Look a service up.

        :param name: the service's name.
        :returns: ``None`` if there is none of that name.
        """
        if self.accepted is None:
            return None
        return self.accepted.configuration.services.get(name)

    def claim_partitions(self, service: str) -> int:
        """
        Tell how many partitions the claims of a service are spread over.

        :param service: the service's name.
        """
        found = self.service(service)
        return found.claim_partitions if found is not None else 1
