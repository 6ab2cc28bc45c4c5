import threading

import pytest
from twisted.internet import reactor

from tools.fleet import Fleet


@pytest.fixture
def fleet():
    with Fleet() as running:
        yield running
        faults = running.faults()
    assert faults == []


@pytest.fixture(scope="session")
def loop():
    """The reactor on a thread, so that tests may wait for Deferreds."""
    thread = threading.Thread(
        target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True
    )
    thread.start()
    yield
    reactor.callFromThread(reactor.stop)
    thread.join(5)
