"""The command line: exit codes and what it prints."""

import json
from pathlib import Path

import pytest

from tests.builders import configuration
from tools.fleet import Fleet, call, wait_until
from tools.platformworld import PlatformWorld

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.fixture(scope="module")
def platform():
    with Fleet() as fleet:
        fleet.start_platform()
        fleet.settle()
        yield fleet


def path_of(fleet, name, document):
    return str(fleet.write(name, document))


def run(fleet, *words):
    return fleet.command(*words, "--platform", str(fleet.folder / "platform.json"))


@pytest.mark.parametrize("site", ["jentera-lindung", "gorski-varuhi"])
def test_example_of_each_site_is_sound(platform, site):
    overlay = str(EXAMPLES / f"{site}.json")
    done = platform.command("config", "check", str(EXAMPLES / "base.json"), overlay)
    assert (done.returncode, done.stdout) == (0, "ok\n")


def test_faults_are_all_listed_and_nothing_is_written(platform):
    document = configuration(colour="red")
    document["work"]["triage"]["priority"] = 12
    before = call(platform.url("key_value", "/calls")).json
    done = run(platform, "config", "apply", path_of(platform, "bad", document))
    assert done.returncode == 2
    assert sorted(line.split(": ")[1] for line in done.stderr.splitlines()) == [
        "key_unknown",
        "value_out_of_range",
    ]
    assert call(platform.url("key_value", "/calls")).json == before


def test_apply_show_diff_history_and_a_lost_race(platform):
    first = path_of(platform, "first", configuration())
    changed = configuration()
    changed["targets"]["engine-1"]["drained"] = True
    second = path_of(platform, "second", changed)
    assert run(platform, "config", "apply", first).returncode == 0
    assert (
        run(platform, "config", "diff", second).stdout
        == "/targets/engine-1/drained: absent -> true\n"
    )
    assert run(platform, "config", "apply", second).returncode == 0
    lost = run(platform, "config", "apply", first, "--against", "1")
    assert lost.returncode == 4
    assert lost.stderr.startswith("configuration_conflict: version 2 by ")
    shown = json.loads(run(platform, "config", "show").stdout)
    assert shown["version"] == 2
    listed = json.loads(run(platform, "config", "history", "--json").stdout)
    assert [item["version"] for item in listed] == [2, 1]


def test_unknown_target_is_a_typed_error(platform):
    run(platform, "config", "apply", path_of(platform, "first", configuration()))
    done = run(platform, "target", "drain", "nobody")
    assert done.returncode == 1
    assert done.stderr == "/targets/nobody: reference_unknown: no target nobody\n"


def test_missing_file_and_missing_platform(platform):
    assert platform.command("config", "check", "/nowhere.json").returncode == 2
    assert platform.command("entry", "/nowhere.json").returncode == 2


def test_service_that_does_not_answer_is_said(platform):
    call(platform.url("key_value", "/faults"), "PUT", {"down": True})
    try:
        done = run(platform, "config", "show")
        assert done.returncode == 1
        assert done.stderr.startswith("key_value_unavailable")
    finally:
        call(platform.url("key_value", "/faults"), "PUT", {"down": False})


class TestGateway:
    def test_settings_and_configuration_are_checked_without_a_call(self, fleet):
        told = {
            "instance": "g",
            "data_centre": "north",
            "listen": "127.0.0.1:1",
            "readiness": "127.0.0.1:2",
            "peers": "127.0.0.1:3",
            "metrics": "127.0.0.1:4",
            "store": {"address": "127.0.0.1:5"},
        }
        settings = str(fleet.write("gateway", told))
        document = str(fleet.write("config", {"version": 7, "routes": []}))
        done = fleet.command("gateway", "check", settings, "--configuration", document)
        assert done.returncode == 0
        assert done.stdout == "version 7, 0 routes\nok\n"

    def test_faults_end_with_their_own_exit_code(self, fleet):
        settings = str(fleet.write("gateway", {"instance": "g"}))
        assert fleet.command("gateway", "check", settings).returncode == 2

    def test_status_tells_what_the_store_lists(self, fleet):
        world = PlatformWorld(fleet)
        world.start_usual()
        settings = str(fleet.folder / "gateway.json")

        def listed():
            done = fleet.command("gateway", "status", settings, "--json")
            assert done.returncode == 0, done.stderr
            found = json.loads(done.stdout)
            return found if found["gateways"] else None

        wait_until(listed, what="the gateway to be listed")
        found = listed()
        assert (found["version"], found["routes"]) == (1, 5)
        assert {target["target_id"] for target in found["targets"]} == {
            "reader",
            "writer",
            "plain-1",
            "plain-2",
        }
        assert [item["name"] for item in found["gateways"]] == ["gateway"]
        shown = fleet.command("gateway", "status", settings).stdout
        assert shown.startswith("configuration: version 1, 5 routes\n")

    def test_status_says_that_the_store_does_not_answer(self, fleet):
        world = PlatformWorld(fleet)
        world.configure(1)
        fleet.start_gateway("gateway")
        world.fault("store", down="reset")
        done = fleet.command("gateway", "status", str(fleet.folder / "gateway.json"))
        assert done.returncode == 1
        assert done.stderr.startswith("key_value_unavailable")
