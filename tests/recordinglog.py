"""A log that keeps its lines for assertions."""

from typing import Any

from pimentolink.logs import LogEvent


class RecordingLog:
    """Takes the place of a log in tests."""

    def __init__(self) -> None:
        self.lines: list[tuple[LogEvent, dict[str, Any]]] = []

    def write(self, event: LogEvent, **fields: Any) -> None:
        self.lines.append((event, fields))
