"""An HTTP client with a connection pool."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer, IResponse
from zope.interface import implementer

MAX_IDLE_CONNECTIONS = 256


class Answer(NamedTuple):
    """
    A complete HTTP response.

    :ivar headers: last value of each header, by name in lower case.
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
        """Write the whole body to the consumer."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: all has been written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: all has been written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: all has been written."""


@implementer(IAgentEndpointFactory)
class _AddressEndpointFactory:
    """Connects to IP addresses; Twisted's default resolves names in a thread."""

    def __init__(self, reactor: Any, timeout: float) -> None:
        self._reactor = reactor
        self._timeout = timeout

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Create the endpoint of a URI."""
        host = uri.host.decode()
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, timeout=self._timeout)


class HttpClient:
    """Sends HTTP requests and reuses idle connections."""

    def __init__(
        self, reactor: Any, connect_timeout: float, is_persistent: bool = True
    ) -> None:
        """
        Create a client with an empty pool.

        :param reactor: the Twisted reactor.
        :param connect_timeout: seconds until an attempt to connect fails.
        :param is_persistent: whether connections are reused. With a new connection
            for each request, it is more certain whether a failed request was sent.
        """
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=is_persistent)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        # A retry by the pool could run a call twice that may not be repeated.
        self._pool.retryAutomatically = False
        endpoints = _AddressEndpointFactory(reactor, connect_timeout)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, self._pool)

    def open(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Deferred[IResponse]:
        """
        Send a request and wait for the status line and headers of the response.

        :returns: the response; cancelling the Deferred closes the connection.
        """
        raw_headers = Headers(
            {name: [value] for name, value in (headers or {}).items()}
        )
        producer: Any = BytesProducer(body) if body else None
        return self._agent.request(method.encode(), url.encode(), raw_headers, producer)

    def request(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        patience: float = 10.0,
    ) -> Deferred[Answer]:
        """
        Send a request and wait for the complete response.

        :param patience: seconds until the request fails.
        """

        async def fetch() -> Answer:
            response = await self.open(method, url, body, headers)
            content = await readBody(response)
            return Answer(response.code, header_values(response), content)

        pending = Deferred.fromCoroutine(fetch())
        return pending.addTimeout(patience, self._reactor)

    def close(self) -> Deferred[None]:
        """Close idle connections."""
        return self._pool.closeCachedConnections()


def header_values(response: IResponse) -> dict[str, str]:
    """
    Return the headers of a response.

    :returns: last value of each header, by name in lower case.
    """
    return {
        name.decode("latin-1").lower(): values[-1].decode("latin-1")
        for name, values in response.headers.getAllRawHeaders()
    }
