"""Exit codes and output of the command line."""

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


def write_document(fleet, name, document):
    return str(fleet.write(name, document))


def run_on_platform(fleet, *arguments):
    return fleet.command(*arguments, "--platform", str(fleet.folder / "platform.json"))


@pytest.mark.parametrize("site", ["jentera-lindung", "gorski-varuhi"])
def test_example_of_each_site_is_sound(platform, site):
    overlay = str(EXAMPLES / f"{site}.json")
    result = platform.command("config", "check", str(EXAMPLES / "base.json"), overlay)
    assert (result.returncode, result.stdout) == (0, "ok\n")


def test_faults_are_all_listed_and_nothing_is_written(platform):
    document = configuration(colour="red")
    document["work"]["triage"]["priority"] = 12
    calls_before = call(platform.url("key_value", "/calls")).json
    result = run_on_platform(
        platform, "config", "apply", write_document(platform, "bad", document)
    )
    assert result.returncode == 2
    assert sorted(line.split(": ")[1] for line in result.stderr.splitlines()) == [
        "key_unknown",
        "value_out_of_range",
    ]
    assert call(platform.url("key_value", "/calls")).json == calls_before


def test_apply_show_diff_history_and_a_lost_race(platform):
    first_path = write_document(platform, "first", configuration())
    changed = configuration()
    changed["targets"]["engine-1"]["drained"] = True
    second_path = write_document(platform, "second", changed)
    assert run_on_platform(platform, "config", "apply", first_path).returncode == 0
    assert (
        run_on_platform(platform, "config", "diff", second_path).stdout
        == "/targets/engine-1/drained: absent -> true\n"
    )
    assert run_on_platform(platform, "config", "apply", second_path).returncode == 0
    conflict = run_on_platform(
        platform, "config", "apply", first_path, "--against", "1"
    )
    assert conflict.returncode == 4
    assert conflict.stderr.startswith("configuration_conflict: version 2 by ")
    shown = json.loads(run_on_platform(platform, "config", "show").stdout)
    assert shown["version"] == 2
    versions = json.loads(
        run_on_platform(platform, "config", "history", "--json").stdout
    )
    assert [item["version"] for item in versions] == [2, 1]


def test_unknown_target_is_a_typed_error(platform):
    run_on_platform(
        platform, "config", "apply", write_document(platform, "first", configuration())
    )
    result = run_on_platform(platform, "target", "drain", "nobody")
    assert result.returncode == 1
    assert result.stderr == "/targets/nobody: reference_unknown: no target nobody\n"


def test_missing_file_and_missing_platform(platform):
    assert platform.command("config", "check", "/nowhere.json").returncode == 2
    assert platform.command("entry", "/nowhere.json").returncode == 2


def test_service_that_does_not_answer_is_said(platform):
    call(platform.url("key_value", "/faults"), "PUT", {"down": True})
    try:
        result = run_on_platform(platform, "config", "show")
        assert result.returncode == 1
        assert result.stderr.startswith("key_value_unavailable")
    finally:
        call(platform.url("key_value", "/faults"), "PUT", {"down": False})


class TestGateway:
    def test_settings_and_configuration_are_checked_without_a_call(self, fleet):
        document = {
            "instance": "g",
            "data_centre": "north",
            "listen": "127.0.0.1:1",
            "readiness": "127.0.0.1:2",
            "peers": "127.0.0.1:3",
            "metrics": "127.0.0.1:4",
            "store": {"address": "127.0.0.1:5"},
        }
        settings_path = str(fleet.write("gateway", document))
        configuration_path = str(fleet.write("config", {"version": 7, "routes": []}))
        result = fleet.command(
            "gateway", "check", settings_path, "--configuration", configuration_path
        )
        assert result.returncode == 0
        assert result.stdout == "version 7, 0 routes\nok\n"

    def test_faults_end_with_their_own_exit_code(self, fleet):
        settings = str(fleet.write("gateway", {"instance": "g"}))
        assert fleet.command("gateway", "check", settings).returncode == 2

    def test_status_tells_what_the_store_lists(self, fleet):
        world = PlatformWorld(fleet)
        world.start_default()
        settings_path = str(fleet.folder / "gateway.json")

        def read_status():
            result = fleet.command("gateway", "status", settings_path, "--json")
            assert result.returncode == 0, result.stderr
            status = json.loads(result.stdout)
            return status if status["gateways"] else None

        wait_until(read_status, what="the gateway to be listed")
        status = read_status()
        assert (status["version"], status["routes"]) == (1, 5)
        assert {target["target_id"] for target in status["targets"]} == {
            "reader",
            "writer",
            "plain-1",
            "plain-2",
        }
        assert [item["name"] for item in status["gateways"]] == ["gateway"]
        shown = fleet.command("gateway", "status", settings_path).stdout
        assert shown.startswith("configuration: version 1, 5 routes\n")

    def test_status_says_that_the_store_does_not_answer(self, fleet):
        world = PlatformWorld(fleet)
        world.configure(1)
        fleet.start_gateway("gateway")
        world.fault("store", down="reset")
        result = fleet.command("gateway", "status", str(fleet.folder / "gateway.json"))
        assert result.returncode == 1
        assert result.stderr.startswith("key_value_unavailable")
