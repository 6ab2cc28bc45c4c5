"""HTTP requests over pooled connections."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer, IResponse
from zope.interface import implementer

IDLE_CONNECTIONS = 256


class Answer(NamedTuple):
    """
    A whole answer.

    :ivar headers: by name in lower case; the last value of each.
    """

    status: int
    headers: dict[str, str]
    body: bytes


@implementer(IBodyProducer)
class BytesProducer:
    """A request body held in memory."""

    def __init__(self, body: bytes) -> None:
        """Wrap ``body``."""
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write the body at once."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: all has been written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: all has been written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: all has been written."""


@implementer(IAgentEndpointFactory)
class _AddressEndpoints:
    """Connects to IP numbers; the stock way resolves names on a thread of its own."""

    def __init__(self, reactor: Any, timeout: float) -> None:
        self._reactor = reactor
        self._timeout = timeout

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Make the endpoint of a URI."""
        host = uri.host.decode()
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, timeout=self._timeout)


class HttpClient:
    """Makes requests; keeps idle connections for the next ones."""

    def __init__(
        self, reactor: Any, connect_timeout: float, is_persistent: bool = True
    ) -> None:
        """
        Prepare a pool.

        :param reactor: the loop.
        :param connect_timeout: seconds until a connection counts as failed.
        :param is_persistent: whether connections are used again. One that is used
            once tells more surely whether a call was sent.
        """
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=is_persistent)
        self._pool.maxPersistentPerHost = IDLE_CONNECTIONS
        # A retry inside the pool would run a call twice that may not be repeated.
        self._pool.retryAutomatically = False
        endpoints = _AddressEndpoints(reactor, connect_timeout)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, self._pool)

    def open(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Deferred[IResponse]:
        """
        Send a request and wait for the head of the answer.

        :returns: the response; cancelling the Deferred closes the connection.
        """
        lines = Headers({name: [value] for name, value in (headers or {}).items()})
        producer: Any = BytesProducer(body) if body else None
        return self._agent.request(method.encode(), url.encode(), lines, producer)

    def request(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        patience: float = 10.0,
    ) -> Deferred[Answer]:
        """
        Send a request and wait for the whole answer.

        :param patience: seconds until it counts as failed.
        """

        async def exchange() -> Answer:
            response = await self.open(method, url, body, headers)
            content = await readBody(response)
            return Answer(response.code, header_values(response), content)

        pending = Deferred.fromCoroutine(exchange())
        return pending.addTimeout(patience, self._reactor)

    def close(self) -> Deferred[None]:
        """Close idle connections."""
        return self._pool.closeCachedConnections()


def header_values(response: IResponse) -> dict[str, str]:
    """
    Read an answer's headers.

    :returns: last value by name in lower case.
    """
    return {
        name.decode("latin-1").lower(): values[-1].decode("latin-1")
        for name, values in response.headers.getAllRawHeaders()
    }
