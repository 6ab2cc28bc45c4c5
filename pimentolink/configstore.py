"""The accepted configuration and its history in the key-value service."""

from __future__ import annotations

from typing import Any

import json_merge_patch
import msgspec
import xxhash
from msgspec import Struct
from result import Err, Ok, Result

from pimentolink.configuration import AcceptedConfiguration, Configuration
from pimentolink.errors import ConfigurationConflict, KeyValueUnavailable
from pimentolink.kvstore import KeyValueStore

CONFIGURATION_KEY = "pimentolink/configuration"
DOCUMENT_PREFIX = "pimentolink/configurations"


class Head(Struct, frozen=True, kw_only=True):
    """
    What says which configuration is accepted; small, since every entry watches it.

    :ivar version: of the accepted configuration.
    :ivar change_id: names the stored document and recognises its writer.
    :ivar patch: what changed since the version before, as JSON merge patch.
    :ivar digest: of the whole document, to tell whether the patch led to it.
    """

    version: int
    change_id: str
    patch: msgspec.Raw
    digest: str

    @property
    def document_key(self) -> str:
        """Key of the whole document."""
        return f"{DOCUMENT_PREFIX}/{self.change_id}"


def digest_of(document: bytes) -> str:
    """
    Digest a document.

    :param document: as :func:`encode` wrote it.
    """
    return xxhash.xxh3_64_hexdigest(document)


def encode(accepted: AcceptedConfiguration) -> bytes:
    """Write an accepted configuration; the same one always in the same bytes."""
    return msgspec.json.encode(accepted, order="sorted")


def patched(document: bytes, patch: bytes) -> bytes:
    """
    Apply a patch to a whole document.

    :param document: as :func:`encode` wrote it.
    :param patch: of a :class:`Head`.
    :returns: the document that follows it.
    :source: RFC 7396, JSON Merge Patch.
    """
    before = msgspec.json.decode(document)
    after = json_merge_patch.merge(before, msgspec.json.decode(patch))
    return encode(msgspec.convert(after, AcceptedConfiguration))


class ConfigurationStore:
    """
    Reads and replaces the accepted configuration.

    The whole document is stored first, under a key of its own; a change is one
    compare-and-swap of the small head, so of operators who race only one wins and the
    others are told against what.
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
        head, _ = await self._head()
        return await self._document(head.change_id) if head is not None else None

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
            accepted = await self._document(accepted.previous)
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
        head, revision = await self._head()
        current = await self._document(head.change_id) if head is not None else None
        if current is not None and current.version != against:
            return Err(_conflict(current))
        if current is None and against != 0:
            return Err(ConfigurationConflict(0, "nobody", "none"))
        accepted = AcceptedConfiguration(
            version=against + 1,
            change_id=change_id,
            previous=current.change_id if current is not None else "",
            author=author,
            applied_at=applied_at,
            configuration=configuration,
        )
        new_head = _head_of(current, accepted)
        document = encode(accepted)
        await self._store.compare_and_swap(new_head.document_key, document, 0)
        data = msgspec.json.encode(new_head)
        try:
            written = await self._store.compare_and_swap(
                CONFIGURATION_KEY, data, revision
            )
        except KeyValueUnavailable as error:
            return await self._find_own_change(accepted, error)
        if written is None:
            return await self._lost_against()
        return Ok(accepted)

    async def _head(self) -> tuple[Head | None, int]:
        value = await self._store.get(CONFIGURATION_KEY)
        if value.data is None:
            return None, 0
        return msgspec.json.decode(value.data, type=Head), value.revision

    async def _document(self, change_id: str) -> AcceptedConfiguration | None:
        if not change_id:
            return None
        value = await self._store.get(f"{DOCUMENT_PREFIX}/{change_id}")
        if value.data is None:
            return None
        return msgspec.json.decode(value.data, type=AcceptedConfiguration)

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


def _head_of(
    current: AcceptedConfiguration | None, accepted: AcceptedConfiguration
) -> Head:
    before: Any = msgspec.to_builtins(current) if current is not None else {}
    patch = json_merge_patch.create_patch(before, msgspec.to_builtins(accepted))
    return Head(
        version=accepted.version,
        change_id=accepted.change_id,
        patch=msgspec.Raw(msgspec.json.encode(patch)),
        digest=digest_of(encode(accepted)),
    )


def _conflict(winner: AcceptedConfiguration) -> ConfigurationConflict:
    return ConfigurationConflict(winner.version, winner.author, winner.change_id)
