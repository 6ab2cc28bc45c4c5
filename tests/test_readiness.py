"""What a process that is not ready waits for, and when it became ready."""

from pimentolink.logs import LogEvent
from pimentolink.readiness import Readiness
from pimentolink.timers import ManualTimers
from tests.recordinglog import RecordingLog


def test_log_tells_what_is_waited_for_and_how_long():
    met, log, timers = set(), RecordingLog(), ManualTimers()
    readiness = Readiness(
        {name: lambda n=name: n in met for name in ("configuration", "target_list")},
        timers,
        log,
    )
    readiness.log_change()
    timers.advance(2.0)
    met.add("target_list")
    readiness.log_change()
    readiness.log_change()
    timers.advance(1.5)
    met.add("configuration")
    assert readiness.unmet() == []
    readiness.log_change()
    assert log.lines == [
        (
            LogEvent.NOT_READY,
            {"unmet": ["configuration", "target_list"], "after": 0.0},
        ),
        (LogEvent.NOT_READY, {"unmet": ["configuration"], "after": 2.0}),
        (LogEvent.READY, {"unmet": [], "after": 3.5}),
    ]
