"""The state of one attempt to serve a request at a target."""

from __future__ import annotations

from typing import NamedTuple

from opentelemetry import trace

from pimentolink import link_pb2
from pimentolink.links import SidecarLink
from pimentolink.targets import RunningCall

CALLER_HEADER = "pimentolink-caller"


class AttemptKey(NamedTuple):
    """
    Identifies an attempt across all links.

    :ivar link: ``id()`` of the link object.
    :ivar attempt_id: chosen by the entry, unique on its link.
    """

    link: int
    attempt_id: int


class Attempt:
    """
    One attempt, from its submission until its ``Finish`` is sent.

    :ivar offset: index of the next token of the response; tokens that the caller
        already has count.
    :ivar running: the call to the target, once it was started; ``None`` for an attempt
        under a claim.
    """

    def __init__(
        self, key: AttemptKey, link: SidecarLink, submit: link_pb2.Submit
    ) -> None:
        """
        Create an attempt that has not been queued.

        :param key: its identifier.
        :param link: the link it was received on.
        :param submit: the message that describes it.
        """
        self.key = key
        self.link = link
        self.submit = submit
        self.offset = len(submit.resume_tokens)
        self.running: RunningCall | None = None
        self.span: trace.Span = trace.INVALID_SPAN
        self.call_span: trace.Span = trace.INVALID_SPAN
