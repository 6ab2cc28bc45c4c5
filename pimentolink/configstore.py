"""The accepted configuration and its history in the key-value service."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from pimentolink.configuration import AcceptedConfiguration, Configuration
from pimentolink.errors import ConfigurationConflict, KeyValueUnavailable
from pimentolink.kvstore import KeyValueStore

CONFIGURATION_KEY = "pimentolink/configuration"
HISTORY_PREFIX = "pimentolink/configuration-history"


class ConfigurationStore:
    """
    Reads and replaces the accepted configuration.

    A change is one compare-and-swap from the version that it was made against, so of
    operators who race only one wins and the others are told against what.
    """

    def __init__(self, store: KeyValueStore) -> None:
        """
        Bind.

        :param store: the key-value service.
        """
        self._store = store

    async def read(self) -> AcceptedConfiguration | None:
        """
        Read what is accepted now.

        :returns: ``None`` if nothing has been yet.
        :raises KeyValueUnavailable: without an answer.
        """
        value = await self._store.get(CONFIGURATION_KEY)
        return _decode(value.data)

    async def history(self, most: int) -> list[AcceptedConfiguration]:
        """
        Read accepted configurations, the newest first.

        :param most: at most so many.
        :raises KeyValueUnavailable: without an answer.
        """
        versions: list[AcceptedConfiguration] = []
        accepted = await self.read()
        while accepted is not None and len(versions) < most:
            versions.append(accepted)
            key = f"{HISTORY_PREFIX}/{accepted.version - 1}"
            accepted = _decode((await self._store.get(key)).data)
        return versions

    async def replace(
        self,
        configuration: Configuration,
        against: int,
        change_id: str,
        author: str,
        applied_at: str,
    ) -> Result[AcceptedConfiguration, ConfigurationConflict | KeyValueUnavailable]:
        """
        Put a configuration into force.

        :param configuration: checked.
        :param against: version it was made against; 0 for none.
        :param change_id: unique identity of the change.
        :param author: who applies it.
        :param applied_at: when, as ISO 8601.
        :returns: what was accepted; or who came first; or that the service gave no
            answer and could not be asked what became of the write.
        """
        value = await self._store.get(CONFIGURATION_KEY)
        current = _decode(value.data)
        if current is not None and current.version != against:
            return Err(_conflict(current))
        if current is None and against != 0:
            return Err(ConfigurationConflict(0, "nobody", "none"))
        if current is not None and value.data is not None:
            await self._keep(current.version, value.data)
        accepted = AcceptedConfiguration(
            version=against + 1,
            change_id=change_id,
            author=author,
            applied_at=applied_at,
            configuration=configuration,
        )
        data = msgspec.json.encode(accepted)
        try:
            revision = await self._store.compare_and_swap(
                CONFIGURATION_KEY, data, value.revision
            )
        except KeyValueUnavailable as error:
            return await self._find_own_change(accepted, error)
        if revision is None:
            return await self._lost_against()
        return Ok(accepted)

    async def _keep(self, version: int, data: bytes) -> None:
        key = f"{HISTORY_PREFIX}/{version}"
        await self._store.compare_and_swap(key, data, 0)

    async def _lost_against(
        self,
    ) -> Result[AcceptedConfiguration, ConfigurationConflict | KeyValueUnavailable]:
        winner = await self.read()
        assert winner is not None
        return Err(_conflict(winner))

    async def _find_own_change(
        self, wanted: AcceptedConfiguration, error: KeyValueUnavailable
    ) -> Result[AcceptedConfiguration, ConfigurationConflict | KeyValueUnavailable]:
        """Read back whether a write without an answer took effect."""
        try:
            for found in await self.history(wanted.version):
                if found.change_id == wanted.change_id:
                    return Ok(found)
                if found.version == wanted.version:
                    return Err(_conflict(found))
        except KeyValueUnavailable as second:
            return Err(second)
        return Err(error)


def _conflict(winner: AcceptedConfiguration) -> ConfigurationConflict:
    return ConfigurationConflict(winner.version, winner.author, winner.change_id)


def _decode(data: bytes | None) -> AcceptedConfiguration | None:
    if data is None:
        return None
    return msgspec.json.decode(data, type=AcceptedConfiguration)
