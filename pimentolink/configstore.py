"""Stores the accepted configuration and its history in the key-value service."""

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


class ConfigurationHead(Struct, frozen=True, kw_only=True):
    """
    Pointer to the accepted configuration.

    Kept small, since every entry watches its key.

    :ivar version: of the accepted configuration.
    :ivar change_id: unique identifier of the change; part of the document's key, and
        lets a writer recognise its own write.
    :ivar patch: difference from the previous version, as a JSON merge patch.
    :ivar digest: of the whole document, to verify the result of the patch.
    """

    version: int
    change_id: str
    patch: msgspec.Raw
    digest: str

    @property
    def document_key(self) -> str:
        """Key under which the whole document is stored."""
        return f"{DOCUMENT_PREFIX}/{self.change_id}"


def document_digest(document: bytes) -> str:
    """
    Compute the digest of a document.

    :param document: encoded by :func:`encode`.
    """
    return xxhash.xxh3_64_hexdigest(document)


def encode(accepted: AcceptedConfiguration) -> bytes:
    """Encode an accepted configuration as canonical JSON with sorted keys."""
    return msgspec.json.encode(accepted, order="sorted")


def apply_patch(document: bytes, patch: bytes) -> bytes:
    """
    Apply a patch to a whole document.

    :param document: encoded by :func:`encode`.
    :param patch: from a :class:`ConfigurationHead`.
    :returns: the patched document, encoded by :func:`encode`.
    :source: RFC 7396, JSON Merge Patch.
    """
    before = msgspec.json.decode(document)
    after = json_merge_patch.merge(before, msgspec.json.decode(patch))
    return encode(msgspec.convert(after, AcceptedConfiguration))


class ConfigurationStore:
    """
    Reads and replaces the accepted configuration.

    A change first stores the whole document under its own key, then swaps the small
    head by compare-and-swap. Of several concurrent changes only one succeeds; the
    others get a conflict that names the accepted one.
    """

    def __init__(self, store: KeyValueStore) -> None:
        """
        Create a store on top of the key-value service.

        :param store: the key-value service.
        """
        self._store = store

    async def read(self) -> AcceptedConfiguration | None:
        """
        Read the accepted configuration.

        :returns: ``None`` if none has been accepted yet.
        :raises KeyValueUnavailable: if the service does not answer.
        """
        head, _ = await self._read_head()
        return await self._read_document(head.change_id) if head is not None else None

    async def history(self, most: int) -> list[AcceptedConfiguration]:
        """
        Read accepted configurations, the newest first.

        :param most: maximum number of versions to return.
        :raises KeyValueUnavailable: if the service does not answer.
        """
        versions: list[AcceptedConfiguration] = []
        accepted = await self.read()
        while accepted is not None and len(versions) < most:
            versions.append(accepted)
            accepted = await self._read_document(accepted.previous)
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
        Replace the accepted configuration.

        :param configuration: a valid configuration.
        :param against: version that it is based on; 0 if there is none yet.
        :param change_id: unique identifier of the change.
        :param author: who applies it.
        :param applied_at: when, as ISO 8601.
        :returns: the accepted configuration; or a conflict with a concurrent change;
            or an error if the service did not answer the write and reading back did
            not show its outcome.
        """
        head, revision = await self._read_head()
        current = (
            await self._read_document(head.change_id) if head is not None else None
        )
        if current is not None and current.version != against:
            return Err(_conflict_error(current))
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
        new_head = _make_head(current, accepted)
        document = encode(accepted)
        await self._store.compare_and_swap(new_head.document_key, document, 0)
        data = msgspec.json.encode(new_head)
        try:
            written = await self._store.compare_and_swap(
                CONFIGURATION_KEY, data, revision
            )
        except KeyValueUnavailable as error:
            return await self._verify_write(accepted, error)
        if written is None:
            return await self._conflict_with_current()
        return Ok(accepted)

    async def _read_head(self) -> tuple[ConfigurationHead | None, int]:
        value = await self._store.get(CONFIGURATION_KEY)
        if value.data is None:
            return None, 0
        return msgspec.json.decode(value.data, type=ConfigurationHead), value.revision

    async def _read_document(self, change_id: str) -> AcceptedConfiguration | None:
        if not change_id:
            return None
        value = await self._store.get(f"{DOCUMENT_PREFIX}/{change_id}")
        if value.data is None:
            return None
        return msgspec.json.decode(value.data, type=AcceptedConfiguration)

    async def _conflict_with_current(
        self,
    ) -> Result[AcceptedConfiguration, ConfigurationConflict | KeyValueUnavailable]:
        winner = await self.read()
        assert winner is not None
        return Err(_conflict_error(winner))

    async def _verify_write(
        self, wanted: AcceptedConfiguration, error: KeyValueUnavailable
    ) -> Result[AcceptedConfiguration, ConfigurationConflict | KeyValueUnavailable]:
        """Read back whether a write that got no answer took effect."""
        try:
            for found in await self.history(wanted.version):
                if found.change_id == wanted.change_id:
                    return Ok(found)
                if found.version == wanted.version:
                    return Err(_conflict_error(found))
        except KeyValueUnavailable as second:
            return Err(second)
        return Err(error)


def _make_head(
    current: AcceptedConfiguration | None, accepted: AcceptedConfiguration
) -> ConfigurationHead:
    before: Any = msgspec.to_builtins(current) if current is not None else {}
    patch = json_merge_patch.create_patch(before, msgspec.to_builtins(accepted))
    return ConfigurationHead(
        version=accepted.version,
        change_id=accepted.change_id,
        patch=msgspec.Raw(msgspec.json.encode(patch)),
        digest=document_digest(encode(accepted)),
    )


def _conflict_error(winner: AcceptedConfiguration) -> ConfigurationConflict:
    return ConfigurationConflict(winner.version, winner.author, winner.change_id)
