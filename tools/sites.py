"""Starts the sites of the example configurations on loopback addresses."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from pimentolink.settings import merge_documents
from tools.fleet import Fleet

EXAMPLES = Path(__file__).parent.parent / "examples"
SITES = ("jentera-lindung", "gorski-varuhi")


def site_configuration(site: str) -> dict[str, Any]:
    """Return the base configuration merged with a site's overlay."""
    paths = [EXAMPLES / "base.json", EXAMPLES / f"{site}.json"]
    return merge_documents([json.loads(path.read_text()) for path in paths])


def start_targets(
    fleet: Fleet, configuration: dict[str, Any], *engine_options: str, **extra: Any
) -> list[str]:
    """
    Start every target of a configuration with its sidecar.

    :param engine_options: further command line options of each engine.
    :param extra: further settings of each sidecar.
    :returns: names of the targets.
    """
    models = {name: model["version"] for name, model in configuration["models"].items()}
    for service in configuration["services"].values():
        for name in service["targets"]:
            target = configuration["targets"][name]
            if service["kind"] == "model":
                role = target.get("role", "mixed")
                options = ["--models", json.dumps(models), "--role", role]
                options += engine_options
                if target.get("checks_fencing"):
                    options.append("--checks-fencing")
                fleet.start(name, "standins.engine", *options)
            else:
                fleet.start(name, "standins.plain_service")
            fleet.start_sidecar(name, target["data_centre"], **extra)
    return list(configuration["targets"])
