"""What operators can do, one plain function for each command."""

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
from pimentolink.membership import Documents
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
from pimentolink.suspicion import KEEP

CHANGE_TRIES = 5


class Difference(NamedTuple):
    """One difference between two configurations; ``None`` stands for absent."""

    path: str
    before: Any
    after: Any


def check_platform_configuration(path: str) -> Result[RoutingTable, DocumentInvalid]:
    """
    Check a configuration of the users' platform, as its operator writes it.

    :param path: of the document.
    :returns: the routes that a gateway would follow, or what is wrong.
    """
    # Imported here: other commands do not need the platform's formats.
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
    Check a base file with its overlays.

    :param base: path of the base file.
    :param overlays: paths of the overlays.
    :returns: the configuration, or every fault in it.
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

    :param store: the key-value service.
    :param configuration: checked.
    :raises KeyValueUnavailable: without an answer.
    """
    accepted = await ConfigurationStore(store).read()
    before = msgspec.to_builtins(accepted.configuration) if accepted else {}
    after = msgspec.to_builtins(configuration)
    return [Difference(*found) for found in differences(before, after)]


async def apply_configuration(
    store: KeyValueStore,
    configuration: Configuration,
    author: str,
    against: int | None = None,
) -> Result[AcceptedConfiguration, Failure]:
    """
    Put a configuration into force.

    :param store: the key-value service.
    :param configuration: checked.
    :param author: who applies it.
    :param against: version it was made against; the one read now if ``None``.
    :returns: what was accepted, or who came first.
    :raises KeyValueUnavailable: without an answer before the write.
    """
    repository = ConfigurationStore(store)
    if against is None:
        accepted = await repository.read()
        against = accepted.version if accepted else 0
    now = datetime.now(UTC).isoformat(timespec="seconds")
    return await repository.replace(configuration, against, uuid4().hex, author, now)


async def show_configuration(store: KeyValueStore) -> AcceptedConfiguration | None:
    """Read the accepted configuration."""
    return await ConfigurationStore(store).read()


async def configuration_history(
    store: KeyValueStore, most: int = 20
) -> list[AcceptedConfiguration]:
    """Read accepted configurations, the newest first."""
    return await ConfigurationStore(store).history(most)


async def set_target_drained(
    store: KeyValueStore, target: str, is_drained: bool, author: str
) -> Result[AcceptedConfiguration, Failure]:
    """
    Keep a target from new work, or let it have some again.

    Tries again when another operator's change comes between.

    :param store: the key-value service.
    :param target: its name.
    :param is_drained: whether to keep it from new work.
    :param author: who asks.
    """
    outcome: Result[AcceptedConfiguration, Failure] = Err(
        ReferenceUnknown(f"/targets/{target}", "no configuration is accepted yet")
    )
    for _ in range(CHANGE_TRIES):
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
    keyspace: Keyspace, documents: Documents
) -> DeploymentStatus:
    """
    Read how a deployment stands, as its gateways see it.

    :param keyspace: the store.
    :param documents: reads its documents.
    :raises KeyValueUnavailable: without an answer.
    """
    return StatusReader(documents).read(await keyspace.read_all(""))


async def release_suspect(
    keyspace: Keyspace, fingerprint: str
) -> Result[int, DocumentInvalid | WriteConflict]:
    """
    Let a request be sent again that gateways hold back for crashes of targets.

    :param fingerprint: as log lines and :func:`deployment_status` name it.
    :returns: how many crashes are held against it no more.
    :raises KeyValueUnavailable: without an answer.
    """
    stored = StoredSuspects()
    for item in (await keyspace.read_all(SUSPECT_PREFIX)).items:
        found = read_json(item.value, SuspectDocument)
        if not isinstance(found, Err):
            stored.take(found.ok_value)
    crashes = stored.crashes_by_fingerprint().get(fingerprint, [])
    if not crashes:
        return Err(DocumentInvalid(f"nothing is held against {fingerprint}"))
    key = clearing_key(fingerprint)
    before = await keyspace.read(key)
    expected = before.revision if before is not None else 0
    document = SuspectDocument([SuspectCleared(fingerprint, crashes[:MAX_CRASHES])])
    lease = await keyspace.grant(KEEP)
    write = Write(key, msgspec.json.encode(document), expected, lease)
    if await keyspace.write(write) is None:
        return Err(WriteConflict("another operator released it at the same time"))
    return Ok(len(crashes))


class PlannedTarget(NamedTuple):
    """What a plan wants of one target."""

    service: str
    region: str
    target: str
    role: str
    models: dict[str, str]
    plan: int


async def show_plans(store: KeyValueStore) -> list[PlannedTarget]:
    """
    Read the plans of every group.

    :param store: the key-value service.
    :raises KeyValueUnavailable: without an answer.
    """
    accepted = await ConfigurationStore(store).read()
    found: list[PlannedTarget] = []
    if accepted is None:
        return found
    for group in groups_of(accepted.configuration):
        plan = decode_plan((await store.get(group.plan_key)).data)
        found += [
            PlannedTarget(*group, name, wanted.role, wanted.models, wanted.number)
            for name, wanted in plan.wanted_by_target.items()
        ]
    return found


async def trace_request(
    client: HttpClient, instances: InstanceList, shared_key: str, request_id: str
) -> list[dict[str, Any]]:
    """
    Collect the spans of a request from all entries.

    :param client: makes the calls.
    :param instances: the platform's list.
    :param shared_key: proof that the asker belongs to the system.
    :param request_id: as the answer's ``pimentolink-request`` header names it.
    :returns: spans by start; none if the request was not traced or is forgotten.
    """
    path = f"{TRACE_PREFIX}{request_id}"
    asked = await _ask_entries(client, instances, shared_key, path)
    told = [item.ok_value for item in asked if not isinstance(item, Err)]
    return sorted((span for spans in told for span in spans), key=lambda s: s["start"])


async def status(
    client: HttpClient, instances: InstanceList, shared_key: str
) -> list[Result[dict[str, Any], Failure]]:
    """
    Ask every listed entry how it is.

    :param client: makes the calls.
    :param instances: the platform's list.
    :param shared_key: proof that the asker belongs to the system.
    :returns: what each tells, or why it does not answer.
    """
    return await _ask_entries(client, instances, shared_key, STATUS_PATH)


async def _ask_entries(
    client: HttpClient, instances: InstanceList, shared_key: str, path: str
) -> list[Result[Any, Failure]]:
    headers = {"authorization": f"Bearer {shared_key}"}
    found: list[Result[Any, Failure]] = []
    for instance in await instances.read(ENTRY):
        url = f"http://{instance.address}{path}"
        try:
            answer = await client.request("GET", url, headers=headers, patience=2.0)
        except Exception as error:
            found.append(Err(Failure(f"{instance.name}: {type(error).__name__}")))
            continue
        if answer.status == 200:
            found.append(Ok(json.loads(answer.body)))
        else:
            found.append(Err(Failure(f"{instance.name}: status {answer.status}")))
    return found


def analyze_logs(paths: list[str], window: float) -> Analysis:
    """
    Sum up the logs of some gateways.

    :param paths: of files with their lines.
    :param window: seconds of each window.
    :raises OSError: if a file cannot be read.
    """
    with ExitStack() as stack:
        files = [stack.enter_context(Path(path).open()) for path in paths]
        return analyze(chain.from_iterable(files), window)


def plot_analysis(found: Analysis, path: str) -> None:
    """
    Draw prompts placed and refused, and how busy engines were.

    :param path: of the SVG or PNG file.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (prompts, engines) = pyplot.subplots(2, sharex=True, figsize=(9, 6))
    begins = [window.begins for window in found.windows]
    for name in ("placed", "refused", "refused_idle"):
        values = [getattr(window, name) for window in found.windows]
        prompts.step(begins, values, where="post", label=name)
    for name in sorted({key for item in found.windows for key in item.busy_by_engine}):
        values = [item.busy_by_engine.get(name, 0.0) for item in found.windows]
        engines.step(begins, values, where="post", label=name)
    prompts.set_ylabel("prompts")
    engines.set_ylabel("share of time reading")
    engines.set_xlabel("seconds")
    prompts.legend(fontsize="small")
    engines.legend(fontsize="x-small", ncol=2)
    figure.savefig(path)
    pyplot.close(figure)
