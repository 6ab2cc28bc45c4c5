import threading
from pathlib import Path

import pytest
from twisted.internet import reactor

from tools.fleet import Fleet, LogRetention


@pytest.fixture
def fleet():
    """Provide an empty fleet; the test fails if one of its processes logs a fault."""
    with Fleet() as running:
        yield running
        faults = running.faults()
    assert faults == []


@pytest.fixture(scope="session")
def loop():
    """Run the reactor on a separate thread, so that tests can wait for Deferreds."""
    thread = threading.Thread(
        target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True
    )
    thread.start()
    yield
    reactor.callFromThread(reactor.stop)
    thread.join(5)


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    """Mark the tests listed in KNOWN-RED.txt as xfail; .ci/run prints the list."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    known_ids = {line.partition(" | ")[0] for line in lines}
    for item in items:
        if item.nodeid in known_ids:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))


PROCESS_LOGS = "process logs"


@pytest.fixture(scope="session", autouse=True)
def log_retention(tmp_path_factory):
    """Keep the folders of fleets only if they ran during a failed test."""
    Fleet.retention = LogRetention(tmp_path_factory.mktemp("fleets"))
    yield
    Fleet.retention = None


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Keep the process logs of a failed test, also if KNOWN-RED.txt lists it."""
    report = yield
    has_failed = call.excinfo is not None and not call.excinfo.errisinstance(
        pytest.skip.Exception
    )
    if has_failed and Fleet.retention is not None:
        logs = [(PROCESS_LOGS, str(path)) for path in Fleet.retention.test_failed()]
        report.user_properties = [*report.user_properties, *logs]
    return report


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol():
    result = yield
    if Fleet.retention is not None:
        Fleet.retention.test_ended()
    return result


def pytest_terminal_summary(terminalreporter):
    """Print the folders that hold the process logs of failed tests."""
    for outcome in ("failed", "error", "xfailed"):
        for report in terminalreporter.getreports(outcome):
            for name, folder in report.user_properties:
                if name == PROCESS_LOGS:
                    terminalreporter.line(f"{report.nodeid}: logs in {folder}")
