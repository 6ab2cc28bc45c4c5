"""Documents of the platform's store, proper or not."""

from random import Random

import h11
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from pimentolink.errors import DocumentInvalid
from pimentolink.fleet import Fleet
from pimentolink.gatewaysettings import EjectionSettings, PlacementSettings
from pimentolink.platform.documents import PlatformDocuments
from pimentolink.settings import split_address
from tests.jsonvalues import DOCUMENTS, VALUES, likely

ROUTE = {
    "name": "r",
    "host": "h.example",
    "prefix": "/p/",
    "kind": "idempotent",
    "timeoutMs": 800,
    "service": "s",
}
SERVICE = {"name": "s", "maxConnections": 9}
ENGINE = {"kvTokens": 1000, "roleSwitchS": 2, "kvBytes": 100, "linkMbps": 1000}
TARGET = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "north",
    "slots": 4,
    "state": "ready",
}


def changed(document):
    """Make a document of which some fields are gone or have any value."""
    fields = {name: st.just(value) | VALUES for name, value in document.items()}
    return st.fixed_dictionaries({}, optional=fields)


BACKENDS = st.lists(changed({"service": "s", "weight": 1.5}), max_size=2)
ROUTES = st.lists(
    st.tuples(changed(ROUTE), BACKENDS).map(
        lambda pair: pair[0] | {"weightedBackends": pair[1]}
    )
    | changed(ROUTE),
    max_size=2,
)
SERVICES = st.lists(
    st.tuples(changed(SERVICE), changed(ENGINE)).map(
        lambda pair: pair[0] | {"engine": pair[1]}
    ),
    max_size=2,
)
CONFIGURATIONS = st.fixed_dictionaries(
    {"version": st.integers(0, 9) | VALUES, "routes": ROUTES, "services": SERVICES}
).map(msgspec.json.encode)


def read(**route):
    document = {"version": 1, "routes": [ROUTE | route], "services": []}
    return PlatformDocuments().read_configuration(msgspec.json.encode(document))


class TestConfiguration:
    def test_route_that_leads_to_no_service_is_refused(self):
        backends = [{"service": "a", "weight": 0}, {"service": "b", "weight": 0}]
        found = read(weightedBackends=backends)
        assert isinstance(found.err(), DocumentInvalid)

    def test_service_without_a_share_gets_nothing(self):
        backends = [{"service": "a", "weight": 0}, {"service": "b", "weight": 1}]
        route = read(weightedBackends=backends).unwrap().match("h.example", "/p/x")
        assert route.unwrap().pick_service(Random(1)) == "b"

    @settings(max_examples=10_000, deadline=None)
    @given(document=CONFIGURATIONS | DOCUMENTS)
    def test_any_configuration_can_be_used_or_is_refused(self, document):
        found = PlatformDocuments().read_configuration(document)
        if isinstance(found, Err):
            assert isinstance(found.err_value, DocumentInvalid)
            return
        table = found.ok_value
        for route in table.routes_by_name.values():
            route.pick_service(Random(1))
            table.match(route.host, route.prefix)
        fleet = Fleet(PlacementSettings(), EjectionSettings(), Random(1))
        target = PlatformDocuments().read_target(
            "servers/e", msgspec.json.encode(TARGET)
        )
        estimate = fleet.put(target.unwrap())
        for service in table.services_by_name.values():
            estimate.set_model(service.engine)
            assert estimate.copy_time(1000) >= 0


class TestTarget:
    @pytest.mark.parametrize("address", ["", "10.0.0.1", "10.0.0.1:x", ":80", "a:0"])
    def test_target_that_cannot_be_called_is_refused(self, address):
        document = msgspec.json.encode(TARGET | {"address": address})
        found = PlatformDocuments().read_target("servers/e", document)
        assert isinstance(found.err(), DocumentInvalid)

    @settings(max_examples=10_000, deadline=None)
    @given(
        name=st.text(max_size=5),
        document=likely("phase", "born", **TARGET) | DOCUMENTS,
    )
    def test_any_entry_can_be_used_or_is_refused(self, name, document):
        found = PlatformDocuments().read_target(f"servers/{name}", document)
        if isinstance(found, Ok):
            target = found.ok_value
            split_address(target.address)
            headers = [("Host", target.address), ("Instance", target.target_id)]
            h11.Request(method="GET", target="/", headers=headers)
        else:
            assert isinstance(found.err_value, DocumentInvalid)
