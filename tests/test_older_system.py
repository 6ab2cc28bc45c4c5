"""Migration of a site: shifting a share of requests to the older system and back."""

import json

import pytest

from standins.engine import whole_answer
from tests.builders import TARGETS, configuration, start_targets
from tools.fleet import SHARED_KEY, Fleet, call, wait_until


@pytest.fixture(scope="module")
def site():
    with Fleet() as fleet:
        start_targets(fleet)
        fleet.start("older", "standins.older_system")
        fleet.start_entry("entry", "north")
        yield fleet


def set_older_share(fleet, share):
    """Apply a share and wait until the entry and every sidecar have adopted it."""
    document = configuration(older_system=fleet.address("older"))
    for service in document["services"].values():
        service["older_share"] = share
    for target in document["targets"].values():
        target["orders_from"] = "older_system"
    fleet.apply(document)
    headers = {"authorization": f"Bearer {SHARED_KEY}"}
    platform = str(fleet.folder / "platform.json")
    output = fleet.command("config", "show", "--platform", platform).stdout
    version = json.loads(output)["version"]

    def is_adopted():
        status = call(fleet.url("entry", "/pimentolink/status"), headers=headers).json
        logs = [
            process.log_path.read_text()
            for name, process in fleet.processes_by_name.items()
            if name.startswith("sidecar")
        ]
        adoption_event = f'"version": {version}, "event": "configuration_adopted"'
        return status["configuration_version"] == version and all(
            adoption_event in log for log in logs
        )

    wait_until(is_adopted, what="the share to be adopted")
    fleet.wait_ready("entry", TARGETS)


def call_dispatch(fleet, key):
    url = fleet.url("entry", "/services/dispatch/send")
    return call(url, "POST", key.encode(), {"idempotency-key": key})


def count_runs(fleet, key):
    """Return how often a key ran in this system and in the older one."""
    own_runs = sum(
        call(fleet.url(name, "/runs")).json.get(key, 0)
        for name in ("dispatch-1", "dispatch-2")
    )
    return own_runs, call(fleet.url("older", "/asked")).json.get(key, 0)


def test_share_is_stepped_up_and_back_and_no_call_runs_twice(site):
    set_older_share(site, 1.0)
    body = {"model": "claims", "prompt": "older", "max_tokens": 6}
    reply = call(site.url("entry", "/v1/completions"), "POST", body)
    assert reply.json["choices"][0]["text"] == whole_answer("older", 6)
    assert call(site.url("older", "/asked")).json["completions"] == 1
    assert call_dispatch(site, "early").json == {"older": True}

    set_older_share(site, 0.0)
    assert call_dispatch(site, "late").status == 200
    call_dispatch(site, "early")
    assert count_runs(site, "early") == (0, 1)
    assert count_runs(site, "late") == (1, 0)
    reply = call(site.url("entry", "/v1/completions"), "POST", body)
    assert call(site.url("older", "/asked")).json["completions"] == 1


def test_engines_of_the_older_system_get_no_orders(site):
    for name in ("engine-1", "engine-2"):
        assert call(site.url(name, "/state")).json["orders_done"] == []


def test_no_process_had_a_fault_of_its_own(site):
    assert site.faults() == []
