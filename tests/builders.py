"""A small site for tests: its configuration and its processes."""

import copy
from typing import Any

from tools.fleet import Fleet

SMALL_SITE: dict[str, Any] = {
    "site": "small",
    "data_centres": {"north": {"region": "east"}, "south": {"region": "east"}},
    "work": {
        "triage": {"priority": 0, "patience": 20},
        "contract_check": {"priority": 6, "patience": 60},
        "dispatch": {"priority": 0, "patience": 10},
    },
    "models": {"claims": {"version": "1"}},
    "services": {
        "claims": {
            "kind": "model",
            "targets": ["engine-1", "engine-2"],
            "work": "triage",
            "models": ["claims"],
        },
        "dispatch": {
            "kind": "plain",
            "targets": ["dispatch-1", "dispatch-2"],
            "work": "dispatch",
            "repeatable": False,
            "claim_partitions": 1,
        },
    },
    "targets": {
        "engine-1": {"data_centre": "north"},
        "engine-2": {"data_centre": "south"},
        "dispatch-1": {"data_centre": "north"},
        "dispatch-2": {"data_centre": "south"},
    },
}
TARGETS = list(SMALL_SITE["targets"])


def start_targets(fleet: Fleet, *engine_options: str) -> None:
    """Start the platform and each target of the small site with its sidecar."""
    fleet.start_platform()
    for name, target in SMALL_SITE["targets"].items():
        if name.startswith("engine"):
            fleet.start(name, "standins.engine", *engine_options)
        else:
            fleet.start(name, "standins.plain_service")
        fleet.start_sidecar(name, target["data_centre"])


def configuration(**changes: Any) -> dict[str, Any]:
    """Return the configuration of the small site with top-level keys replaced."""
    return {**copy.deepcopy(SMALL_SITE), **changes}
