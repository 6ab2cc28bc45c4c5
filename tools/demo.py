"""Demonstrates both users' sites on loopback."""

from __future__ import annotations

from typing import Any

from standins.engine import whole_answer
from tools.fleet import Fleet, Reply, call, wait_until
from tools.sites import SITES, site_configuration, start_targets

POLICY = "Clause 4: a harvester that stops in season is repaired on the field. "


def main() -> None:
    """Run the sites one after the other."""
    for site in SITES:
        with Fleet() as fleet:
            print(f"\n{site}")
            run_site(fleet, site)
    print("\nall processes have ended")


def run_site(fleet: Fleet, site: str) -> None:
    """Start a site, send typical requests, and stop it."""
    configuration = site_configuration(site)
    fleet.start_platform()
    targets = start_targets(fleet, configuration)
    data_centres = list(configuration["data_centres"])
    for name, data_centre in zip(("entry-1", "entry-2"), data_centres, strict=False):
        fleet.start_entry(name, data_centre, trace_ratio=1.0, planner={"policy": "mix"})
    fleet.apply(configuration)
    for entry in ("entry-1", "entry-2"):
        fleet.wait_ready(entry, targets)
    print(f"  {len(targets)} targets, 2 entries; configuration applied")
    model = next(iter(configuration["models"]))
    request_id = ask_model(fleet, model)
    ask_plain(fleet, configuration)
    drain(fleet, targets[0])
    wait_until(lambda: trace(fleet, request_id), what="the trace")
    print(trace(fleet, request_id))
    stop(fleet)


def ask_model(fleet: Fleet, model: str) -> str:
    """Request a completion; return the request id."""
    prompt = POLICY * 30
    body = {"model": model, "prompt": prompt, "max_tokens": 20}
    reply = call(fleet.url("entry-1", "/v1/completions"), "POST", body)
    text = reply.json["choices"][0]["text"]
    is_whole = text == whole_answer(prompt, 20)
    print(f"  {model}: status {reply.status}, 20 tokens, whole: {is_whole}")
    return reply.headers["pimentolink-request"]


def ask_plain(fleet: Fleet, configuration: dict[str, Any]) -> None:
    """Send a non-idempotent call under the same idempotency key to both entries."""
    name = next(
        name
        for name, service in configuration["services"].items()
        if service["kind"] == "plain"
    )
    replies: list[Reply] = []
    for entry in ("entry-1", "entry-2"):
        url = fleet.url(entry, f"/services/{name}/send")
        headers = {"idempotency-key": "call-1"}
        replies.append(call(url, "POST", {"to": "field 7"}, headers))
    runs = sum(
        sum(call(fleet.url(target, "/runs")).json.values())
        for target in configuration["services"][name]["targets"]
    )
    statuses = [reply.status for reply in replies]
    print(f"  {name}: asked twice under one key, statuses {statuses}, ran {runs} time")


def drain(fleet: Fleet, target: str) -> None:
    """Drain a target and return it to service."""
    platform = str(fleet.folder / "platform.json")
    for action in ("drain", "return"):
        result = fleet.command("target", action, target, "--platform", platform)
        print(f"  {result.stdout.strip()}")


def trace(fleet: Fleet, request_id: str) -> str:
    """Return the trace of a request, or nothing until it contains the sidecar."""
    key = fleet.folder / "key.txt"
    key.write_text("a shared key for loopback only")
    platform = str(fleet.folder / "platform.json")
    result = fleet.command(
        "request", "trace", request_id, "--platform", platform, "--key", str(key)
    )
    return result.stdout if "sidecar" in result.stdout else ""


def stop(fleet: Fleet) -> None:
    """Stop all processes of the product gracefully, entries first."""
    names = sorted(fleet.processes_by_name, key=lambda name: "entry" not in name)
    product_processes = [
        name for name in names if name.startswith(("entry", "sidecar"))
    ]
    exit_codes = {fleet.processes_by_name[name].stop() for name in product_processes}
    print(
        f"  {len(product_processes)} processes stopped, exit codes {sorted(exit_codes)}"
    )


if __name__ == "__main__":
    main()
