"""Generates documentation pages from code, or checks that they are up to date."""

from __future__ import annotations

import inspect
import re
import sys
from pathlib import Path
from typing import Any

import msgspec

from pimentolink import configuration, gatewaysettings, settings
from pimentolink.logs import LogEvent

DOCS = Path("docs")
REQUIRED_PAGES = ("index", "GLOSSARY", "OPERATIONS", "PROOFS", "CAPACITY", "HUNTS")
CONFIGURATION_TYPES: tuple[type[msgspec.Struct], ...] = (
    configuration.Configuration,
    configuration.DataCentreConfiguration,
    configuration.WorkConfiguration,
    configuration.ModelConfiguration,
    configuration.ServiceConfiguration,
    configuration.TargetConfiguration,
)
SETTINGS_TYPES: tuple[type[msgspec.Struct], ...] = (
    settings.EntrySettings,
    settings.SidecarSettings,
    settings.PlatformSettings,
    settings.LinkSettings,
    settings.CallerLimits,
    settings.RetrySettings,
    settings.RoutingSettings,
    settings.PlannerSettings,
    settings.QueueSettings,
    settings.ClaimSettings,
    settings.OrderSettings,
    gatewaysettings.GatewaySettings,
    gatewaysettings.UsageSettings,
    gatewaysettings.StoreSettings,
    gatewaysettings.ConnectionSettings,
    gatewaysettings.CallerSettings,
    gatewaysettings.PlacementSettings,
    gatewaysettings.RoleSettings,
    gatewaysettings.EjectionSettings,
    gatewaysettings.BudgetSettings,
)


def events_page() -> str:
    """Render the catalogue of log events."""
    lines = [
        "# Log events",
        "",
        "Made by `python -m tools.docs` from `pimentolink/logs.py`.",
        "",
        "| number | event | level | meaning |",
        "|---|---|---|---|",
    ]
    levels = {20: "info", 30: "warning", 40: "error"}
    for event in LogEvent:
        name = event.name.lower()
        level = levels[event.level]
        lines.append(f"| {event.number} | `{name}` | {level} | {event.meaning} |")
    return "\n".join(lines) + "\n"


def configuration_page() -> str:
    """Render the reference of configuration and settings."""
    lines = [
        "# Configuration and settings",
        "",
        "Made by `python -m tools.docs` from the types in",
        "`configuration`, `settings` and `gatewaysettings` of the package. All are",
        "JSON: one base file and an overlay for each site, merged as RFC 7396 says. A",
        "field with a default may be left out.",
        "",
        "## Configuration",
        "",
    ]
    for struct_type in CONFIGURATION_TYPES:
        lines += _section(struct_type)
    lines += ["## Settings of the processes", ""]
    for struct_type in SETTINGS_TYPES:
        lines += _section(struct_type)
    return "\n".join(lines)


def _section(struct_type: type[msgspec.Struct]) -> list[str]:
    text = inspect.getdoc(struct_type) or ""
    meanings = {
        name: " ".join(meaning.split())
        for name, meaning in re.findall(
            r":ivar (\w+): (.*?)(?=\n:ivar|\Z)", text, flags=re.DOTALL
        )
    }
    summary = text.split("\n\n")[0].split("\n:ivar")[0]
    lines = [
        f"### {struct_type.__name__}",
        "",
        summary,
        "",
        "| field | type | default | meaning |",
        "|---|---|---|---|",
    ]
    for field in msgspec.structs.fields(struct_type):
        name = field.name
        meaning = meanings.get(name, "")
        lines.append(
            f"| `{name}` | {_type_name(field.type)} | {_default(field)} | {meaning} |"
        )
    return [*lines, ""]


def _type_name(field_type: Any) -> str:
    schema = msgspec.json.schema(field_type)
    if "$ref" in schema:
        return f"`{schema['$ref'].rpartition('/')[2]}`"
    schema.pop("$defs", None)
    if "enum" in schema:
        return " or ".join(f"`{value}`" for value in schema["enum"])
    name = str(schema.get("type", "text or null"))
    bounds = [
        f"{sign} {schema[key]}"
        for key, sign in (
            ("minimum", "≥"),
            ("exclusiveMinimum", ">"),
            ("maximum", "≤"),
        )
        if key in schema
    ]
    return " ".join([name, *bounds])


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.default is not msgspec.NODEFAULT:
        return f"`{field.default}`"
    if field.default_factory is not msgspec.NODEFAULT:
        return "its defaults"
    return "needed"


def main() -> None:
    """Write the pages, or check them if ``--check`` is given."""
    pages = {"EVENTS": events_page(), "CONFIGURATION": configuration_page()}
    if "--check" not in sys.argv:
        for name, text in pages.items():
            (DOCS / f"{name}.md").write_text(text)
        return
    outdated_pages = [
        name
        for name, text in pages.items()
        if not (DOCS / f"{name}.md").exists()
        or (DOCS / f"{name}.md").read_text() != text
    ]
    missing_pages = [
        name for name in REQUIRED_PAGES if not (DOCS / f"{name}.md").exists()
    ]
    for name in outdated_pages:
        print(f"docs/{name}.md is outdated: run python -m tools.docs")
    for name in missing_pages:
        print(f"docs/{name}.md is missing")
    sys.exit(1 if outdated_pages or missing_pages else 0)


if __name__ == "__main__":
    main()
