"""What one engine's memory probably holds of prompts."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from pimentolink.dialect import PromptPart


class PrefixCacheIndex:
    """Tells which engines probably hold a part."""

    def __init__(self) -> None:
        """Start empty."""
        self._owners_by_part: dict[int, dict[str, None]] = {}

    def add(self, part_id: int, owner: str) -> None:
        """Learn that an engine holds a part."""
        self._owners_by_part.setdefault(part_id, {})[owner] = None

    def discard(self, part_id: int, owner: str) -> None:
        """Learn that it does not any more."""
        owners = self._owners_by_part.get(part_id)
        if owners is None:
            return
        owners.pop(owner, None)
        if not owners:
            del self._owners_by_part[part_id]

    def owners(self, parts: tuple[PromptPart, ...], most: int) -> list[str]:
        """
        List engines that hold some of a prompt, those with the most of it first.

        :param parts: of the prompt, in order.
        :param most: engines listed.
        """
        found: dict[str, None] = {}
        for part in reversed(parts):
            for owner in self._owners_by_part.get(part.part_id, ()):
                found[owner] = None
                if len(found) == most:
                    return list(found)
        return list(found)


class PrefixCacheEstimate:
    """
    Follows the parts of prompts that an engine read, least recently used out first.

    It is a guess from what was sent there: the engine's own order of use may differ.
    """

    def __init__(self, owner: str, index: PrefixCacheIndex | None = None) -> None:
        """
        Start empty, with room for nothing.

        :param owner: the engine.
        :param index: learns what it holds.
        :ivar capacity_tokens: that the engine's memory holds.
        """
        self._owner = owner
        self._index = index
        self.capacity_tokens = 0
        self._tokens_by_part: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    def note(self, parts: Iterable[PromptPart]) -> None:
        """Remember that parts were used there just now."""
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

    def held_tokens(self, parts: Iterable[PromptPart]) -> int:
        """
        Count the tokens of a prompt that need not be read again.

        A part only helps if all parts before it are held too.
        """
        held = 0
        for part in parts:
            if part.part_id not in self._tokens_by_part:
                break
            held += part.tokens
        return held

    def forget(self) -> None:
        """Start anew, as the engine did."""
        if self._index is not None:
            for part_id in self._tokens_by_part:
                self._index.discard(part_id, self._owner)
        self._tokens_by_part.clear()
        self._tokens = 0
