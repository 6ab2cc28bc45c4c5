"""Estimates which prompt parts are in the prefix caches of engines."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from pimentolink.dialect import PromptPart


class PrefixCacheIndex:
    """Index of the engines that probably have a prompt part cached."""

    def __init__(self) -> None:
        """Create an empty index."""
        self._owners_by_part: dict[int, dict[str, None]] = {}

    def add(self, part_id: int, owner: str) -> None:
        """Record that an engine has a part cached."""
        self._owners_by_part.setdefault(part_id, {})[owner] = None

    def discard(self, part_id: int, owner: str) -> None:
        """Record that an engine no longer has a part cached."""
        owners = self._owners_by_part.get(part_id)
        if owners is None:
            return
        owners.pop(owner, None)
        if not owners:
            del self._owners_by_part[part_id]

    def owners(self, parts: tuple[PromptPart, ...], limit: int) -> list[str]:
        """
        List engines that have parts of a prompt cached, longest prefix first.

        :param parts: parts of the prompt, in order.
        :param limit: maximum number of engines to return.
        """
        found: dict[str, None] = {}
        for part in reversed(parts):
            for owner in self._owners_by_part.get(part.part_id, ()):
                found[owner] = None
                if len(found) == limit:
                    return list(found)
        return list(found)


class PrefixCacheEstimate:
    """
    Simulates the prefix cache of an engine with least-recently-used eviction.

    The estimate is based on the prompts sent to the engine; the engine's own eviction
    order may differ.
    """

    def __init__(self, owner: str, index: PrefixCacheIndex | None = None) -> None:
        """
        Create an empty cache with a capacity of 0.

        :param owner: identifies the engine in the index.
        :param index: updated as parts are added and evicted.
        :ivar capacity_tokens: capacity of the engine's prefix cache in tokens.
        """
        self._owner = owner
        self._index = index
        self.capacity_tokens = 0
        self._tokens_by_part: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    def record_use(self, parts: Iterable[PromptPart]) -> None:
        """Mark parts as most recently used, evicting others beyond the capacity."""
        for part in parts:
            self._tokens += part.tokens - self._tokens_by_part.pop(part.part_id, 0)
            self._tokens_by_part[part.part_id] = part.tokens
            if self._index is not None:
                self._index.add(part.part_id, self._owner)
        while self._tokens > self.capacity_tokens and self._tokens_by_part:
            part_id, tokens = self._tokens_by_part.popitem(last=False)
            self._tokens -= tokens
            if self._index is not None:
                self._index.discard(part_id, self._owner)

    def cached_tokens(self, parts: Iterable[PromptPart]) -> int:
        """
        Return the number of tokens of a prompt that need not be computed again.

        A part can be reused only if all parts before it are cached too.
        """
        cached = 0
        for part in parts:
            if part.part_id not in self._tokens_by_part:
                break
            cached += part.tokens
        return cached

    def clear(self) -> None:
        """Empty the cache, as after a restart of the engine."""
        if self._index is not None:
            for part_id in self._tokens_by_part:
                self._index.discard(part_id, self._owner)
        self._tokens_by_part.clear()
        self._tokens = 0
