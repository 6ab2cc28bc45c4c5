"""Settings of the processes: one JSON base file and overlays, checked as a whole."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import json_merge_patch
import msgspec
from msgspec import Meta, Struct, field
from result import Err, Ok, Result

from pimentolink.errors import SettingsInvalid

Seconds = Annotated[float, Meta(gt=0, description="seconds")]
Count = Annotated[int, Meta(ge=1)]
Ratio = Annotated[float, Meta(ge=0, le=1)]
Address = Annotated[
    str,
    Meta(
        pattern=r"^(\[[0-9a-f:.]+\]|[0-9]{1,3}(\.[0-9]{1,3}){3}):[0-9]{1,5}\Z",
        description="IP number and port",
    ),
]


class PlatformSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Where the platform's services are and how patient calls to them are.

    :ivar key_value: address of the key-value service.
    :ivar instance_list: address of the list of instances.
    :ivar timeout: seconds until a call counts as unanswered.
    :ivar watch_wait: seconds that one waiting watch lasts.
    :ivar backoff_first: seconds of the first pause after a failed call.
    :ivar backoff_most: seconds of the longest pause.
    :ivar breaker_failures: calls unanswered in a row after which the key-value
        service is not asked for a while.
    :ivar list_interval: seconds between two readings of the list.
    """

    key_value: Address
    instance_list: Address
    timeout: Seconds = 2.0
    watch_wait: Seconds = 30.0
    backoff_first: Seconds = 0.1
    backoff_most: Seconds = 2.0
    breaker_failures: Count = 3
    list_interval: Seconds = 1.0


class LinkSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    The connections between entries and sidecars.

    :ivar heartbeat: seconds between load reports of an idle sidecar.
    :ivar load_interval: seconds between load reports of a busy one.
    :ivar most_links: sidecars that an entry attaches to, those of its data centre
        first; beyond it each entry takes its own choice of them.
    :ivar silence: seconds without a message after which a link counts as lost.
    :ivar reconnect: seconds between attempts to attach.
    :ivar most_pending: bytes kept for a slow peer before its link is dropped.
    """

    heartbeat: Seconds = 3.0
    load_interval: Seconds = 0.25
    silence: Seconds = 8.0
    reconnect: Seconds = 0.5
    most_pending: Count = 16_000_000
    most_links: Count = 512


class CallerLimits(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Bounds on what callers may ask of one entry.

    :ivar body_bytes: largest body.
    :ivar in_flight: requests in work at once.
    :ivar buffered_bytes: bytes that the system may keep for a caller that reads
        slowly, before reading from its target is paused.
    :ivar stall: seconds that a caller may leave its answer unread.
    :ivar request_head: seconds a caller may take to send a request.
    """

    body_bytes: Count = 4_000_000
    in_flight: Count = 4_000
    buffered_bytes: Count = 65_536
    stall: Seconds = 30.0
    request_head: Seconds = 30.0


class RetrySettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    When an attempt is repeated.

    :ivar attempts: most attempts of one request.
    :ivar budget_ratio: retries allowed for each request, on average.
    :ivar budget_reserve: retries allowed beyond the ratio.
    :ivar backoff_first: seconds before the first retry after a refusal.
    :ivar backoff_most: seconds of the longest pause between attempts.
    :ivar progress: seconds without a token after which a stream moves elsewhere.
    """

    attempts: Count = 4
    budget_ratio: Ratio = 0.2
    budget_reserve: Count = 20
    backoff_first: Seconds = 0.02
    backoff_most: Seconds = 1.0
    progress: Seconds = 5.0


class RoutingSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    How a target is chosen.

    :ivar policy: how a target is preferred.
    :ivar split: whether engines in the role ``prefill`` read long prompts and hand
        their KV cache on to engines that write the answer.
    :ivar split_from: tokens of prompt work from which on that is done.
    :ivar prefill_rate: prompt tokens a second of an engine in the role ``mixed``.
    :ivar prefill_role_rate: the same in the role ``prefill``.
    :ivar decode_role_rate: the same in the role ``decode``.
    :ivar stream_cost: seconds that each answer under way counts for.
    :ivar interference: seconds that each answer under way counts for against reading
        a long prompt beside it.
    :ivar reader_preference: seconds of delay accepted at an engine in the role
        ``prefill`` before a long prompt is read elsewhere.
    :ivar misplaced_cost: seconds that work in the wrong role counts for.
    :ivar remote_penalty: seconds that another data centre counts for.
    :ivar prefixes_kept: beginnings of prompts remembered, with where they were read.
    :ivar sample: targets compared for one request when there are many.
    :ivar ejection_failures: failures in a row that eject a target.
    :ivar ejection_time: seconds of the first ejection; it doubles.
    :ivar ejection_most: seconds of the longest ejection.
    """

    policy: Literal["predicted_work", "least_in_flight", "round_robin"] = (
        "predicted_work"
    )
    split: bool = True
    split_from: Count = 1_024
    prefill_rate: Count = 14_000
    prefill_role_rate: Count = 19_000
    decode_role_rate: Count = 4_500
    stream_cost: Seconds = 0.01
    interference: Seconds = 0.03
    reader_preference: Seconds = 0.5
    misplaced_cost: Seconds = 3.0
    remote_penalty: Seconds = 0.005
    prefixes_kept: Count = 20_000
    sample: Count = 8
    ejection_failures: Count = 3
    ejection_time: Seconds = 1.0
    ejection_most: Seconds = 30.0


class PlannerSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Planning the roles of engines.

    :ivar interval: seconds between two looks at the groups of the region.
    :ivar lease: seconds that the duty for a group lasts unless renewed.
    :ivar ask_again: seconds, about, until an entry without the duty asks for it again;
        half as much again at most, which bounds how long a lost planner is missed.
    :ivar most_changing: engines of a group that may be out of service for orders.
    :ivar lost_after: seconds without a link after which an engine under a change
        counts as lost and no longer holds up the others.
    :ivar policy: ``fixed`` keeps the configured roles, ``mix`` follows the mix,
        ``threshold`` follows it at once (a baseline).
    :ivar engine_rate: tokens of long prompts that one engine in the role ``prefill``
        is to read in a second, with room for bursts.
    :ivar smoothing: seconds over which the demand is averaged.
    :ivar horizon: seconds for which a peak of the demand is expected to come again.
        This is the price of a change: the longer, the fewer changes.
    :ivar margin: engines by which the demand must exceed what is there.
    """

    interval: Seconds = 0.5
    lease: Seconds = 10.0
    ask_again: Seconds = 20.0
    most_changing: Count = 1
    lost_after: Seconds = 60.0
    policy: Literal["fixed", "mix", "threshold"] = "fixed"
    engine_rate: Count = 12_000
    smoothing: Seconds = 1.0
    horizon: Seconds = 300.0
    margin: Ratio = 0.15


class EntrySettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Settings of an entry.

    :ivar instance: name of this instance.
    :ivar data_centre: where it stands.
    :ivar listen: address for callers.
    :ivar leave_delay: seconds that the balancer gets to notice a stop.
    :ivar shared_key: secret that processes of the system prove themselves with.
    :ivar stop_within: seconds that a graceful stop may take.
    :ivar trace_ratio: share of requests whose spans are written out.
    """

    instance: str
    data_centre: str
    listen: Address
    shared_key: Annotated[str, Meta(min_length=16)]
    platform: PlatformSettings
    links: LinkSettings = field(default_factory=LinkSettings)
    limits: CallerLimits = field(default_factory=CallerLimits)
    retry: RetrySettings = field(default_factory=RetrySettings)
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    planner: PlannerSettings = field(default_factory=PlannerSettings)
    leave_delay: Seconds = 2.0
    stop_within: Seconds = 60.0
    trace_ratio: Ratio = 0.0


class QueueSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    The queue before one target.

    :ivar slots: requests that the target works on at once.
    :ivar waiting: requests that may wait.
    :ivar aging: seconds of waiting that raise a request by one priority.
    """

    slots: Count = 32
    waiting: Count = 256
    aging: Seconds = 20.0


class ClaimSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Claims on calls that may not be repeated.

    :ivar commit_interval: seconds between two writes of one partition.
    :ivar retention: seconds that a claim is kept.
    :ivar most: claims kept in one partition.
    :ivar answers: answers kept in memory for callers that ask again.
    """

    commit_interval: Seconds = 0.1
    retention: Seconds = 86_400.0
    most: Count = 5_000
    answers: Count = 1_000


class OrderSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Carrying out the plan.

    :ivar timeout: seconds after which an order counts as lost.
    :ivar spread: seconds over which sidecars that start together read the plan.
    :ivar quiet: seconds a new sidecar waits for its predecessor's orders to land.
    """

    timeout: Seconds = 60.0
    quiet: Seconds = 1.0
    spread: Seconds = 10.0


class SidecarSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Settings of a sidecar.

    :ivar instance: name of this instance.
    :ivar data_centre: where it stands.
    :ivar listen: address for entries; held as the target's one slot.
    :ivar advertise: address that entries are told, if it is not ``listen``.
    :ivar target: name of the target beside it.
    :ivar target_address: where the target listens.
    :ivar shared_key: secret that processes of the system prove themselves with.
    :ivar target_timeout: seconds until a call to the target counts as unanswered.
    :ivar probe_interval: seconds between two probes of the target.
    :ivar probes_missed: probes unanswered in a row after which it counts as lost.
    :ivar stop_grace: seconds that links get to pass on their last answers.
    :ivar stop_within: seconds that a graceful stop may take.
    :ivar trace_ratio: share of requests whose spans are written out.
    """

    instance: str
    data_centre: str
    listen: Address
    target: str
    advertise: Address | None = None
    target_address: Address
    shared_key: Annotated[str, Meta(min_length=16)]
    platform: PlatformSettings
    links: LinkSettings = field(default_factory=LinkSettings)
    queue: QueueSettings = field(default_factory=QueueSettings)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    orders: OrderSettings = field(default_factory=OrderSettings)
    target_timeout: Seconds = 30.0
    probe_interval: Seconds = 1.0
    probes_missed: Count = 3
    stop_grace: Seconds = 1.0
    stop_within: Seconds = 60.0
    trace_ratio: Ratio = 0.0


SettingsType = TypeVar("SettingsType", bound=Struct)


def merge_documents(documents: list[dict[str, Any]]) -> dict[str, Any]:
    """
    Lay overlays over a base.

    :param documents: the base first, then each overlay.
    :returns: a new document.
    :source: RFC 7396, JSON Merge Patch.
    """
    merged: dict[str, Any] = json.loads(json.dumps(documents[0]))
    for overlay in documents[1:]:
        merged = json_merge_patch.merge(merged, overlay)
    return merged


def read_settings(
    settings_type: type[SettingsType], paths: list[str]
) -> Result[SettingsType, SettingsInvalid]:
    """
    Read a process's settings.

    :param settings_type: which process's.
    :param paths: the base file, then the overlays.
    :returns: the settings, or what is wrong with them.
    """
    try:
        documents = [json.loads(Path(path).read_text()) for path in paths]
        merged = merge_documents(documents)
        return Ok(msgspec.convert(merged, settings_type))
    except (OSError, ValueError) as error:
        return Err(SettingsInvalid(f"{' + '.join(paths)}: {error}"))


def split_address(address: str) -> tuple[str, int]:
    """
    Take an address apart.

    :param address: ``IP:port``.
    :returns: IP number and port.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
