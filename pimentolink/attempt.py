"""One attempt at a target between its submission and its end."""

from __future__ import annotations

from typing import NamedTuple

from opentelemetry import trace

from pimentolink import link_pb2
from pimentolink.links import SidecarLink
from pimentolink.targets import RunningCall

CALLER_HEADER = "pimentolink-caller"


class AttemptKey(NamedTuple):
    """Names an attempt among those of all links."""

    link: int
    attempt_id: int


class Attempt:
    """One attempt between submission and its end."""

    def __init__(
        self, key: AttemptKey, link: SidecarLink, submit: link_pb2.Submit
    ) -> None:
        """
        Begin.

        :param key: names it.
        :param link: whose it is.
        :param submit: what to do.
        """
        self.key = key
        self.link = link
        self.submit = submit
        self.offset = len(submit.resume_tokens)
        self.running: RunningCall | None = None
        self.span: trace.Span = trace.INVALID_SPAN
        self.call_span: trace.Span = trace.INVALID_SPAN
