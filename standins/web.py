"""Minimal HTTP server with JSON bodies, shared by all stand-ins."""

from __future__ import annotations

import argparse
import json
import signal
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as _reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

reactor: Any = _reactor
Handler = Callable[[Request], None]


class Routes(Resource):
    """Routes a request by its method and the first matching prefix of its path."""

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        """Create an empty routing table."""
        super().__init__()
        self.routes: list[tuple[str, str, Handler]] = []

    def add(self, method: str, prefix: str, handler: Handler) -> None:
        """Route requests whose path starts with ``prefix`` to ``handler``."""
        self.routes.append((method, prefix, handler))

    def render(self, request: Request) -> int:
        """Dispatch a request, or respond with 404."""
        path = request.path.decode()
        for method, prefix, handler in self.routes:
            if request.method.decode() == method and path.startswith(prefix):
                handler(request)
                return NOT_DONE_YET
        answer(request, {"error": "not found"}, 404)
        return NOT_DONE_YET


def answer(
    request: Request,
    value: Any,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> None:
    """Send a JSON response unless the client has disconnected."""
    if request._disconnected or request.finished:
        return
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    for name, content in (headers or {}).items():
        request.setHeader(name, content)
    request.write(json.dumps(value).encode())
    request.finish()


def body_of(request: Request) -> Any:
    """Read a request body and parse it as JSON."""
    return json.loads(raw_body(request) or b"null")


def raw_body(request: Request) -> bytes:
    """Read a request body as bytes."""
    content: Any = request.content
    return bytes(content.read())


def argument(request: Request, name: str, default: str = "") -> str:
    """Read a parameter of the query string."""
    arguments: Any = request.args
    return str(arguments.get(name.encode(), [default.encode()])[0].decode())


def serve(routes: Routes, description: str, **defaults: Any) -> None:
    """Serve on the address from the command line until SIGTERM."""
    listen(routes, parse(description, **defaults).listen)


def parse(description: str, **defaults: Any) -> argparse.Namespace:
    """Parse the command line: ``--listen`` and an option for each default."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--listen", required=True)
    for name, default in defaults.items():
        option = f"--{name.replace('_', '-')}"
        if isinstance(default, bool):
            parser.add_argument(option, action="store_true")
        else:
            parser.add_argument(option, type=type(default), default=default)
    return parser.parse_args()


def listen(routes: Routes, address: str) -> None:
    """Serve on an address until SIGTERM."""
    host, _, port = address.rpartition(":")
    reactor.listenTCP(int(port), Site(routes), interface=host, backlog=1024)
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    reactor.run(installSignalHandlers=False)
