"""Authenticates a request by its API key before it is processed further."""

from __future__ import annotations

from result import Err, Ok, Result

from pimentolink.apikeys import Organisation, read_key
from pimentolink.configurationage import ConfigurationAge
from pimentolink.errors import (
    DEFAULT_RETRY_AFTER,
    ConfigurationOutdated,
    Unauthenticated,
)
from pimentolink.httptypes import Headers
from pimentolink.routes import Route, RoutingTable


class Authenticator:
    """
    Finds the organisation that holds a caller's API key.

    Keeps a revoked key from being accepted for longer than the maximum age of the
    configuration. If the configuration may be outdated, every request with a key is
    refused with a failure that states that it was not run. This includes unknown keys,
    since a newer configuration may have added them.
    """

    def __init__(self, age: ConfigurationAge) -> None:
        """
        Create an authenticator.

        :param age: tells whether the configuration in force is current.
        """
        self._age = age

    def authenticate(
        self, table: RoutingTable, route: Route, headers: Headers
    ) -> Result[Organisation | None, Unauthenticated | ConfigurationOutdated]:
        """
        Authenticate a request.

        :param table: routing table of the configuration in force.
        :param route: route that the request matched.
        :param headers: headers of the request.
        :returns: the organisation, or ``None`` if the route requires no API key or the
            configuration has none.
        """
        keys = table.api_keys
        if keys is None or not route.needs_key:
            return Ok(None)
        if not self._age.is_current():
            self._age.log_transition()
            detail = "the configuration may be outdated"
            return Err(ConfigurationOutdated(detail, DEFAULT_RETRY_AFTER))
        key = read_key(headers)
        if isinstance(key, Err):
            return key
        organisation = keys.organisation(key.ok_value)
        if organisation is None:
            return Err(Unauthenticated("no organisation holds the API key"))
        return Ok(organisation)
