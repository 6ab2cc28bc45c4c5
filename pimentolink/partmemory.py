"""What one engine's memory probably holds of prompts."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from pimentolink.dialect import PromptPart


class PartMemory:
    """
    Follows the parts of prompts that an engine read, least recently used out first.

    It is a guess from what was sent there: the engine's own order of use may differ.
    """

    def __init__(self, most_tokens: int) -> None:
        """
        Start empty.

        :param most_tokens: that the engine's memory holds.
        """
        self._most_tokens = most_tokens
        self._tokens_by_part: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    def note(self, parts: Iterable[PromptPart]) -> None:
        """Remember that parts were used there just now."""
        for part in parts:
            self._tokens += part.tokens - self._tokens_by_part.pop(part.part_id, 0)
            self._tokens_by_part[part.part_id] = part.tokens
        while self._tokens > self._most_tokens and self._tokens_by_part:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._tokens -= tokens

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
        self._tokens_by_part.clear()
        self._tokens = 0
