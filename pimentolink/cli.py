"""The command line: parses, calls porcelain, prints."""

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
        """Check a base file with its overlays; exit code 2 if it has faults."""
        _checked(base, overlays)
        print("ok")

    def diff(self, base: str, *overlays: str, platform: str) -> None:
        """Compare a configuration with the accepted one."""
        configuration = _checked(base, overlays)
        store = _Platform(platform)
        found = store.run(porcelain.diff_configuration(store.store, configuration))
        for item in found:
            print(f"{item.path}: {_short(item.before)} -> {_short(item.after)}")

    def apply(
        self, base: str, *overlays: str, platform: str, against: int | None = None
    ) -> None:
        """Put a configuration into force; exit code 4 if another came first."""
        configuration = _checked(base, overlays)
        store = _Platform(platform)
        outcome = store.run(
            porcelain.apply_configuration(
                store.store, configuration, getpass.getuser(), against
            )
        )
        accepted = _accepted(outcome)
        print(f"version {accepted.version} accepted ({accepted.change_id})")

    def show(self, platform: str) -> None:
        """Print the accepted configuration as JSON."""
        store = _Platform(platform)
        accepted = store.run(porcelain.show_configuration(store.store))
        if accepted is None:
            _end(EXIT_FAILED, "no configuration is accepted yet")
        _print_json(msgspec.to_builtins(accepted))

    def history(self, platform: str, most: int = 20, json: bool = False) -> None:
        """List accepted configurations, the newest first."""
        store = _Platform(platform)
        versions = store.run(porcelain.configuration_history(store.store, most))
        rows = [
            {
                "version": item.version,
                "applied_at": item.applied_at,
                "author": item.author,
                "change_id": item.change_id,
            }
            for item in versions
        ]
        _print_rows(rows, json)


class TargetCommands:
    """Keep targets from new work, or let them have some again."""

    def drain(self, target: str, platform: str) -> None:
        """Keep a target from new work; what it has, it finishes."""
        self._set(target, True, platform)

    def restore(self, target: str, platform: str) -> None:
        """Let a target have new work again; ``return`` on the command line."""
        self._set(target, False, platform)

    def _set(self, target: str, is_drained: bool, platform: str) -> None:
        store = _Platform(platform)
        outcome = store.run(
            porcelain.set_target_drained(
                store.store, target, is_drained, getpass.getuser()
            )
        )
        accepted = _accepted(outcome)
        state = "drained" if is_drained else "in service"
        print(f"{target} {state} as of version {accepted.version}")


class PlanCommands:
    """Look at what engines should be."""

    def show(self, platform: str, json: bool = False) -> None:
        """List what the plans want of each engine."""
        store = _Platform(platform)
        planned = store.run(porcelain.show_plans(store.store))
        _print_rows([target._asdict() for target in planned], json)


class RequestCommands:
    """Look at single requests."""

    def trace(self, request: str, platform: str, key: str, json: bool = False) -> None:
        """List the hops of a traced request; ``key`` is the shared key's file."""
        store = _Platform(platform)
        spans = store.run(
            porcelain.trace_request(
                store.client, store.instances, _read_key(key), request
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
        """Group the commands."""
        self.config = ConfigCommands()
        self.target = TargetCommands()
        self.plan = PlanCommands()
        self.request = RequestCommands()
        self.gateway = GatewayCommands()

    def entry(self, settings: str, *overlays: str) -> None:
        """Run an entry until SIGTERM."""
        from pimentolink.daemon import EntryDaemon, run

        read = _read(EntrySettings, [settings, *overlays])
        sys.exit(run(lambda reactor: EntryDaemon(reactor, read)))

    def sidecar(self, settings: str, *overlays: str) -> None:
        """Run a sidecar until SIGTERM."""
        from pimentolink.daemon import SidecarDaemon, run

        read = _read(SidecarSettings, [settings, *overlays])
        sys.exit(run(lambda reactor: SidecarDaemon(reactor, read)))

    def analyze(
        self, *logs: str, window: float = 2.0, plot: str = "", json: bool = False
    ) -> None:
        """
        Tell from gateways' logs how engines were used; exit code 2 without logs.

        :param window: seconds of each window.
        :param plot: SVG or PNG file for the windows.
        """
        if not logs or window <= 0:
            _end(EXIT_INVALID, "one log or more, and a window above 0 s")
        try:
            found = porcelain.analyze_logs(list(logs), window)
        except OSError as error:
            _end(EXIT_INVALID, str(error))
        if plot:
            _plot(found, plot)
        if json:
            _print_json(_document(found))
            return
        for title, rows in _document(found).items():
            if isinstance(rows, list):
                print(f"\n{title}")
                _print_rows([_flat(row) for row in rows])
        print(f"\n{found.lines} lines, {found.unreadable} without what is told here")

    def status(self, platform: str, key: str, json: bool = False) -> None:
        """Ask every listed entry how it is; ``key`` is the shared key's file."""
        store = _Platform(platform)
        found = store.run(
            porcelain.status(store.client, store.instances, _read_key(key))
        )
        told = [item.ok_value for item in found if not isinstance(item, Err)]
        silent = [str(item.err_value) for item in found if isinstance(item, Err)]
        if json:
            _print_json({"entries": told, "silent": silent})
            return
        _print_rows(
            [{k: v for k, v in item.items() if k != "targets"} for item in told], False
        )
        for item in told:
            print(f"\ntargets as {item['instance']} knows them")
            _print_rows(item["targets"], False)
        for line in silent:
            print(line)


class GatewayCommands:
    """Run a gateway on the users' platform, or check what it would run on."""

    def run(self, settings: str) -> None:
        """Run a gateway until SIGTERM."""
        from pimentolink.platform.edge import run

        sys.exit(run(settings))

    def check(self, settings: str, configuration: str = "") -> None:
        """Check settings, and a configuration of the platform, without any call."""
        _read(GatewaySettings, [settings])
        if configuration:
            found = porcelain.check_platform_configuration(configuration)
            if isinstance(found, Err):
                _end(EXIT_INVALID, str(found.err_value))
            table = found.ok_value
            routes = len(table.routes_by_name)
            print(f"version {table.version}, {routes} routes")
        print("ok")

    def status(self, settings: str, json: bool = False) -> None:
        """Show what the store of a gateway's settings tells of the deployment."""
        from twisted.internet import reactor as default_reactor

        from pimentolink.platform.edge import make_store

        reactor: Any = default_reactor
        store, documents = make_store(reactor, _read(GatewaySettings, [settings]))
        found = _run(reactor, porcelain.deployment_status(store, documents))
        targets = [
            target._asdict() | {"role": target.role.value} for target in found.targets
        ]
        gateways = [gateway._asdict() for gateway in found.gateways]
        suspects = [suspect._asdict() for suspect in found.suspects]
        if json:
            rows = {"targets": targets, "gateways": gateways, "suspects": suspects}
            _print_json(found._asdict() | rows)
            return
        print(f"configuration: version {found.version}, {found.routes} routes")
        print(f"leader: {found.leader or 'nobody'}")
        print("\ntargets")
        _print_rows(targets)
        print("\ngateways")
        _print_rows(gateways)
        print("\nrequests held back for crashes of targets")
        _print_rows(suspects)
        for line in found.unreadable:
            print(line)

    @SetParseFns(fingerprint=str)
    def release(self, settings: str, fingerprint: str) -> None:
        """Let a request be sent again that is held back; ``status`` lists them."""
        from twisted.internet import reactor as default_reactor

        from pimentolink.platform.edge import make_store

        reactor: Any = default_reactor
        store, _ = make_store(reactor, _read(GatewaySettings, [settings]))
        releasing = porcelain.release_suspect(store, fingerprint)
        crashes = _accepted(_run(reactor, releasing))
        print(f"{crashes} crashes are held against it no more")


class _Platform:
    """The platform's services, used for one command on a loop of its own."""

    def __init__(self, path: str) -> None:
        from twisted.internet import reactor as default_reactor

        from pimentolink.instances import HttpInstanceList
        from pimentolink.kvstore import HttpStore

        settings = _read(PlatformSettings, [path])
        reactor: Any = default_reactor
        self._reactor = reactor
        self.store = HttpStore(reactor, settings)
        self.instances = HttpInstanceList(reactor, settings)
        self.client = porcelain.HttpClient(reactor, settings.timeout)

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run to the end; a failure ends the process with its text."""
        return _run(self._reactor, coroutine)


def _run(reactor: Any, coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run the loop until a coroutine ends; a failure ends the process with its text."""
    from twisted.internet.defer import Deferred

    outcome: list[Any] = []
    failures: list[BaseException] = []

    def begin() -> None:
        pending: Any = Deferred.fromCoroutine(coroutine)
        pending.addCallbacks(
            outcome.append, lambda failure: failures.append(failure.value)
        )
        pending.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    if failures and isinstance(failures[0], Failure):
        _end(EXIT_FAILED, str(failures[0]))
    if failures:
        raise failures[0]
    return outcome[0]


def _checked(base: str, overlays: tuple[str, ...]) -> Configuration:
    outcome = porcelain.check_configuration(base, list(overlays))
    if isinstance(outcome, Err):
        _end_invalid(outcome.err_value)
    return outcome.ok_value


def _accepted(outcome: Result[Any, Failure]) -> Any:
    if isinstance(outcome, Err):
        failure = outcome.err_value
        code = EXIT_CONFLICT if failure.status == 409 else EXIT_FAILED
        _end(code, str(failure))
    return outcome.ok_value


def _read(settings_type: Any, paths: list[str]) -> Any:
    outcome = read_settings(settings_type, paths)
    if isinstance(outcome, Err):
        _end(EXIT_INVALID, str(outcome.err_value))
    return outcome.ok_value


def _read_key(path: str) -> str:
    try:
        return Path(path).read_text().strip()
    except OSError as error:
        _end(EXIT_INVALID, str(error))


def _end_invalid(invalid: ConfigurationInvalid) -> NoReturn:
    lines = [str(problem) for problem in invalid.problems]
    _end(EXIT_INVALID, "\n".join(lines))


def _end(code: int, text: str) -> NoReturn:
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


def _plot(found: Analysis, path: str) -> None:
    try:
        porcelain.plot_analysis(found, path)
    except ImportError:
        _end(EXIT_INVALID, "plots need the extra 'report': pip install .[report]")
    except (OSError, ValueError) as error:
        _end(EXIT_INVALID, f"{path}: {error}")


def _document(found: Analysis) -> dict[str, Any]:
    """Write an analysis with the names of its fields."""
    return {
        name: [row._asdict() for row in value] if isinstance(value, list) else value
        for name, value in found._asdict().items()
    }


def _flat(row: dict[str, Any]) -> dict[str, Any]:
    """Write tables within a row as words."""
    return {
        name: " ".join(f"{key}={item}" for key, item in value.items())
        if isinstance(value, dict)
        else value
        for name, value in row.items()
    }


def _short(value: Any) -> str:
    return "absent" if value is None else json.dumps(value)


def main() -> None:
    """Parse the command line and run one command."""
    arguments = sys.argv[1:]
    if arguments[:2] == ["target", "return"]:
        # ``return`` is a keyword, so the method has another name.
        arguments[1] = "restore"
    fire.Fire(Commands, command=arguments, name="pimentolink")


if __name__ == "__main__":
    main()
