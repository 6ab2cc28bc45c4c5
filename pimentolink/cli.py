"""Command line interface: parses arguments, calls porcelain, prints results."""

from __future__ import annotations

import getpass
import json
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, NoReturn

import fire
import msgspec
from fire.decorators import SetParseFns
from result import Err, Result

from pimentolink import porcelain
from pimentolink.configuration import Configuration
from pimentolink.errors import ConfigurationInvalid, Failure
from pimentolink.gatewaysettings import GatewaySettings
from pimentolink.loganalysis import Analysis
from pimentolink.process import use_monotonic_clock
from pimentolink.settings import (
    EntrySettings,
    PlatformSettings,
    SidecarSettings,
    read_settings,
)

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 4


class ConfigCommands:
    """Check, compare and apply configurations."""

    def check(self, base: str, *overlays: str) -> None:
        """Check a base file merged with its overlays; exit code 2 if it has errors."""
        _check_or_exit(base, overlays)
        print("ok")

    def diff(self, base: str, *overlays: str, platform: str) -> None:
        """Compare a configuration with the accepted one."""
        configuration = _check_or_exit(base, overlays)
        services = _PlatformServices(platform)
        differences = services.run(
            porcelain.diff_configuration(services.store, configuration)
        )
        for item in differences:
            print(f"{item.path}: {_format(item.before)} -> {_format(item.after)}")

    def apply(
        self, base: str, *overlays: str, platform: str, against: int | None = None
    ) -> None:
        """Make a configuration the accepted one; exit code 4 if another came first."""
        configuration = _check_or_exit(base, overlays)
        services = _PlatformServices(platform)
        outcome = services.run(
            porcelain.apply_configuration(
                services.store, configuration, getpass.getuser(), against
            )
        )
        accepted = _unwrap_or_exit(outcome)
        print(f"version {accepted.version} accepted ({accepted.change_id})")

    def show(self, platform: str) -> None:
        """Print the accepted configuration as JSON."""
        services = _PlatformServices(platform)
        accepted = services.run(porcelain.show_configuration(services.store))
        if accepted is None:
            _exit_with(EXIT_FAILED, "no configuration is accepted yet")
        _print_json(msgspec.to_builtins(accepted))

    def history(self, platform: str, most: int = 20, json: bool = False) -> None:
        """List accepted configurations, newest first."""
        services = _PlatformServices(platform)
        versions = services.run(porcelain.configuration_history(services.store, most))
        rows = [
            {
                "version": accepted.version,
                "applied_at": accepted.applied_at,
                "author": accepted.author,
                "change_id": accepted.change_id,
            }
            for accepted in versions
        ]
        _print_rows(rows, json)


class TargetCommands:
    """Drain targets, or return them to service."""

    def drain(self, target: str, platform: str) -> None:
        """Send a target no new requests; it completes those that it has."""
        self._set_drained(target, True, platform)

    def restore(self, target: str, platform: str) -> None:
        """Return a drained target to service; ``return`` on the command line."""
        self._set_drained(target, False, platform)

    def _set_drained(self, target: str, is_drained: bool, platform: str) -> None:
        services = _PlatformServices(platform)
        outcome = services.run(
            porcelain.set_target_drained(
                services.store, target, is_drained, getpass.getuser()
            )
        )
        accepted = _unwrap_or_exit(outcome)
        state = "drained" if is_drained else "in service"
        print(f"{target} {state} as of version {accepted.version}")


class PlanCommands:
    """Show the desired state of engines."""

    def show(self, platform: str, json: bool = False) -> None:
        """List the role and the models that the plans assign to each engine."""
        services = _PlatformServices(platform)
        planned = services.run(porcelain.show_plans(services.store))
        _print_rows([target._asdict() for target in planned], json)


class RequestCommands:
    """Inspect single requests."""

    def trace(self, request: str, platform: str, key: str, json: bool = False) -> None:
        """List the spans of a traced request; ``key`` is the file of the shared key."""
        services = _PlatformServices(platform)
        spans = services.run(
            porcelain.trace_request(
                services.client, services.instances, _read_shared_key(key), request
            )
        )
        if json:
            _print_json(spans)
            return
        first = min((span["start"] for span in spans), default=0)
        rows = [
            {
                "span": span["name"],
                "process": span["process"],
                "at_ms": round((span["start"] - first) / 1e6, 2),
                "took_ms": round((span["end"] - span["start"]) / 1e6, 2),
                "details": span["attributes"],
            }
            for span in spans
        ]
        _print_rows(rows, False)


class Commands:
    """Serving system for a fixed fleet whose prompt-to-output mix shifts."""

    def __init__(self) -> None:
        """Create the groups of commands."""
        self.config = ConfigCommands()
        self.target = TargetCommands()
        self.plan = PlanCommands()
        self.request = RequestCommands()
        self.gateway = GatewayCommands()

    def entry(self, settings: str, *overlays: str) -> None:
        """Run an entry until SIGTERM."""
        from pimentolink.daemon import EntryDaemon, run

        entry_settings = _read_settings(EntrySettings, [settings, *overlays])
        sys.exit(run(lambda reactor: EntryDaemon(reactor, entry_settings)))

    def sidecar(self, settings: str, *overlays: str) -> None:
        """Run a sidecar until SIGTERM."""
        from pimentolink.daemon import SidecarDaemon, run

        sidecar_settings = _read_settings(SidecarSettings, [settings, *overlays])
        sys.exit(run(lambda reactor: SidecarDaemon(reactor, sidecar_settings)))

    def analyze(
        self, *logs: str, window: float = 2.0, plot: str = "", json: bool = False
    ) -> None:
        """
        Summarize engine utilisation from gateways' logs; exit code 2 without logs.

        :param window: length of a window in seconds.
        :param plot: SVG or PNG file to plot the windows to.
        """
        if not logs or window <= 0:
            _exit_with(EXIT_INVALID, "one log or more, and a window above 0 s")
        try:
            analysis = porcelain.analyze_logs(list(logs), window)
        except OSError as error:
            _exit_with(EXIT_INVALID, str(error))
        if plot:
            _plot_or_exit(analysis, plot)
        if json:
            _print_json(_to_document(analysis))
            return
        for title, rows in _to_document(analysis).items():
            if isinstance(rows, list):
                print(f"\n{title}")
                _print_rows([_flatten_row(row) for row in rows])
        print(
            f"\n{analysis.lines} lines, {analysis.unreadable} without what is told here"
        )

    def status(self, platform: str, key: str, json: bool = False) -> None:
        """Show the status of each listed entry; ``key`` is the shared key's file."""
        services = _PlatformServices(platform)
        outcomes = services.run(
            porcelain.status(services.client, services.instances, _read_shared_key(key))
        )
        statuses = [item.ok_value for item in outcomes if not isinstance(item, Err)]
        errors = [str(item.err_value) for item in outcomes if isinstance(item, Err)]
        if json:
            _print_json({"entries": statuses, "silent": errors})
            return
        _print_rows(
            [{k: v for k, v in item.items() if k != "targets"} for item in statuses],
            False,
        )
        for item in statuses:
            print(f"\ntargets as {item['instance']} knows them")
            _print_rows(item["targets"], False)
        for error in errors:
            print(error)


class GatewayCommands:
    """Run a gateway on the users' platform, or check and inspect one."""

    def run(self, settings: str) -> None:
        """Run a gateway until SIGTERM."""
        from pimentolink.platform.edge import run

        sys.exit(run(settings))

    def check(self, settings: str, configuration: str = "") -> None:
        """Check settings, and a platform configuration, without any network call."""
        _read_settings(GatewaySettings, [settings])
        if configuration:
            outcome = porcelain.check_platform_configuration(configuration)
            if isinstance(outcome, Err):
                _exit_with(EXIT_INVALID, str(outcome.err_value))
            table = outcome.ok_value
            routes = len(table.routes_by_name)
            print(f"version {table.version}, {routes} routes")
        print("ok")

    def status(self, settings: str, json: bool = False) -> None:
        """Show the deployment's status from the store named in a gateway's settings."""
        from pimentolink.platform.edge import make_store

        reactor = _get_reactor()
        store, documents = make_store(
            reactor, _read_settings(GatewaySettings, [settings])
        )
        deployment = _run_reactor(
            reactor, porcelain.deployment_status(store, documents)
        )
        targets = [
            target._asdict() | {"role": target.role.value}
            for target in deployment.targets
        ]
        gateways = [gateway._asdict() for gateway in deployment.gateways]
        suspects = [suspect._asdict() for suspect in deployment.suspects]
        if json:
            rows = {"targets": targets, "gateways": gateways, "suspects": suspects}
            _print_json(deployment._asdict() | rows)
            return
        print(
            f"configuration: version {deployment.version}, {deployment.routes} routes"
        )
        print(f"leader: {deployment.leader or 'nobody'}")
        print("\ntargets")
        _print_rows(targets)
        print("\ngateways")
        _print_rows(gateways)
        print("\nrequests held back for crashes of targets")
        _print_rows(suspects)
        for error in deployment.unreadable:
            print(error)

    @SetParseFns(fingerprint=str)
    def release(self, settings: str, fingerprint: str) -> None:
        """Release a request that is held back; ``status`` lists such requests."""
        from pimentolink.platform.edge import make_store

        reactor = _get_reactor()
        store, _ = make_store(reactor, _read_settings(GatewaySettings, [settings]))
        releasing = porcelain.release_suspect(store, fingerprint)
        crashes = _unwrap_or_exit(_run_reactor(reactor, releasing))
        print(f"{crashes} crashes are held against it no more")


class _PlatformServices:
    """Clients of the platform's services, for one command with its own event loop."""

    def __init__(self, path: str) -> None:
        from pimentolink.instances import HttpInstanceList
        from pimentolink.kvstore import HttpStore

        settings = _read_settings(PlatformSettings, [path])
        reactor = _get_reactor()
        self._reactor = reactor
        self.store = HttpStore(reactor, settings)
        self.instances = HttpInstanceList(reactor, settings)
        self.client = porcelain.HttpClient(reactor, settings.timeout)

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine to its end; exit with the error message if it fails."""
        return _run_reactor(self._reactor, coroutine)


def _get_reactor() -> Any:
    """Return the reactor, which times by the monotonic clock."""
    from twisted.internet import reactor

    use_monotonic_clock(reactor)
    return reactor


def _run_reactor(reactor: Any, coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run the reactor until a coroutine ends; exit with the message of a failure."""
    from twisted.internet.defer import Deferred

    outcome: list[Any] = []
    failures: list[BaseException] = []

    def start() -> None:
        pending: Any = Deferred.fromCoroutine(coroutine)
        pending.addCallbacks(
            outcome.append, lambda failure: failures.append(failure.value)
        )
        pending.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if failures and isinstance(failures[0], Failure):
        _exit_with(EXIT_FAILED, str(failures[0]))
    if failures:
        raise failures[0]
    return outcome[0]


def _check_or_exit(base: str, overlays: tuple[str, ...]) -> Configuration:
    outcome = porcelain.check_configuration(base, list(overlays))
    if isinstance(outcome, Err):
        _exit_invalid(outcome.err_value)
    return outcome.ok_value


def _unwrap_or_exit(outcome: Result[Any, Failure]) -> Any:
    if isinstance(outcome, Err):
        failure = outcome.err_value
        code = EXIT_CONFLICT if failure.status == 409 else EXIT_FAILED
        _exit_with(code, str(failure))
    return outcome.ok_value


def _read_settings(settings_type: Any, paths: list[str]) -> Any:
    outcome = read_settings(settings_type, paths)
    if isinstance(outcome, Err):
        _exit_with(EXIT_INVALID, str(outcome.err_value))
    return outcome.ok_value


def _read_shared_key(path: str) -> str:
    try:
        return Path(path).read_text().strip()
    except OSError as error:
        _exit_with(EXIT_INVALID, str(error))


def _exit_invalid(invalid: ConfigurationInvalid) -> NoReturn:
    lines = [str(problem) for problem in invalid.problems]
    _exit_with(EXIT_INVALID, "\n".join(lines))


def _exit_with(code: int, text: str) -> NoReturn:
    print(text, file=sys.stderr)
    sys.exit(code)


def _print_json(value: Any) -> None:
    print(json.dumps(value, indent=2))


def _print_rows(rows: list[dict[str, Any]], is_json: bool = False) -> None:
    if is_json:
        _print_json(rows)
        return
    if not rows:
        print("none")
        return
    names = list(rows[0])
    widths = [max(len(name), *(len(str(row[name])) for row in rows)) for name in names]
    for cells in [names, *([str(row[name]) for name in names] for row in rows)]:
        print(
            "  ".join(
                cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
            )
        )


def _plot_or_exit(analysis: Analysis, path: str) -> None:
    try:
        porcelain.plot_analysis(analysis, path)
    except ImportError:
        _exit_with(EXIT_INVALID, "plots need the extra 'report': pip install .[report]")
    except (OSError, ValueError) as error:
        _exit_with(EXIT_INVALID, f"{path}: {error}")


def _to_document(analysis: Analysis) -> dict[str, Any]:
    """Convert an analysis to builtin types, keyed by field name."""
    return {
        name: [row._asdict() for row in value] if isinstance(value, list) else value
        for name, value in analysis._asdict().items()
    }


def _flatten_row(row: dict[str, Any]) -> dict[str, Any]:
    """Format mappings within a row as ``key=value`` words."""
    return {
        name: " ".join(f"{key}={item}" for key, item in value.items())
        if isinstance(value, dict)
        else value
        for name, value in row.items()
    }


def _format(value: Any) -> str:
    return "absent" if value is None else json.dumps(value)


def main() -> None:
    """Parse the command line and run one command."""
    arguments = sys.argv[1:]
    if arguments[:2] == ["target", "return"]:
        # ``return`` is a keyword of Python, so the method has another name.
        arguments[1] = "restore"
    fire.Fire(Commands, command=arguments, name="pimentolink")


if __name__ == "__main__":
    main()
