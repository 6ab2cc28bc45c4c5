"""Decides whose request it is, before anything else is done for it."""

from __future__ import annotations

from result import Err, Ok, Result

from pimentolink.apikeys import Organisation, read_key
from pimentolink.configurationage import ConfigurationAge
from pimentolink.errors import USUAL_PAUSE, ConfigurationOutdated, Unauthenticated
from pimentolink.httptypes import Headers
from pimentolink.routes import Route, RoutingTable


class Authenticator:
    """
    Finds the organisation that holds a caller's API key.

    Guards that no key is used longer after its revocation than the bound allows: with
    a configuration that may be outdated, every key is refused as not run. That goes for
    keys that it does not know as well, since a newer one may have added them.
    """

    def __init__(self, age: ConfigurationAge) -> None:
        """
        Prepare.

        :param age: of the configuration in force.
        """
        self._age = age

    def authenticate(
        self, table: RoutingTable, route: Route, headers: Headers
    ) -> Result[Organisation | None, Unauthenticated | ConfigurationOutdated]:
        """
        Find out who asks.

        :param table: the configuration in force.
        :param route: that the request matched.
        :param headers: of the request.
        :returns: the organisation; ``None`` where none is asked for.
        """
        keys = table.api_keys
        if keys is None or not route.needs_key:
            return Ok(None)
        if not self._age.is_current():
            self._age.look()
            detail = "the configuration may be outdated"
            return Err(ConfigurationOutdated(detail, USUAL_PAUSE))
        key = read_key(headers)
        if isinstance(key, Err):
            return key
        organisation = keys.organisation(key.ok_value)
        if organisation is None:
            return Err(Unauthenticated("no organisation holds the API key"))
        return Ok(organisation)
