"""Structured logs: numbered events, one JSON object a line."""

from __future__ import annotations

import enum
import logging
import sys
from typing import Any, NamedTuple

import structlog
from twisted.logger import ILogObserver, globalLogPublisher
from zope.interface import provider

SECRET_FIELDS = frozenset({"shared_key", "authorization", "body", "idempotency_key"})


class _Entry(NamedTuple):
    """A catalogue entry."""

    number: str
    level: int
    meaning: str


class LogEvent(_Entry, enum.Enum):
    """The catalogue of all events; docs/EVENTS.md is made from it."""

    STARTED = ("E1001", logging.INFO, "The process listens and does its work.")
    STOPPING = ("E1002", logging.INFO, "A graceful stop began; no new work is taken.")
    STOPPED = ("E1003", logging.INFO, "The process ended after its work was done.")
    STOP_TIMEOUT = (
        "E1004",
        logging.ERROR,
        "The bound on the graceful stop passed with work still in flight.",
    )
    SLOT_TAKEN = (
        "E1005",
        logging.ERROR,
        "Another sidecar holds this target's slot; this one ends.",
    )
    CONFIGURATION_ADOPTED = (
        "E1101",
        logging.INFO,
        "A newer accepted configuration is in force in this process.",
    )
    CONFIGURATION_UNREADABLE = (
        "E1102",
        logging.ERROR,
        "A document offered as configuration is none; the one in force stays.",
    )
    KEY_VALUE_LOST = (
        "E1201",
        logging.WARNING,
        "The key-value service gives no answer; work goes on without it.",
    )
    KEY_VALUE_BACK = ("E1202", logging.INFO, "The key-value service answers again.")
    LIST_LOST = (
        "E1203",
        logging.WARNING,
        "The list of instances gives no answer; the last one stays in use.",
    )
    LINK_UP = ("E1301", logging.INFO, "A link between entry and sidecar is up.")
    LINK_DOWN = ("E1302", logging.WARNING, "A link between entry and sidecar ended.")
    LINK_REFUSED = (
        "E1303",
        logging.ERROR,
        "A peer without the shared key was turned away.",
    )
    ATTEMPT_FAILED = (
        "E1401",
        logging.WARNING,
        "An attempt failed; the request goes on if it may.",
    )
    REQUEST_FAILED = (
        "E1402",
        logging.WARNING,
        "A request got a final answer other than a whole one.",
    )
    TARGET_EJECTED = (
        "E1403",
        logging.WARNING,
        "A target failed repeatedly and gets no work for a while.",
    )
    LATE_EVENT = (
        "E1404",
        logging.INFO,
        "An answer for an attempt that is over came in and was dropped.",
    )
    CLAIMS_TAKEN_OVER = (
        "E1501",
        logging.INFO,
        "This sidecar now commits the claims of a partition.",
    )
    CLAIMS_LOST = (
        "E1502",
        logging.WARNING,
        "Another sidecar took over a partition of claims; this one stopped using it.",
    )
    PLAN_WRITTEN = ("E1600", logging.INFO, "This entry wrote a new plan for a group.")
    ORDER_STARTED = ("E1601", logging.INFO, "An order to the engine began.")
    ORDER_DONE = ("E1602", logging.INFO, "An order to the engine took effect.")
    ORDER_FAILED = (
        "E1603",
        logging.ERROR,
        "An order failed; it is tried again as the plan stands then.",
    )
    UNHANDLED_ERROR = (
        "E1901",
        logging.ERROR,
        "A fault in this process itself; it should be reported.",
    )
    SPAN_ENDED = ("E1701", logging.INFO, "One hop of a traced request ended.")

    @property
    def number(self) -> str:
        """Stable number of the event."""
        return self.value[0]

    @property
    def level(self) -> int:
        """Level of the standard library's ``logging``."""
        return self.value[1]

    @property
    def meaning(self) -> str:
        """What it says to an operator."""
        return self.value[2]


def _hide_secrets(
    _logger: Any, _method: str, fields: structlog.types.EventDict
) -> structlog.types.EventDict:
    for name in SECRET_FIELDS & fields.keys():
        fields[name] = "[hidden]"
    return fields


def configure(level: int = logging.INFO) -> None:
    """
    Send events to standard error as JSON lines.

    :param level: lowest level that is written.
    """
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.add_log_level,
            _hide_secrets,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


def catch_unhandled(log: Log) -> None:
    """
    Write the faults that the loop catches as events, instead of losing them.

    :param log: where they go.
    """

    @provider(ILogObserver)
    def observe(event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            text = failure.getTraceback()
            log.write(LogEvent.UNHANDLED_ERROR, traceback=text)

    globalLogPublisher.addObserver(observe)


class Log:
    """Writes events of the catalogue with the fields of one process."""

    def __init__(self, **fields: Any) -> None:
        """
        Bind fields.

        :param fields: stand on every line.
        """
        self._logger = structlog.get_logger().bind(**fields)

    def write(self, event: LogEvent, **fields: Any) -> None:
        """
        Write one event.

        :param event: from the catalogue.
        :param fields: what happened, typed; failures by their code.
        """
        self._logger.log(event.level, event.name.lower(), number=event.number, **fields)
