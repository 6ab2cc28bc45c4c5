"""Starts a gateway on the users' platform: ``python3 -m pimentolink.platform.edge``."""

from __future__ import annotations

import os
import sys
from typing import Any

from result import Err

from pimentolink import logs
from pimentolink.directwrite import DirectEndpointReactor
from pimentolink.gateway import Gateway
from pimentolink.gatewaysettings import GatewaySettings
from pimentolink.platform.api import PlatformApi
from pimentolink.platform.dialect import PlatformDialect
from pimentolink.platform.documents import PlatformDocuments
from pimentolink.platform.store import PlatformStore
from pimentolink.process import Process
from pimentolink.settings import read_settings
from pimentolink.timers import ReactorTimers

SETTINGS_VARIABLE = "PIMENTOLINK_BOOT"
EXIT_INVALID = 2


def make_store(
    reactor: Any, settings: GatewaySettings
) -> tuple[PlatformStore, PlatformDocuments]:
    """
    Create the client of the platform's store and the parser of its documents.

    :param reactor: the Twisted reactor.
    :param settings: of a gateway, with the address of the store.
    :returns: both; no call is made yet.
    """
    direct = DirectEndpointReactor(reactor)
    timers = ReactorTimers(reactor)
    store = PlatformStore(direct, settings.store, settings.connections, timers)
    return store, PlatformDocuments()


def make_gateway(reactor: Any, settings: GatewaySettings, path: str) -> Gateway:
    """
    Create a gateway that uses the platform's store, API and headers.

    :param reactor: the Twisted reactor.
    :param settings: of the gateway.
    :param path: of the settings file, which the gateway reads again for changes.
    """
    store, documents = make_store(reactor, settings)
    usage_api = None
    if settings.usage is not None:
        usage_api = PlatformApi(
            DirectEndpointReactor(reactor),
            settings.usage.address,
            settings.connections,
            ReactorTimers(reactor),
        )
    return Gateway(
        reactor,
        settings,
        store,
        PlatformDialect(),
        documents,
        ReactorTimers(reactor),
        lambda: read_settings(GatewaySettings, [path]),
        usage_api,
    )


def run(path: str) -> int:
    """
    Run a gateway until it receives a stop signal.

    :param path: of the settings file.
    :returns: the exit code.
    """
    settings = read_settings(GatewaySettings, [path])
    if isinstance(settings, Err):
        print(settings.err_value, file=sys.stderr)
        return EXIT_INVALID
    logs.configure_bounded()
    from twisted.internet import reactor as installed

    reactor: Any = installed
    logs.log_unhandled_errors(logs.Log())
    process = Process(reactor, lambda loop: make_gateway(loop, settings.ok_value, path))
    reactor.callWhenRunning(process.start)
    reactor.run(installSignalHandlers=False)
    return process.exit_code


def main() -> int:
    """
    Run with the settings file named by the first argument or by the environment.

    :returns: the exit code.
    """
    path = sys.argv[1] if len(sys.argv) > 1 else os.environ[SETTINGS_VARIABLE]
    return run(path)


if __name__ == "__main__":
    sys.exit(main())
