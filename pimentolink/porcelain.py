"""Operator commands as plain functions, one for each command of the CLI."""

from __future__ import annotations

import json
from contextlib import ExitStack
from datetime import UTC, datetime
from itertools import chain
from pathlib import Path
from typing import Any, NamedTuple
from uuid import uuid4

import msgspec
from result import Err, Ok, Result

from pimentolink.callers import STATUS_PATH, TRACE_PREFIX
from pimentolink.configstore import ConfigurationStore
from pimentolink.configuration import (
    AcceptedConfiguration,
    Configuration,
    check,
    differences,
    read_documents,
)
from pimentolink.crashhistory import CRASH_TTL
from pimentolink.deploymentstatus import DeploymentStatus, StatusReader
from pimentolink.errors import (
    ConfigurationConflict,
    ConfigurationInvalid,
    DocumentInvalid,
    Failure,
    ReferenceUnknown,
    WriteConflict,
)
from pimentolink.httpclient import HttpClient
from pimentolink.instances import ENTRY, InstanceList
from pimentolink.jsondocument import read_json
from pimentolink.keyspace import Keyspace, Write
from pimentolink.kvstore import KeyValueStore
from pimentolink.loganalysis import Analysis, analyze
from pimentolink.membership import DocumentReader
from pimentolink.peermessages import MAX_CRASHES, SuspectCleared
from pimentolink.plan import decode_plan, groups_of
from pimentolink.routes import RoutingTable
from pimentolink.settings import merge_documents
from pimentolink.suspectstore import (
    SUSPECT_PREFIX,
    StoredSuspects,
    SuspectDocument,
    clearing_key,
)

MAX_WRITE_ATTEMPTS = 5


class Difference(NamedTuple):
    """
    One difference between two configurations.

    :ivar path: JSON pointer to the value.
    :ivar before: old value; ``None`` if absent.
    :ivar after: new value; ``None`` if absent.
    """

    path: str
    before: Any
    after: Any


def check_platform_configuration(path: str) -> Result[RoutingTable, DocumentInvalid]:
    """
    Validate a configuration in the format of the users' platform.

    :param path: path of the document.
    :returns: the routing table that a gateway would use, or the error.
    """
    # Imported here because no other command needs the platform's formats.
    from pimentolink.platform.documents import PlatformDocuments

    try:
        document = Path(path).read_bytes()
    except OSError as error:
        return Err(DocumentInvalid(f"{path}: {error}"))
    return PlatformDocuments().read_configuration(document)


def check_configuration(
    base: str, overlays: list[str]
) -> Result[Configuration, ConfigurationInvalid]:
    """
    Validate a base file merged with its overlays.

    :param base: path of the base file.
    :param overlays: paths of the overlays.
    :returns: the configuration, or every error found in it.
    """
    documents = read_documents([base, *overlays])
    if isinstance(documents, Err):
        return documents
    return check(merge_documents(documents.ok_value))


async def diff_configuration(
    store: KeyValueStore, configuration: Configuration
) -> list[Difference]:
    """
    Compare a configuration with the accepted one.

    :param store: client of the key-value service.
    :param configuration: validated configuration.
    :raises KeyValueUnavailable: if the key-value service does not respond.
    """
    accepted = await ConfigurationStore(store).read()
    before = msgspec.to_builtins(accepted.configuration) if accepted else {}
    after = msgspec.to_builtins(configuration)
    return [Difference(*difference) for difference in differences(before, after)]


async def apply_configuration(
    store: KeyValueStore,
    configuration: Configuration,
    author: str,
    against: int | None = None,
) -> Result[AcceptedConfiguration, Failure]:
    """
    Make a configuration the accepted one.

    :param store: client of the key-value service.
    :param configuration: validated configuration.
    :param author: user name recorded with the change.
    :param against: version that must still be the accepted one, or the write is
        rejected; ``None`` for the version that is accepted now.
    :returns: the accepted configuration, or a conflict that names the author of the
        version accepted in the meantime.
    :raises KeyValueUnavailable: if the key-value service does not respond before the
        write is sent.
    """
    config_store = ConfigurationStore(store)
    if against is None:
        accepted = await config_store.read()
        against = accepted.version if accepted else 0
    now = datetime.now(UTC).isoformat(timespec="seconds")
    return await config_store.replace(configuration, against, uuid4().hex, author, now)


async def show_configuration(store: KeyValueStore) -> AcceptedConfiguration | None:
    """Read the accepted configuration."""
    return await ConfigurationStore(store).read()


async def configuration_history(
    store: KeyValueStore, limit: int = 20
) -> list[AcceptedConfiguration]:
    """Read up to ``limit`` accepted configurations, newest first."""
    return await ConfigurationStore(store).history(limit)


async def set_target_drained(
    store: KeyValueStore, target: str, is_drained: bool, author: str
) -> Result[AcceptedConfiguration, Failure]:
    """
    Drain a target, or return it to service.

    A drained target gets no new requests. Retries if another operator changes the
    configuration concurrently.

    :param store: client of the key-value service.
    :param target: name of the target.
    :param is_drained: whether the target is to be drained.
    :param author: user name recorded with the change.
    """
    outcome: Result[AcceptedConfiguration, Failure] = Err(
        ReferenceUnknown(f"/targets/{target}", "no configuration is accepted yet")
    )
    for _ in range(MAX_WRITE_ATTEMPTS):
        accepted = await ConfigurationStore(store).read()
        if accepted is None:
            return outcome
        document = msgspec.to_builtins(accepted.configuration)
        if target not in document["targets"]:
            return Err(ReferenceUnknown(f"/targets/{target}", f"no target {target}"))
        document["targets"][target]["drained"] = is_drained
        changed = msgspec.convert(document, Configuration)
        outcome = await apply_configuration(store, changed, author, accepted.version)
        if not isinstance(outcome, Err) or not isinstance(
            outcome.err_value, ConfigurationConflict
        ):
            return outcome
    return outcome


async def deployment_status(
    keyspace: Keyspace, documents: DocumentReader
) -> DeploymentStatus:
    """
    Read the status of a deployment from the store that its gateways use.

    :param keyspace: client of the store.
    :param documents: parser for the documents in the store.
    :raises KeyValueUnavailable: if the store does not respond.
    """
    return StatusReader(documents).read(await keyspace.read_all(""))


async def release_suspect(
    keyspace: Keyspace, fingerprint: str
) -> Result[int, DocumentInvalid | WriteConflict]:
    """
    Release a request that gateways hold back because it may crash targets.

    :param keyspace: client of the store.
    :param fingerprint: fingerprint of the request, as in log lines and in the result
        of :func:`deployment_status`.
    :returns: number of crashes that no longer count against the request.
    :raises KeyValueUnavailable: if the store does not respond.
    """
    suspects = StoredSuspects()
    for item in (await keyspace.read_all(SUSPECT_PREFIX)).items:
        parsed = read_json(item.value, SuspectDocument)
        if not isinstance(parsed, Err):
            suspects.add(parsed.ok_value)
    crashes = suspects.crashes_by_fingerprint().get(fingerprint, [])
    if not crashes:
        return Err(DocumentInvalid(f"nothing is held against {fingerprint}"))
    key = clearing_key(fingerprint)
    clearing = await keyspace.read(key)
    expected_revision = clearing.revision if clearing is not None else 0
    document = SuspectDocument([SuspectCleared(fingerprint, crashes[:MAX_CRASHES])])
    lease = await keyspace.grant(CRASH_TTL)
    write = Write(key, msgspec.json.encode(document), expected_revision, lease)
    if await keyspace.write(write) is None:
        return Err(WriteConflict("another operator released it at the same time"))
    return Ok(len(crashes))


class PlannedTarget(NamedTuple):
    """
    Desired state of one target according to a plan.

    :ivar models: desired version of each model, by model name.
    :ivar plan: number of the plan that last changed this target.
    """

    service: str
    region: str
    target: str
    role: str
    models: dict[str, str]
    plan: int


async def show_plans(store: KeyValueStore) -> list[PlannedTarget]:
    """
    Read the plans of all groups.

    :param store: client of the key-value service.
    :raises KeyValueUnavailable: if the key-value service does not respond.
    """
    accepted = await ConfigurationStore(store).read()
    planned: list[PlannedTarget] = []
    if accepted is None:
        return planned
    for group in groups_of(accepted.configuration):
        plan = decode_plan((await store.get(group.plan_key)).data)
        planned += [
            PlannedTarget(*group, name, desired.role, desired.models, desired.number)
            for name, desired in plan.wanted_by_target.items()
        ]
    return planned


async def trace_request(
    client: HttpClient, instances: InstanceList, shared_key: str, request_id: str
) -> list[dict[str, Any]]:
    """
    Collect the spans of a request from all entries.

    :param client: HTTP client.
    :param instances: the platform's list of instances.
    :param shared_key: key that authenticates components of the system to each other.
    :param request_id: value of the response header ``pimentolink-request``.
    :returns: spans ordered by start time; empty if the request was not traced or its
        spans were discarded.
    """
    path = f"{TRACE_PREFIX}{request_id}"
    responses = await _query_entries(client, instances, shared_key, path)
    span_lists = [
        response.ok_value for response in responses if not isinstance(response, Err)
    ]
    return sorted(
        (span for spans in span_lists for span in spans), key=lambda s: s["start"]
    )


async def status(
    client: HttpClient, instances: InstanceList, shared_key: str
) -> list[Result[dict[str, Any], Failure]]:
    """
    Request the status of every listed entry.

    :param client: HTTP client.
    :param instances: the platform's list of instances.
    :param shared_key: key that authenticates components of the system to each other.
    :returns: status of each entry, or why it could not be read.
    """
    return await _query_entries(client, instances, shared_key, STATUS_PATH)


async def _query_entries(
    client: HttpClient, instances: InstanceList, shared_key: str, path: str
) -> list[Result[Any, Failure]]:
    headers = {"authorization": f"Bearer {shared_key}"}
    responses: list[Result[Any, Failure]] = []
    for instance in await instances.read(ENTRY):
        url = f"http://{instance.address}{path}"
        try:
            response = await client.request("GET", url, headers=headers, patience=2.0)
        except Exception as error:
            responses.append(Err(Failure(f"{instance.name}: {type(error).__name__}")))
            continue
        if response.status == 200:
            responses.append(Ok(json.loads(response.body)))
        else:
            responses.append(Err(Failure(f"{instance.name}: status {response.status}")))
    return responses


def analyze_logs(paths: list[str], window: float) -> Analysis:
    """
    Analyze the logs of some gateways.

    :param paths: paths of the log files.
    :param window: length of a window in seconds.
    :raises OSError: if a file cannot be read.
    """
    with ExitStack() as stack:
        files = [stack.enter_context(Path(path).open()) for path in paths]
        return analyze(chain.from_iterable(files), window)


def plot_analysis(analysis: Analysis, path: str) -> None:
    """
    Plot the prompts placed and refused and the utilisation of engines by window.

    :param path: path of the SVG or PNG file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (prompts, engines) = pyplot.subplots(2, sharex=True, figsize=(9, 6))
    window_starts = [window.begins for window in analysis.windows]
    for name in ("placed", "refused", "refused_idle"):
        values = [getattr(window, name) for window in analysis.windows]
        prompts.step(window_starts, values, where="post", label=name)
    for name in sorted(
        {key for item in analysis.windows for key in item.busy_by_engine}
    ):
        values = [item.busy_by_engine.get(name, 0.0) for item in analysis.windows]
        engines.step(window_starts, values, where="post", label=name)
    prompts.set_ylabel("prompts")
    engines.set_ylabel("share of time reading")
    engines.set_xlabel("seconds")
    prompts.legend(fontsize="small")
    engines.legend(fontsize="x-small", ncol=2)
    figure.savefig(path)
    pyplot.close(figure)
