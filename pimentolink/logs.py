"""Structured logs: numbered events, one JSON object a line."""

from __future__ import annotations

import enum
import logging
import os
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
    RELOADED = ("E1006", logging.INFO, "The settings were read again.")
    SETTINGS_INVALID = (
        "E1007",
        logging.ERROR,
        "The settings file cannot be used any more; the settings in force stay.",
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
    TARGET_UNREADABLE = (
        "E1103",
        logging.ERROR,
        "An entry on the list names no target to use; told once for each content.",
    )
    KEYS_TRUSTED = (
        "E1104",
        logging.INFO,
        "The configuration is known to be current; requests with API keys are served.",
    )
    KEYS_DISTRUSTED = (
        "E1105",
        logging.WARNING,
        "The configuration may be outdated; requests with API keys are refused.",
    )
    KEY_VALUE_LOST = (
        "E1201",
        logging.WARNING,
        "The key-value service gives no answer; work goes on without it.",
    )
    KEY_VALUE_BACK = ("E1202", logging.INFO, "The key-value service answers again.")
    HISTORY_LOST = (
        "E1204",
        logging.WARNING,
        "The store no longer keeps the changes since a revision; all is read again.",
    )
    STORE_RESTORED = (
        "E1218",
        logging.WARNING,
        "The store came back from an older copy; all is read and written again.",
    )
    TARGET_LISTED = (
        "E1205",
        logging.INFO,
        "A target appeared on the list, or changed there.",
    )
    TARGET_GONE = (
        "E1206",
        logging.INFO,
        "A target left the list; it gets no more work.",
    )
    TARGET_MISSING = (
        "E1207",
        logging.WARNING,
        "A target is missing from the list after an outage; it may come back.",
    )
    TARGET_RESTARTED = (
        "E1214",
        logging.INFO,
        "A target started again under its name; all that was believed is forgotten.",
    )
    TARGET_OUTDATED = (
        "E1215",
        logging.INFO,
        "An entry of an earlier life of a target came late and changes nothing.",
    )
    LEASE_LOST = ("E1208", logging.WARNING, "A lease of this process ended.")
    RENEWAL_UNANSWERED = (
        "E1212",
        logging.WARNING,
        "A renewal of this gateway's entry had no answer; its watch may be dead too.",
    )
    RENEWAL_ANSWERED = (
        "E1213",
        logging.INFO,
        "A renewal was answered again; the store is read anew.",
    )
    PEER_LISTED = ("E1209", logging.INFO, "Another gateway appeared or left.")
    CELL_CHANGED = (
        "E1217",
        logging.INFO,
        "The deployment is divided into cells anew; in one, gateways tell each other.",
    )
    PEER_MESSAGE_INVALID = (
        "E1210",
        logging.WARNING,
        "A datagram on the gateways' port is no message of theirs.",
    )
    FROZEN = (
        "E1211",
        logging.WARNING,
        "This process stood still; what it knows is read again before it is used.",
    )
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
    LINK_SILENT = (
        "E1304",
        logging.WARNING,
        "Nothing came over a link for too long; it is ended.",
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
    CHANGE_AWAITED = (
        "E1424",
        logging.INFO,
        "A request waits for a target that is under a planned change.",
    )
    LATE_EVENT = (
        "E1404",
        logging.INFO,
        "An answer for an attempt that is over came in and was dropped.",
    )
    CACHE_LEARNED = (
        "E1411",
        logging.INFO,
        "An engine was asked what its memory holds.",
    )
    ANSWERED = ("E1405", logging.INFO, "A request got a target's whole answer.")
    PROMPT_PLACED = (
        "E1406",
        logging.INFO,
        "A prompt that waited was given to an engine, on the inputs shown.",
    )
    PROMPT_REFUSED = (
        "E1407",
        logging.INFO,
        "A prompt was turned away unread, on the prediction shown.",
    )
    READING_ENDED = (
        "E1416",
        logging.INFO,
        "A prompt's reading ended, with the time it took and the time predicted.",
    )
    RETRY_DECIDED = (
        "E1423",
        logging.INFO,
        "The shared retry budget granted or denied a repeated attempt; its inputs.",
    )
    STREAM_RESUMED = (
        "E1408",
        logging.WARNING,
        "A stream that broke goes on at another target.",
    )
    TARGET_CRASHED = (
        "E1417",
        logging.WARNING,
        "A target ended unannounced while the requests shown were under way there.",
    )
    SUSPECT_STRUCK = (
        "E1418",
        logging.WARNING,
        "A request was under way at one more target that crashed; it waits.",
    )
    SUSPECT_TRIED = (
        "E1419",
        logging.WARNING,
        "A request that may crash targets has waited and is sent to one again.",
    )
    SUSPECT_CLEARED = (
        "E1420",
        logging.INFO,
        "Crashes are held against a request no more: it was answered, or released.",
    )
    SUSPECTS_STORED = (
        "E1421",
        logging.INFO,
        "What is held against requests was written for gateways that start later.",
    )
    SUSPECTS_UNSTORED = (
        "E1422",
        logging.WARNING,
        "What is held against requests could not be written; it is tried again.",
    )
    CALLER_LEFT = (
        "E1409",
        logging.INFO,
        "A caller closed its connection before its answer was whole.",
    )
    WORK_CANCELLED = (
        "E1415",
        logging.INFO,
        "Work for a caller that left was ended; it was at the last of the targets.",
    )
    BAD_REQUEST = (
        "E1410",
        logging.WARNING,
        "What a caller sent is no proper request; its connection is closed.",
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
    LEADERSHIP_TAKEN = ("E1604", logging.INFO, "This gateway leads; it may act.")
    LEADERSHIP_LOST = ("E1605", logging.WARNING, "This gateway leads no more.")
    ORDER_STARTED = ("E1601", logging.INFO, "An order to the engine began.")
    ORDER_DONE = ("E1602", logging.INFO, "An order to the engine took effect.")
    ORDER_FAILED = (
        "E1603",
        logging.ERROR,
        "An order failed; it is tried again as the plan stands then.",
    )
    USAGE_COMMITTED = (
        "E1801",
        logging.INFO,
        "The usage of a window was committed; no other counts are sent for it.",
    )
    USAGE_REPORTED = ("E1802", logging.INFO, "A report of usage was taken.")
    USAGE_UNREPORTED = (
        "E1803",
        logging.WARNING,
        "A report of usage had no answer or was refused; it is sent again.",
    )
    USAGE_MISSED = (
        "E1804",
        logging.ERROR,
        "The usage of a window, or of some up to the last, was not reported in time.",
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
    _configure(sys.stderr, level)


def _configure(file: Any, level: int) -> None:
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.add_log_level,
            _hide_secrets,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(file=file),
        cache_logger_on_first_use=True,
    )


# Bytes of log lines kept for a reader that is slow; what comes on top is dropped and
# counted. At 250 bytes a line this is what a busy gateway writes in ten seconds.
MAX_LOG_BYTES = 262_144


class BoundedWriter:
    """A file that never blocks: lines that its reader does not take are dropped."""

    def __init__(self, descriptor: int) -> None:
        """
        Take over a descriptor.

        :param descriptor: of a file, pipe or terminal.
        """
        self._descriptor = descriptor
        self._pending = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or keep it for the next time."""
        data = text.encode()
        if len(self._pending) + len(data) > MAX_LOG_BYTES:
            self.dropped += 1
        else:
            if self.dropped:
                self._pending += f'{{"dropped": {self.dropped}}}\n'.encode()
                self.dropped = 0
            self._pending += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes."""
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Without a reader there is nobody to tell.
            written = len(self._pending)
        del self._pending[:written]


def configure_bounded(level: int = logging.INFO) -> None:
    """
    Send events to standard output as JSON lines, without ever waiting for a reader.

    :param level: lowest level that is written.
    """
    _configure(BoundedWriter(sys.stdout.fileno()), level)


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
