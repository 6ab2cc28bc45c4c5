"""Opens many idle entry links to one sidecar, to measure the sidecar."""

from __future__ import annotations

import sys
from typing import Any

from twisted.internet import reactor as default_reactor

from pimentolink import link_pb2
from pimentolink.linkclient import LinkClient
from pimentolink.logs import Log
from pimentolink.settings import LinkSettings
from pimentolink.timers import ReactorTimers

reactor: Any = default_reactor


class FakeEntry:
    """Connects to the sidecar and then behaves like an idle entry."""

    def __init__(self, number: int) -> None:
        """
        Create an entry.

        :param number: part of its instance ID.
        """
        self._number = number

    def make_hello(self) -> link_pb2.EntryHello:
        """Create the hello message of this entry."""
        return link_pb2.EntryHello(instance_id=f"entry-{self._number}")

    def link_up(self, link: Any, hello: link_pb2.SidecarHello) -> None:
        """Ignore that the link is up."""

    def link_message(self, link: Any, message: link_pb2.SidecarMessage) -> None:
        """Ignore a message of the sidecar."""

    def link_down(self, link: Any) -> None:
        """Ignore that the link is down."""


def main() -> None:
    """Keep the links open until the process is killed."""
    key, address, count = sys.argv[1:]
    timers = ReactorTimers(reactor)
    settings = LinkSettings()
    links = [
        LinkClient(reactor, address, key, settings, FakeEntry(number), timers, Log())
        for number in range(int(count))
    ]
    reactor.callLater(1.0, print, f"ready {len(links)}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
