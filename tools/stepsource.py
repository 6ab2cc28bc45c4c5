"""Runs targets that send tokens at a fixed rate over real links, to measure entries."""

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

# Seconds between two tokens of a stream.
TOKEN_INTERVAL = 0.03


class SteppingTarget:
    """A target that sends one token to each of its streams per step."""

    def __init__(self, target_id: str, data_centre: str) -> None:
        """Create a target without streams."""
        self._target_id = target_id
        self._data_centre = data_centre
        self._streams_by_link: dict[Any, dict[int, list[int]]] = {}

    def make_hello(self) -> link_pb2.SidecarHello:
        """Create the hello message of this target."""
        return link_pb2.SidecarHello(
            target_id=self._target_id, data_centre=self._data_centre
        )

    def take_due_load(self, link: Any) -> link_pb2.Load | None:
        """Return nothing, since load is reported with each heartbeat instead."""
        return None

    def link_up(self, link: Any, hello: link_pb2.EntryHello) -> None:
        """Register the link of an entry and report load to it."""
        self._streams_by_link[link] = {}
        self.report_load(link)

    def report_load(self, link: Any) -> None:
        """Send a load report over one link."""
        load = link_pb2.Load(accepting=True, slots=1_000)
        link.send(link_pb2.SidecarMessage(load=load))

    def link_message(self, link: Any, message: link_pb2.EntryMessage) -> None:
        """Start or cancel a stream."""
        kind = message.WhichOneof("body")
        if kind == "submit":
            submit = message.submit
            streams = self._streams_by_link[link]
            streams[submit.attempt_id] = [0, submit.decode_tokens]
        elif kind == "cancel":
            self._streams_by_link[link].pop(message.cancel.attempt_id, None)

    def link_down(self, link: Any) -> None:
        """Drop the streams of a closed link."""
        self._streams_by_link.pop(link, None)

    def send_tokens(self) -> None:
        """Send the next token of each stream and finish those that are complete."""
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

    def send_heartbeat(self) -> None:
        """Report load over all links."""
        for link in self._streams_by_link:
            self.report_load(link)


def serve(
    key: str, prefix: str, data_centre: str, heartbeat: float, addresses: list[str]
) -> None:
    """
    Serve one target on each address until the process is killed.

    The targets start at different times, so that they do not all send at once.

    :param key: shared key of the links.
    :param prefix: of the target IDs.
    :param heartbeat: seconds between two load reports.
    """
    timers = ReactorTimers(reactor)
    for number, address in enumerate(addresses):
        target = SteppingTarget(f"{prefix}-{number}", data_centre)
        log = Log(role="source")
        server = LinkServer(reactor, key, LinkSettings(), target, timers, log)
        if not server.start(address):
            sys.exit(f"{address} is taken")
        phase = number / len(addresses)
        timers.call_later(
            TOKEN_INTERVAL * phase,
            partial(Repeater, timers, TOKEN_INTERVAL, target.send_tokens),
        )
        timers.call_later(
            heartbeat * phase,
            partial(Repeater, timers, heartbeat, target.send_heartbeat),
        )
    print("ready", flush=True)
    reactor.run()


if __name__ == "__main__":
    key, prefix, data_centre, heartbeat, *addresses = sys.argv[1:]
    serve(key, prefix, data_centre, float(heartbeat), addresses)
