"""Index of the targets that probably have a prompt's prefix in their caches."""

from __future__ import annotations

from collections import OrderedDict

from pimentolink.completions import PREFIX_TOKENS
from pimentolink.request import Request


class PrefixIndex:
    """
    Records which targets have prefilled which prompt prefixes.

    The number of prefixes is bounded; the least recently prefilled ones are dropped.

    What an engine's cache still contains is only estimated from these records.
    """

    def __init__(self, max_prefixes: int) -> None:
        """
        Start empty.

        :param max_prefixes: maximum number of prefixes to keep.
        """
        self._max_prefixes = max_prefixes
        self._targets_by_prefix: OrderedDict[int, set[str]] = OrderedDict()

    def record_prefill(self, request: Request, target_id: str) -> None:
        """Record that a target has prefilled a request's prompt."""
        for prefix in request.prefixes:
            targets = self._targets_by_prefix.setdefault(prefix, set())
            targets.add(target_id)
            self._targets_by_prefix.move_to_end(prefix)
        while len(self._targets_by_prefix) > self._max_prefixes:
            self._targets_by_prefix.popitem(last=False)

    def expected_cached_tokens(self, request: Request, target_id: str) -> int:
        """
        Estimate how much of a prompt is in a target's cache.

        :returns: prompt tokens.
        """
        cached_tokens = 0
        for prefix, tokens in zip(request.prefixes, PREFIX_TOKENS, strict=False):
            if target_id not in self._targets_by_prefix.get(prefix, ()):
                break
            cached_tokens = tokens
        return cached_tokens

    def holders(self, request: Request) -> set[str]:
        """Return the names of the targets that prefilled the longest known prefix."""
        for prefix in reversed(request.prefixes):
            targets = self._targets_by_prefix.get(prefix)
            if targets:
                return targets
        return set()
