"""Structured logging: numbered events, written as one JSON object per line."""

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


class _EventDefinition(NamedTuple):
    """Number, level and description of a log event."""

    number: str
    level: int
    meaning: str


class LogEvent(_EventDefinition, enum.Enum):
    """All log events; docs/EVENTS.md is generated from this enum."""

    STARTED = ("E1001", logging.INFO, "The process has started and is listening.")
    READY = (
        "E1008",
        logging.INFO,
        "All conditions for serving are met, ``after`` seconds from the start.",
    )
    NOT_READY = (
        "E1009",
        logging.WARNING,
        "Conditions for serving are unmet; the load balancer is told so.",
    )
    STOPPING = (
        "E1002",
        logging.INFO,
        "A graceful shutdown began; no new requests are accepted.",
    )
    STOPPED = ("E1003", logging.INFO, "The process finished its graceful shutdown.")
    STOP_TIMEOUT = (
        "E1004",
        logging.ERROR,
        "The graceful shutdown timed out with requests still in flight.",
    )
    RELOADED = ("E1006", logging.INFO, "The settings were reloaded.")
    SETTINGS_INVALID = (
        "E1007",
        logging.ERROR,
        "The settings file is no longer valid; the current settings stay in use.",
    )
    SLOT_TAKEN = (
        "E1005",
        logging.ERROR,
        "Another sidecar already listens for this target; this process exits.",
    )
    CONFIGURATION_ADOPTED = (
        "E1101",
        logging.INFO,
        "This process now uses a newer accepted configuration.",
    )
    CONFIGURATION_UNREADABLE = (
        "E1102",
        logging.ERROR,
        "A configuration document is invalid; the current configuration stays in use.",
    )
    TARGET_UNREADABLE = (
        "E1103",
        logging.ERROR,
        "An entry of the target list is invalid; logged once for each content.",
    )
    KEYS_TRUSTED = (
        "E1104",
        logging.INFO,
        "The configuration is confirmed as current; requests with API keys are served.",
    )
    KEYS_DISTRUSTED = (
        "E1105",
        logging.WARNING,
        "The configuration may be outdated; requests with API keys are rejected.",
    )
    KEY_VALUE_LOST = (
        "E1201",
        logging.WARNING,
        "The key-value service does not respond; the process continues without it.",
    )
    KEY_VALUE_BACK = ("E1202", logging.INFO, "The key-value service responds again.")
    HISTORY_LOST = (
        "E1204",
        logging.WARNING,
        "The store no longer keeps the requested changes; everything is read again.",
    )
    STORE_READ = (
        "E1219",
        logging.INFO,
        "All keys of the store were read; changes are watched from this revision on.",
    )
    STORE_UNREAD = (
        "E1221",
        logging.WARNING,
        "Reading all keys of the store failed; it is tried again.",
    )
    WATCH_LOST = (
        "E1220",
        logging.WARNING,
        "The store has changes that the watch did not deliver; it is requested again.",
    )
    STORE_RESTORED = (
        "E1218",
        logging.WARNING,
        "The store was restored from an older copy; all is read and written again.",
    )
    TARGET_LISTED = (
        "E1205",
        logging.INFO,
        "A target was added to the list, or its entry changed.",
    )
    TARGET_GONE = (
        "E1206",
        logging.INFO,
        "A target was removed from the list; it gets no more requests.",
    )
    TARGET_MISSING = (
        "E1207",
        logging.WARNING,
        "A target is missing from the list after an outage; unused until it returns.",
    )
    TARGET_RESTARTED = (
        "E1214",
        logging.INFO,
        "A target restarted under the same name; its previous state is discarded.",
    )
    TARGET_OUTDATED = (
        "E1215",
        logging.INFO,
        "An outdated list entry of a target that restarted or ended was ignored.",
    )
    LEASE_LOST = (
        "E1208",
        logging.WARNING,
        "A lease of this process is no longer valid.",
    )
    RENEWAL_UNANSWERED = (
        "E1212",
        logging.WARNING,
        "Renewing this gateway's entry got no response; its watch may be broken too.",
    )
    RENEWAL_ANSWERED = (
        "E1213",
        logging.INFO,
        "A renewal succeeded again; the store is read again.",
    )
    PEER_LISTED = ("E1209", logging.INFO, "Another gateway joined or left.")
    CELL_CHANGED = (
        "E1217",
        logging.INFO,
        "The cells were reassigned; gateways exchange updates within their cell.",
    )
    PEER_MESSAGE_INVALID = (
        "E1210",
        logging.WARNING,
        "An invalid datagram was received on the port for gateway messages.",
    )
    FROZEN = (
        "E1211",
        logging.WARNING,
        "This process was suspended or blocked; it reloads its state before using it.",
    )
    LIST_LOST = (
        "E1203",
        logging.WARNING,
        "The instance list does not respond; the last known list stays in use.",
    )
    LINK_UP = (
        "E1301",
        logging.INFO,
        "A link between an entry and a sidecar was established.",
    )
    LINK_DOWN = (
        "E1302",
        logging.WARNING,
        "A link between an entry and a sidecar was closed or lost.",
    )
    LINK_REFUSED = (
        "E1303",
        logging.ERROR,
        "A connection from a peer without the shared key was rejected.",
    )
    LINK_SILENT = (
        "E1304",
        logging.WARNING,
        "A link was closed because it received no message for too long.",
    )
    ATTEMPT_FAILED = (
        "E1401",
        logging.WARNING,
        "An attempt failed; the request is retried if permitted.",
    )
    RESPONSE_DISCARDED = (
        "E1427",
        logging.WARNING,
        "A response that names another request came over a target's connection.",
    )
    REQUEST_FAILED = (
        "E1402",
        logging.WARNING,
        "A request ended without a complete response.",
    )
    TARGET_EJECTED = (
        "E1403",
        logging.WARNING,
        "A target failed repeatedly and temporarily gets no requests.",
    )
    CHANGE_AWAITED = (
        "E1424",
        logging.INFO,
        "A request waits for a target that undergoes a planned change.",
    )
    LATE_EVENT = (
        "E1404",
        logging.INFO,
        "A response for an attempt that had already ended was dropped.",
    )
    CACHE_LEARNED = (
        "E1411",
        logging.INFO,
        "An engine was asked for the contents of its KV cache.",
    )
    ANSWERED = (
        "E1405",
        logging.INFO,
        "A request got a complete response from a target.",
    )
    PROMPT_PLACED = (
        "E1406",
        logging.INFO,
        "A queued prompt was assigned to an engine, based on the inputs shown.",
    )
    PROMPT_REFUSED = (
        "E1407",
        logging.INFO,
        "A prompt was rejected before its prefill, based on the prediction shown.",
    )
    READING_ENDED = (
        "E1416",
        logging.INFO,
        "The prefill of a prompt ended; shows the measured and the predicted time.",
    )
    RETRY_DECIDED = (
        "E1423",
        logging.INFO,
        "The shared retry budget granted or denied a retry, based on the inputs shown.",
    )
    STREAM_RESUMED = (
        "E1408",
        logging.WARNING,
        "A broken stream was resumed at another target.",
    )
    TARGET_CRASHED = (
        "E1417",
        logging.WARNING,
        "A target crashed while it was processing the requests shown.",
    )
    TARGET_CLOSES_CONNECTIONS = (
        "E1425",
        logging.WARNING,
        "A target broke connections off and closes new ones at once: it has ended.",
    )
    SUSPECT_STRUCK = (
        "E1418",
        logging.WARNING,
        "One more target crashed while processing a suspect request; it is delayed.",
    )
    SUSPECT_TRIED = (
        "E1419",
        logging.WARNING,
        "A request that may crash targets is sent to one again after its delay.",
    )
    TRIAL_FAILED = (
        "E1428",
        logging.WARNING,
        "A target crashed during a trial; requests with all candidates are held.",
    )
    SUSPECT_CLEARED = (
        "E1420",
        logging.INFO,
        "A request is no longer suspected of crashes: it succeeded or was released.",
    )
    SUSPECTS_STORED = (
        "E1421",
        logging.INFO,
        "The suspect requests were stored for gateways that start later.",
    )
    SUSPECTS_UNSTORED = (
        "E1422",
        logging.WARNING,
        "Storing the suspect requests failed; it will be retried.",
    )
    CALLER_LEFT = (
        "E1409",
        logging.INFO,
        "A caller closed its connection before its response was complete.",
    )
    WORK_CANCELLED = (
        "E1415",
        logging.INFO,
        "A request was cancelled as its caller left; it ran at the last target listed.",
    )
    BAD_REQUEST = (
        "E1410",
        logging.WARNING,
        "A caller sent a malformed request; its connection is closed.",
    )
    CLAIMS_TAKEN_OVER = (
        "E1501",
        logging.INFO,
        "This sidecar now owns a claim partition and commits its claims.",
    )
    CLAIMS_LOST = (
        "E1502",
        logging.WARNING,
        "Another sidecar took over a claim partition; this one stopped using it.",
    )
    CLAIM_PARTITIONS_FIXED = (
        "E1503",
        logging.WARNING,
        "A service's claims stay in as many partitions as its first claim found; "
        "the configured number is not used.",
    )
    PLAN_WRITTEN = (
        "E1600",
        logging.INFO,
        "This entry stored a new plan for a group of engines.",
    )
    LEADERSHIP_TAKEN = ("E1604", logging.INFO, "This gateway became the leader.")
    LEADERSHIP_LOST = (
        "E1605",
        logging.WARNING,
        "This gateway is no longer the leader.",
    )
    ORDER_STARTED = ("E1601", logging.INFO, "An order to the engine was started.")
    ORDER_DONE = ("E1602", logging.INFO, "An order to the engine took effect.")
    ORDER_FAILED = (
        "E1603",
        logging.ERROR,
        "An order failed; it is retried according to the plan at that time.",
    )
    USAGE_COMMITTED = (
        "E1801",
        logging.INFO,
        "The usage counts of a window were committed and will not change.",
    )
    USAGE_REPORTED = ("E1802", logging.INFO, "A usage report was accepted.")
    USAGE_UNREPORTED = (
        "E1803",
        logging.WARNING,
        "A usage report got no response or was rejected; it will be sent again.",
    )
    USAGE_MISSED = (
        "E1804",
        logging.ERROR,
        "The usage of one or more windows was not reported in time.",
    )
    UNHANDLED_ERROR = (
        "E1901",
        logging.ERROR,
        "An unhandled error in this process; please report it as a bug.",
    )
    SPAN_ENDED = ("E1701", logging.INFO, "A span of a traced request ended.")

    @property
    def number(self) -> str:
        """Stable number of the event, such as ``E1001``."""
        return self.value[0]

    @property
    def level(self) -> int:
        """Log level, as defined by ``logging``."""
        return self.value[1]

    @property
    def meaning(self) -> str:
        """Description for operators."""
        return self.value[2]


def _redact_secrets(
    _logger: Any, _method: str, fields: structlog.types.EventDict
) -> structlog.types.EventDict:
    for name in SECRET_FIELDS & fields.keys():
        fields[name] = "[hidden]"
    return fields


def configure(level: int = logging.INFO) -> None:
    """
    Write events to standard error as JSON lines.

    :param level: minimum level to write.
    """
    _configure(sys.stderr, level)


def _configure(file: Any, level: int) -> None:
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.add_log_level,
            _redact_secrets,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(file=file),
        cache_logger_on_first_use=True,
    )


# Maximum bytes of log lines buffered for a slow reader; further lines are dropped and
# counted. At 250 bytes per line, a busy gateway writes this much in ten seconds.
MAX_LOG_BYTES = 262_144


class BoundedWriter:
    """A non-blocking writer that drops lines if its reader is too slow."""

    def __init__(self, descriptor: int) -> None:
        """
        Make a descriptor non-blocking and write to it.

        :param descriptor: file descriptor of a file, pipe or terminal.
        """
        self._descriptor = descriptor
        self._pending = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or buffer it if the reader is not ready."""
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
        """Write as much of the buffer as the reader accepts."""
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, so the buffered lines are discarded.
            written = len(self._pending)
        del self._pending[:written]


def configure_bounded(level: int = logging.INFO) -> None:
    """
    Write events to standard output as JSON lines, without blocking on the reader.

    :param level: minimum level to write.
    """
    _configure(BoundedWriter(sys.stdout.fileno()), level)


def log_unhandled_errors(log: Log) -> None:
    """
    Log errors that nothing else handles, which Twisted would otherwise discard.

    :param log: log to write to.
    """

    @provider(ILogObserver)
    def observe(event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            text = failure.getTraceback()
            log.write(LogEvent.UNHANDLED_ERROR, traceback=text)

    globalLogPublisher.addObserver(observe)


class Log:
    """Writes log events with fields that are common to a process."""

    def __init__(self, **fields: Any) -> None:
        """
        Create a log.

        :param fields: fields added to every event.
        """
        self._logger = structlog.get_logger().bind(**fields)

    def write(self, event: LogEvent, **fields: Any) -> None:
        """
        Write an event.

        :param event: the event.
        :param fields: JSON-serialisable details; failures are given by their code.
        """
        self._logger.log(event.level, event.name.lower(), number=event.number, **fields)
