"""Replays seeded traces under each policy on real processes and reports goodput."""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from tools.fleet import Fleet, call, wait_until
from tools.sites import site_configuration, start_targets
from tools.traces import SITES, make_trace, save

# Latency targets of a good answer in seconds: time to its first token, and the 95th
# percentile of the gaps between its tokens.
FIRST_TOKEN_TARGET = 1.0
TOKEN_GAP_TARGET = 0.036
POLICIES: dict[str, dict[str, Any]] = {
    "round_robin": {"routing": {"policy": "round_robin"}},
    "least_in_flight": {"routing": {"policy": "least_in_flight"}},
    "threshold": {
        "routing": {"policy": "least_in_flight", "split": True},
        "planner": {"policy": "threshold"},
    },
    "fixed_roles": {"routing": {"policy": "predicted_work"}},
    "current": {"planner": {"policy": "mix"}},
    "foresight": {"planner": {"policy": "fixed"}},
}
# Role in which engines are configured and started under a policy; default ``mixed``.
ROLE_BY_POLICY = {"current": "decode", "foresight": "decode"}
FAULTS: dict[str, Callable[[Fleet], None]] = {
    "engine_crash": lambda fleet: fleet.processes_by_name[first_engine(fleet)].kill(),
    "entry_killed": lambda fleet: fleet.processes_by_name["entry-2"].kill(),
    "outage": lambda fleet: _outage(fleet),
    "drain": lambda fleet: _drain(fleet),
}
FAULT_AT_SECONDS = 9.0
ROLE_CHANGE_SECONDS = 3.0
FORESIGHT_PREFILL_ENGINES = 2


def first_engine(fleet: Fleet) -> str:
    """Return the name of the first engine."""
    names = (name for name in fleet.processes_by_name if name.endswith("-1"))
    return next(name for name in names if not name.startswith(("entry", "sidecar")))


def _outage(fleet: Fleet) -> None:
    call(fleet.url("key_value", "/faults"), "PUT", {"down": True})


def _drain(fleet: Fleet) -> None:
    platform = str(fleet.folder / "platform.json")
    fleet.command("target", "drain", first_engine(fleet), "--platform", platform)


def run_once(
    site: str, policy: str, seed: int, fault: str | None = None, lag: float = 1.0
) -> dict[str, Any]:
    """
    Replay one trace under one policy.

    :param site: a key of ``SITES``.
    :param policy: a key of ``POLICIES``.
    :param seed: seed of the trace.
    :param fault: a key of ``FAULTS``, or ``None``.
    :param lag: delay of the engines' load reports in seconds.
    :returns: the report of :func:`summarize_run`, with the number and cost of role
        changes.
    """
    configuration = site_configuration(site)
    model_configuration = _models_only(configuration)
    role = ROLE_BY_POLICY.get(policy, "mixed")
    for target in model_configuration["targets"].values():
        target["role"] = role
    if policy == "foresight":
        # Shows what is achievable if the mix is known in advance: engines have the
        # roles that the trace's swings need from the start.
        for name in list(model_configuration["targets"])[:FORESIGHT_PREFILL_ENGINES]:
            model_configuration["targets"][name]["role"] = "prefill"
    with Fleet() as fleet:
        fleet.start_platform()
        targets = start_targets(
            fleet,
            model_configuration,
            *("--cache-blocks", "500", "--load-lag", str(lag), "--role", role),
        )
        data_centres = list(model_configuration["data_centres"])
        entries = ["entry-1", "entry-2"]
        for name, data_centre in zip(entries, data_centres, strict=False):
            fleet.start_entry(name, data_centre, **POLICIES[policy])
        fleet.apply(model_configuration)
        for name in entries:
            fleet.wait_ready(name, targets)
        _wait_settled(fleet, targets)
        if policy == "foresight":
            _wait_foresight_roles(fleet, targets)
        changes_before = sum(
            _engine_counters(fleet, name)["changes"] for name in targets
        )
        model = next(iter(model_configuration["models"]))
        results = _replay_trace(fleet, site, seed, model, entries, fault)
        engines = [_engine_counters(fleet, name) for name in targets]
    report = summarize_run(results)
    changes = sum(counters["changes"] for counters in engines) - changes_before
    report["role_changes"] = changes
    report["engine_seconds_lost"] = changes * ROLE_CHANGE_SECONDS
    report["cut_off"] = sum(counters["cut_off"] for counters in engines)
    return report


def _models_only(configuration: dict[str, Any]) -> dict[str, Any]:
    services = {
        name: service
        for name, service in configuration["services"].items()
        if service["kind"] == "model"
    }
    names = [name for service in services.values() for name in service["targets"]]
    targets = {name: configuration["targets"][name] for name in names}
    models = {name: {"version": "1"} for name in configuration["models"]}
    return {
        **configuration,
        "services": services,
        "targets": targets,
        "models": models,
    }


def _wait_settled(fleet: Fleet, targets: list[str]) -> None:
    """Wait until no engine executes an order that was issued at startup."""
    time.sleep(1.5)
    for name in targets:
        while call(fleet.url(name, "/state")).json["ordering"] is not None:
            time.sleep(0.1)


def _wait_foresight_roles(fleet: Fleet, targets: list[str]) -> None:
    """Wait until the prefill engines of the foresight policy have their role."""

    def has_roles() -> bool:
        return all(
            call(fleet.url(name, "/state")).json["role"] == "prefill"
            for name in targets[:FORESIGHT_PREFILL_ENGINES]
        )

    wait_until(has_roles, within=30.0, what="the foreseen roles")


def _replay_trace(
    fleet: Fleet, site: str, seed: int, model: str, entries: list[str], fault: Any
) -> list[dict[str, Any]]:
    trace_path = fleet.folder / "trace.json"
    results_path = fleet.folder / "results.json"
    trace_path.write_text(save(make_trace(site, seed)))
    addresses = [fleet.address(name) for name in entries]
    command = [
        sys.executable,
        "-m",
        "tools.openloop",
        str(trace_path),
        model,
        str(results_path),
    ]
    replayer = subprocess.Popen([*command, *addresses])
    timer = threading.Timer(FAULT_AT_SECONDS, lambda: FAULTS[fault](fleet))
    if fault is not None:
        timer.start()
    replayer.wait()
    timer.cancel()
    results: list[dict[str, Any]] = json.loads(results_path.read_text())
    return results


def _engine_counters(fleet: Fleet, name: str) -> dict[str, Any]:
    if not fleet.processes_by_name[name].is_running:
        return {"changes": 0, "cut_off": 0}
    state = call(fleet.url(name, "/state")).json
    return {"changes": len(state["orders_done"]), "cut_off": state["cut_off"]}


def summarize_run(results: list[dict[str, Any]]) -> dict[str, Any]:
    """
    Summarize a run.

    :param results: results of all requests, as ``tools.openloop`` writes them.
    :returns: for each kind of work its goodput and the failures by cause; and the
        fairness among callers.
    """
    report: dict[str, Any] = {"requests": len(results), "work": {}}
    for work in sorted({result["work"] for result in results}):
        work_results = [result for result in results if result["work"] == work]
        report["work"][work] = _summarize_work(work_results)
    report["fairness"] = _fairness(results)
    return report


def _summarize_work(results: list[dict[str, Any]]) -> dict[str, Any]:
    first_token_histogram = HdrHistogram(1, 60_000_000, 2)
    gap_histogram = HdrHistogram(1, 60_000_000, 2)
    counts = dict.fromkeys(
        ("good", "refused", "broken", "late_first", "slow_tokens", "both"), 0
    )
    for result in results:
        counts[_classify(result)] += 1
        if result["first"] is not None:
            first_token_histogram.record_value(max(1, int(result["first"] * 1e6)))
            gap_histogram.record_value(max(1, int(result["gap_p95"] * 1e6)))
    return {
        "requests": len(results),
        "goodput": counts["good"] / len(results),
        **counts,
        "first_p50_ms": first_token_histogram.get_value_at_percentile(50) / 1000,
        "first_p95_ms": first_token_histogram.get_value_at_percentile(95) / 1000,
        "gap_p50_ms": gap_histogram.get_value_at_percentile(50) / 1000,
        "gap_p95_ms": gap_histogram.get_value_at_percentile(95) / 1000,
    }


def _classify(result: dict[str, Any]) -> str:
    if result["status"] != 200:
        return "refused"
    if not result["is_whole"]:
        return "broken"
    is_late = result["first"] > FIRST_TOKEN_TARGET
    is_slow = result["gap_p95"] > TOKEN_GAP_TARGET
    if is_late and is_slow:
        return "both"
    if is_late:
        return "late_first"
    return "slow_tokens" if is_slow else "good"


def _fairness(results: list[dict[str, Any]]) -> float:
    """Compute Jain's fairness index over the callers' shares of good answers."""
    shares = []
    for caller in {result["caller"] for result in results}:
        caller_results = [result for result in results if result["caller"] == caller]
        shares.append(
            sum(_classify(result) == "good" for result in caller_results)
            / len(caller_results)
        )
    squares = sum(share**2 for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0


def summarize_seeds(runs: list[dict[str, Any]], work: str) -> dict[str, Any]:
    """Summarize the runs of one policy over all seeds, for one kind of work."""
    goodput = [run["work"][work]["goodput"] for run in runs]
    return {
        "goodput_mean": round(statistics.mean(goodput), 4),
        "goodput_each": [round(value, 4) for value in goodput],
        "role_changes": [run["role_changes"] for run in runs],
        "lost_to": {
            name: sum(run["work"][work][name] for run in runs)
            for name in ("refused", "broken", "late_first", "slow_tokens", "both")
        },
        "first_p95_ms": [round(run["work"][work]["first_p95_ms"]) for run in runs],
        "gap_p95_ms": [round(run["work"][work]["gap_p95_ms"]) for run in runs],
        "fairness": [round(run["fairness"], 3) for run in runs],
    }


def main() -> None:
    """Run every policy with each seed, and print the summary as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", default="jentera-lindung", choices=SITES)
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--fault", choices=FAULTS, default=None)
    parser.add_argument("--lag", type=float, default=1.0)
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    runs: dict[str, list[dict[str, Any]]] = {}
    for seed in range(options.seeds):
        for policy in options.policies.split(","):
            report = run_once(options.site, policy, seed, options.fault, options.lag)
            runs.setdefault(policy, []).append(report)
            goodput_by_work = {
                name: work["goodput"] for name, work in report["work"].items()
            }
            print(
                seed, policy, goodput_by_work, report["role_changes"], file=sys.stderr
            )
    work = SITES[options.site].short_work
    summary = {
        policy: summarize_seeds(reports, work) for policy, reports in runs.items()
    }
    print(json.dumps(summary, indent=2))
    if options.out:
        Path(options.out).write_text(json.dumps({"summary": summary, "runs": runs}))


if __name__ == "__main__":
    main()
