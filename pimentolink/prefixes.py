"""Which targets probably hold which beginnings of prompts in their caches."""

from __future__ import annotations

from collections import OrderedDict

from pimentolink.completions import PREFIX_TOKENS
from pimentolink.request import Request


class PrefixMemory:
    """
    Remembers which targets read which beginnings of prompts, bounded.

    What an engine's cache still holds is only guessed from it.
    """

    def __init__(self, most: int) -> None:
        """
        Start empty.

        :param most: beginnings kept.
        """
        self._most = most
        self._targets_by_prefix: OrderedDict[int, set[str]] = OrderedDict()

    def note(self, request: Request, target_id: str) -> None:
        """Remember that a target read a request's prompt."""
        for prefix in request.prefixes:
            targets = self._targets_by_prefix.setdefault(prefix, set())
            targets.add(target_id)
            self._targets_by_prefix.move_to_end(prefix)
        while len(self._targets_by_prefix) > self._most:
            self._targets_by_prefix.popitem(last=False)

    def expected_tokens(self, request: Request, target_id: str) -> int:
        """
        Guess how much of a prompt a target holds.

        :returns: tokens.
        """
        held = 0
        for prefix, tokens in zip(request.prefixes, PREFIX_TOKENS, strict=False):
            if target_id not in self._targets_by_prefix.get(prefix, ()):
                break
            held = tokens
        return held

    def holders(self, request: Request) -> set[str]:
        """Name the targets that read the longest known beginning of a prompt."""
        for prefix in reversed(request.prefixes):
            targets = self._targets_by_prefix.get(prefix)
            if targets:
                return targets
        return set()
