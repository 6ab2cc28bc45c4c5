"""Stand-in for the platform's lagging list of instances."""

from __future__ import annotations

from typing import Any

from twisted.web.server import Request

from standins.web import Routes, answer, body_of, listen, parse, reactor


class InstanceListStandIn:
    """Registrations that readers see only after a lag."""

    def __init__(self, lag: float) -> None:
        """
        Start empty.

        :param lag: seconds until a change shows.
        """
        self._lag = lag
        self._shown_by_name: dict[str, dict[str, Any]] = {}
        self.routes = Routes()
        self.routes.add("GET", "/v1/catalog/service/", self.read)
        self.routes.add("PUT", "/v1/agent/service/register", self.register)
        self.routes.add("PUT", "/v1/agent/service/deregister/", self.deregister)

    def read(self, request: Request) -> None:
        """List what shows of one role."""
        role = request.path.decode().rpartition("/")[2]
        shown = self._shown_by_name.values()
        answer(request, [item for item in shown if item["ServiceName"] == role])

    def register(self, request: Request) -> None:
        """Take a registration; it shows after the lag."""
        body = body_of(request)
        item = {
            "ServiceID": body["ID"],
            "ServiceName": body["Name"],
            "ServiceAddress": body["Address"],
            "ServicePort": body["Port"],
            "ServiceMeta": body["Meta"],
        }
        reactor.callLater(self._lag, self._shown_by_name.update, {body["ID"]: item})
        answer(request, {})

    def deregister(self, request: Request) -> None:
        """Drop a registration; it shows until the lag has passed."""
        name = request.path.decode().rpartition("/")[2]
        reactor.callLater(self._lag, self._shown_by_name.pop, name, None)
        answer(request, {})


if __name__ == "__main__":
    options = parse(__doc__, lag=0.5)
    listen(InstanceListStandIn(options.lag).routes, options.listen)
