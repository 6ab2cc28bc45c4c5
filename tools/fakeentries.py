"""Many entries' links to one sidecar, for measuring the sidecar."""

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
    """Attaches and says nothing more than an idle entry does."""

    def __init__(self, number: int) -> None:
        """Name this one."""
        self._number = number

    def make_hello(self) -> link_pb2.EntryHello:
        """Say who this is."""
        return link_pb2.EntryHello(instance_id=f"entry-{self._number}")

    def link_up(self, link: Any, hello: link_pb2.SidecarHello) -> None:
        """Do nothing."""

    def link_message(self, link: Any, message: link_pb2.SidecarMessage) -> None:
        """Do nothing."""

    def link_down(self, link: Any) -> None:
        """Do nothing."""


def main() -> None:
    """Hold links until killed."""
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
