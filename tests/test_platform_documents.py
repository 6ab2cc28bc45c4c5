"""Tests parsing of valid and invalid documents of the platform's store."""

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
from tests.jsonvalues import DOCUMENTS, VALUES, documents_with

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


def variants_of(document):
    """Generate variants of a document: fields may be missing or have any value."""
    fields = {name: st.just(value) | VALUES for name, value in document.items()}
    return st.fixed_dictionaries({}, optional=fields)


BACKENDS = st.lists(variants_of({"service": "s", "weight": 1.5}), max_size=2)
ROUTES = st.lists(
    st.tuples(variants_of(ROUTE), BACKENDS).map(
        lambda pair: pair[0] | {"weightedBackends": pair[1]}
    )
    | variants_of(ROUTE),
    max_size=2,
)
SERVICES = st.lists(
    st.tuples(variants_of(SERVICE), variants_of(ENGINE)).map(
        lambda pair: pair[0] | {"engine": pair[1]}
    ),
    max_size=2,
)
CONFIGURATIONS = st.fixed_dictionaries(
    {"version": st.integers(0, 9) | VALUES, "routes": ROUTES, "services": SERVICES}
).map(msgspec.json.encode)


def read_route(**route):
    document = {"version": 1, "routes": [ROUTE | route], "services": []}
    return PlatformDocuments().read_configuration(msgspec.json.encode(document))


class TestConfiguration:
    def test_route_that_leads_to_no_service_is_refused(self):
        backends = [{"service": "a", "weight": 0}, {"service": "b", "weight": 0}]
        parsed = read_route(weightedBackends=backends)
        assert isinstance(parsed.err(), DocumentInvalid)

    def test_service_without_a_share_gets_nothing(self):
        backends = [{"service": "a", "weight": 0}, {"service": "b", "weight": 1}]
        route = (
            read_route(weightedBackends=backends).unwrap().match("h.example", "/p/x")
        )
        assert route.unwrap().pick_service(Random(1)) == "b"

    @settings(max_examples=10_000, deadline=None)
    @given(document=CONFIGURATIONS | DOCUMENTS)
    def test_any_configuration_can_be_used_or_is_refused(self, document):
        parsed = PlatformDocuments().read_configuration(document)
        if isinstance(parsed, Err):
            assert isinstance(parsed.err_value, DocumentInvalid)
            return
        table = parsed.ok_value
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
        parsed = PlatformDocuments().read_target("servers/e", document)
        assert isinstance(parsed.err(), DocumentInvalid)

    @settings(max_examples=10_000, deadline=None)
    @given(
        name=st.text(max_size=5),
        document=documents_with("phase", "born", **TARGET) | DOCUMENTS,
    )
    def test_any_entry_can_be_used_or_is_refused(self, name, document):
        parsed = PlatformDocuments().read_target(f"servers/{name}", document)
        if isinstance(parsed, Ok):
            target = parsed.ok_value
            split_address(target.address)
            headers = [("Host", target.address), ("Instance", target.target_id)]
            h11.Request(method="GET", target="/", headers=headers)
        else:
            assert isinstance(parsed.err_value, DocumentInvalid)
