"""A caller's request and how far its answer has come."""

from __future__ import annotations

from typing import NamedTuple

from result import Err, Ok, Result

from pimentolink.errors import CrossedAnswer


class Request(NamedTuple):
    """
    A request as accepted.

    :ivar request_id: unique, minted by the entry.
    :ivar priority: 0 is the most urgent.
    :ivar patience: seconds until it is given up.
    :ivar caller: name of the organisation that asks.
    :ivar idempotency_key: set for a call that may not be repeated.
    :ivar is_model: whether an engine answers it, token by token.
    :ivar prefill_tokens: predicted length of the prompt.
    :ivar decode_tokens: predicted length of the answer.
    :ivar token_limit: most tokens that the caller takes; 0 if it gave no limit.
    :ivar prefixes: digests of ever longer beginnings of the prompt; see
        ``completions.PREFIX_TOKENS``.
    :ivar traceparent: W3C trace context, or empty.
    """

    request_id: str
    service: str
    work: str
    priority: int
    patience: float
    caller: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    idempotency_key: str
    is_model: bool
    prefill_tokens: int
    decode_tokens: int
    token_limit: int
    prefixes: tuple[int, ...]
    traceparent: str


class Progress:
    """
    The answer to one request, over all of its attempts.

    Guards that the caller gets each token of its own answer once and in order: only
    the attempt under way counts, and what the caller has already is dropped.
    """

    def __init__(self, request: Request, started_at: float) -> None:
        """
        Begin without an attempt.

        :param request: what was asked.
        :param started_at: seconds of the timer service.
        """
        self.request = request
        self.started_at = started_at
        self.first_token_at: float | None = None
        self.last_token_at = started_at
        self.tokens: list[str] = []
        self.attempts = 0
        self.attempt_id: int | None = None
        self.target_id = ""
        self.may_have_run = False
        self.is_over = False
        self.tried_target_ids: list[str] = []
        self.to_older_system = False
        self.is_prefill_only = False
        self.was_handed_over = False
        self.cache = b""

    @property
    def decode_tokens_left(self) -> int:
        """Predicted tokens still to come."""
        return max(1, self.request.decode_tokens - len(self.tokens))

    @property
    def remaining(self) -> Request:
        """What is still asked: without the prompt once its KV cache is at hand."""
        if not self.cache:
            return self.request
        return self.request._replace(prefill_tokens=1, prefixes=())

    @property
    def is_at_limit(self) -> bool:
        """Whether the caller has all tokens, though no end of the answer came."""
        limit = self.request.token_limit
        return 0 < limit <= len(self.tokens)

    def begin(self, attempt_id: int, target_id: str) -> None:
        """
        Start an attempt; any earlier one no longer counts.

        :param attempt_id: unique in this entry.
        :param target_id: where it goes.
        """
        self.attempts += 1
        self.attempt_id = attempt_id
        self.target_id = target_id
        self.tried_target_ids.append(target_id)

    def accept(
        self, offset: int, tokens: list[str]
    ) -> Result[list[str], CrossedAnswer]:
        """
        Take tokens of the attempt under way.

        :param offset: tokens of the whole answer before the first one.
        :param tokens: what came.
        :returns: those that the caller does not have yet; or a gap.
        """
        have = len(self.tokens)
        if offset > have:
            return Err(CrossedAnswer(f"token {offset} after {have}"))
        new = tokens[have - offset :]
        self.tokens += new
        return Ok(new)

    def end_attempt(self) -> None:
        """Let the attempt under way no longer count."""
        self.attempt_id = None
