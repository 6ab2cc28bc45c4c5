"""Stand-in for the platform's instance list, whose readers see changes late."""

from __future__ import annotations

from typing import Any

from twisted.web.server import Request

from standins.web import Routes, answer, body_of, listen, parse, reactor


class InstanceListStandIn:
    """Registrations that become visible to readers after a delay."""

    def __init__(self, lag: float) -> None:
        """
        Create an empty list.

        :param lag: seconds until a change is visible.
        """
        self._lag = lag
        self._visible_by_id: dict[str, dict[str, Any]] = {}
        self.routes = Routes()
        self.routes.add("GET", "/v1/catalog/service/", self.read)
        self.routes.add("PUT", "/v1/agent/service/register", self.register)
        self.routes.add("PUT", "/v1/agent/service/deregister/", self.deregister)

    def read(self, request: Request) -> None:
        """List the visible instances of one role."""
        role = request.path.decode().rpartition("/")[2]
        visible = self._visible_by_id.values()
        answer(request, [item for item in visible if item["ServiceName"] == role])

    def register(self, request: Request) -> None:
        """Accept a registration, which becomes visible after the delay."""
        body = body_of(request)
        item = {
            "ServiceID": body["ID"],
            "ServiceName": body["Name"],
            "ServiceAddress": body["Address"],
            "ServicePort": body["Port"],
            "ServiceMeta": body["Meta"],
        }
        reactor.callLater(self._lag, self._visible_by_id.update, {body["ID"]: item})
        answer(request, {})

    def deregister(self, request: Request) -> None:
        """Remove a registration, which stays visible until the delay has passed."""
        instance_id = request.path.decode().rpartition("/")[2]
        reactor.callLater(self._lag, self._visible_by_id.pop, instance_id, None)
        answer(request, {})


if __name__ == "__main__":
    options = parse(__doc__, lag=0.5)
    listen(InstanceListStandIn(options.lag).routes, options.listen)
