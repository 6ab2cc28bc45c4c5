"""Targets that emit tokens at a steady pace over real links, for measuring entries."""

from __future__ import annotations

import sys
from functools import partial
from typing import Any

from twisted.internet import reactor as default_reactor

from pimentolink import link_pb2
from pimentolink.linkserver import LinkServer
from pimentolink.logs import Log
from pimentolink.settings import LinkSettings
from pimentolink.timers import ReactorTimers, Repeater

reactor: Any = default_reactor

STEP = 0.03


class SteppingTarget:
    """One target: each step brings a token to each of its streams."""

    def __init__(self, target_id: str, data_centre: str) -> None:
        """Start without streams."""
        self._target_id = target_id
        self._data_centre = data_centre
        self._streams_by_link: dict[Any, dict[int, list[int]]] = {}

    def make_hello(self) -> link_pb2.SidecarHello:
        """Say who this is."""
        return link_pb2.SidecarHello(
            target_id=self._target_id, data_centre=self._data_centre
        )

    def take_due_load(self, link: Any) -> link_pb2.Load | None:
        """Report load by itself only."""
        return None

    def link_up(self, link: Any, hello: link_pb2.EntryHello) -> None:
        """Serve an entry."""
        self._streams_by_link[link] = {}
        self.report(link)

    def report(self, link: Any) -> None:
        """Report load."""
        load = link_pb2.Load(accepting=True, slots=1_000)
        link.send(link_pb2.SidecarMessage(load=load))

    def link_message(self, link: Any, message: link_pb2.EntryMessage) -> None:
        """Start or stop a stream."""
        kind = message.WhichOneof("body")
        if kind == "submit":
            submit = message.submit
            streams = self._streams_by_link[link]
            streams[submit.attempt_id] = [0, submit.decode_tokens]
        elif kind == "cancel":
            self._streams_by_link[link].pop(message.cancel.attempt_id, None)

    def link_down(self, link: Any) -> None:
        """Forget an entry."""
        self._streams_by_link.pop(link, None)

    def step(self) -> None:
        """Emit a token for each stream."""
        for link, streams in self._streams_by_link.items():
            for attempt_id, progress in list(streams.items()):
                offset = progress[0]
                progress[0] += 1
                event = link_pb2.Event(
                    attempt_id=attempt_id, offset=offset, tokens=["token "]
                )
                if progress[0] >= progress[1]:
                    del streams[attempt_id]
                    event.finish.CopyFrom(link_pb2.Finish(outcome=link_pb2.COMPLETE))
                link.send_event(event)

    def beat(self) -> None:
        """Report load to all."""
        for link in self._streams_by_link:
            self.report(link)


def serve(
    key: str, prefix: str, data_centre: str, heartbeat: float, addresses: list[str]
) -> None:
    """Serve a target on each address until killed."""
    timers = ReactorTimers(reactor)
    for number, address in enumerate(addresses):
        target = SteppingTarget(f"{prefix}-{number}", data_centre)
        log = Log(role="source")
        server = LinkServer(reactor, key, LinkSettings(), target, timers, log)
        if not server.start(address):
            sys.exit(f"{address} is taken")
        spread = number / len(addresses)
        timers.call_later(STEP * spread, partial(Repeater, timers, STEP, target.step))
        timers.call_later(
            heartbeat * spread, partial(Repeater, timers, heartbeat, target.beat)
        )
    print("ready", flush=True)
    reactor.run()


if __name__ == "__main__":
    key, prefix, data_centre, heartbeat, *addresses = sys.argv[1:]
    serve(key, prefix, data_centre, float(heartbeat), addresses)
