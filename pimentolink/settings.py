"""Settings of the processes, read from a JSON base file and overlays."""

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
        description="IP address and port",
    ),
]


class PlatformSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Key-value service and instance list: addresses, timeouts and retries of calls.

    :ivar key_value: address of the key-value service.
    :ivar instance_list: address of the instance list.
    :ivar timeout: seconds until a call times out.
    :ivar watch_wait: seconds that a long-polling watch waits for a change.
    :ivar backoff_first: seconds of the first delay after a failed call.
    :ivar backoff_most: seconds of the longest delay.
    :ivar breaker_failures: consecutive unanswered calls after which the circuit
        breaker for the key-value service opens.
    :ivar list_interval: seconds between two polls of the instance list.
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
    Connections (links) between entries and sidecars.

    :ivar heartbeat: seconds between load reports of an idle sidecar.
    :ivar load_interval: seconds between load reports while the load changes.
    :ivar most_links: maximum number of sidecars that an entry connects to, those of
        its data centre first; if there are more, each entry chooses its own subset.
    :ivar silence: seconds without a message after which a link is considered lost.
    :ivar reconnect: seconds between connection attempts.
    :ivar most_pending: maximum bytes buffered for a process that reads its link too
        slowly, before the link is closed.
    """

    heartbeat: Seconds = 3.0
    load_interval: Seconds = 0.25
    silence: Seconds = 8.0
    reconnect: Seconds = 0.5
    most_pending: Count = 16_000_000
    most_links: Count = 512


class CallerLimits(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Limits for callers of an entry.

    :ivar body_bytes: maximum size of a request body.
    :ivar in_flight: maximum number of concurrent requests of all callers together.
    :ivar buffered_bytes: maximum bytes that the operating system buffers for a slow
        caller before the entry stops reading the target's response.
    :ivar stall: seconds that a caller may leave its response unread.
    :ivar request_head: seconds that a caller may take to send a whole request; also the
        idle timeout of its connection.
    """

    body_bytes: Count = 4_000_000
    in_flight: Count = 4_000
    buffered_bytes: Count = 65_536
    stall: Seconds = 30.0
    request_head: Seconds = 30.0


class RetrySettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Retries of failed attempts.

    :ivar attempts: maximum number of attempts for a request.
    :ivar budget_ratio: retries allowed per request, on average.
    :ivar budget_reserve: maximum number of unused retries that accumulate for a burst;
        an entry starts with this many.
    :ivar backoff_first: half of the delay before the first retry, in seconds; the delay
        doubles with each further attempt. The first retry after an attempt that may
        have run is not delayed.
    :ivar backoff_most: seconds of the longest delay between attempts.
    :ivar progress: seconds without a token after which a started response is retried
        at another target.
    """

    attempts: Count = 4
    budget_ratio: Ratio = 0.2
    budget_reserve: Count = 20
    backoff_first: Seconds = 0.02
    backoff_most: Seconds = 1.0
    progress: Seconds = 5.0


class RoutingSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Selection of targets.

    The policy ``predicted_work`` chooses the target with the shortest predicted delay,
    to which the costs below are added.

    :ivar policy: load balancing policy: ``predicted_work`` as above,
        ``least_in_flight`` chooses the target with the fewest attempts in flight from
        this entry, ``round_robin`` chooses the targets in turn.
    :ivar split: whether engines in the role ``prefill`` process long prompts and
        transfer the KV cache to the engines that generate the response.
    :ivar split_from: minimum number of prompt tokens to process for a prompt to count
        as long.
    :ivar prefill_rate: prompt tokens per second of an engine in the role ``mixed``.
    :ivar prefill_role_rate: the same for an engine in the role ``prefill``.
    :ivar decode_role_rate: the same for an engine in the role ``decode``.
    :ivar stream_cost: cost, in seconds, of each response in progress at a target.
    :ivar interference: additional cost, in seconds, of each response in progress that
        the prefill of a long prompt would slow down.
    :ivar reader_preference: cost, in seconds, of an engine in another role for a long
        prompt, if an engine in the role ``prefill`` is available.
    :ivar misplaced_cost: cost, in seconds, of an engine in the role ``prefill`` for a
        short prompt, or for any prompt if ``split`` is off.
    :ivar remote_penalty: cost, in seconds, of a target in another data centre.
    :ivar prefixes_kept: maximum number of prompt prefixes that are remembered with the
        targets that processed them.
    :ivar sample: maximum number of targets of the entry's data centre that are
        randomly chosen to be compared for a request.
    :ivar ejection_failures: consecutive failures after which a target is ejected, that
        is, gets no requests for a time.
    :ivar ejection_time: seconds of the first ejection; doubles with each further one.
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
    Planning of engine roles.

    A group is the engines of one service in one region that take orders from this
    system. The plan of a group is the desired role, models and adapters of each engine.

    :ivar interval: seconds between two planning rounds for the groups of the entry's
        region.
    :ivar lease: seconds after which the planner lease of a group expires unless
        renewed.
    :ivar ask_again: average seconds between attempts of an entry to acquire the
        planner lease of a group. An interval is at most 1.5 times as long, which limits
        how long a group stays without a planner once the lease of a failed one expired.
    :ivar most_changing: maximum number of engines of a group that may be out of
        service at the same time in order to reach their desired state.
    :ivar lost_after: seconds after which an engine that does not serve while it changes
        its state is considered lost and no longer delays changes of the others.
    :ivar policy: ``fixed`` keeps the configured roles. ``mix`` sets the number of
        engines in the role ``prefill`` by the recent peak rate of long prompts,
        ``threshold`` by their current rate and without hysteresis, only for comparison.
    :ivar engine_rate: tokens of long prompts per second that are planned for an engine
        in the role ``prefill``, with headroom for bursts.
    :ivar smoothing: time constant, in seconds, of the average demand.
    :ivar horizon: seconds for which a peak in demand is expected to recur. A longer
        horizon causes fewer role changes, which suits engines whose changes are costly.
    :ivar margin: fraction of one engine's capacity by which the demand must exceed the
        capacity before another engine is changed.
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
    Settings of an entry, the process that callers send their requests to.

    :ivar instance: name of this instance.
    :ivar data_centre: data centre of this instance.
    :ivar listen: address for callers.
    :ivar leave_delay: seconds during which an entry that shuts down still accepts
        requests, so that the load balancer notices the shutdown.
    :ivar shared_key: secret with which the processes authenticate to each other.
    :ivar stop_within: maximum seconds of a graceful shutdown.
    :ivar trace_ratio: share of requests that are traced.
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
    The request queue of a target.

    :ivar slots: maximum number of requests that the target processes concurrently.
    :ivar waiting: maximum number of queued requests.
    :ivar aging: seconds of waiting in the queue after which a request rises by one
        priority level.
    """

    slots: Count = 32
    waiting: Count = 256
    aging: Seconds = 20.0


class ClaimSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Claims for calls that must not be repeated.

    A claim is a stored record that a call with an idempotency key may run once. The
    claims of a service are spread over partitions, each written by one sidecar at a
    time.

    :ivar commit_interval: seconds between two writes of a partition.
    :ivar retention: seconds that a claim is kept.
    :ivar most: maximum number of claims in a partition.
    :ivar answers: maximum number of responses kept in memory for callers that repeat a
        call.
    """

    commit_interval: Seconds = 0.1
    retention: Seconds = 86_400.0
    most: Count = 5_000
    answers: Count = 1_000


class OrderSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    How a sidecar orders its engine to reach the state that the plan gives it.

    :ivar timeout: seconds after which an order that the engine still executes is
        considered stuck.
    :ivar spread: maximum seconds of a random delay before a new sidecar reads the
        plan, for sidecars that start at the same time.
    :ivar quiet: seconds that a new sidecar waits, since orders of the engine's previous
        sidecar may still reach the engine; also the wait after an order was lost.
    """

    timeout: Seconds = 60.0
    quiet: Seconds = 1.0
    spread: Seconds = 10.0


class SidecarSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Settings of a sidecar, the process beside one target that queues its requests.

    :ivar instance: name of this instance.
    :ivar data_centre: data centre of this instance.
    :ivar listen: address for entries. A second sidecar of the target cannot listen on
        it, so that a target has only one.
    :ivar advertise: address that entries connect to, if it differs from ``listen``.
    :ivar target: name of the target that the sidecar serves.
    :ivar target_address: address of the target.
    :ivar shared_key: secret with which the processes authenticate to each other.
    :ivar target_timeout: seconds until a call to the target times out.
    :ivar probe_interval: seconds between two health checks of the target.
    :ivar probes_missed: consecutive failed health checks after which the target is
        considered lost.
    :ivar stop_grace: maximum seconds to wait for links to deliver their last responses
        on shutdown.
    :ivar stop_within: maximum seconds of a graceful shutdown.
    :ivar trace_ratio: share of requests that are traced.
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
    Merge overlays into a base document.

    :param documents: the base document, followed by the overlays.
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
    Read the settings of a process.

    :param settings_type: type of the settings.
    :param paths: the base file, followed by the overlays.
    :returns: the settings, or the error found in them.
    """
    try:
        documents = [json.loads(Path(path).read_text()) for path in paths]
        merged = merge_documents(documents)
        return Ok(msgspec.convert(merged, settings_type))
    except (OSError, ValueError) as error:
        return Err(SettingsInvalid(f"{' + '.join(paths)}: {error}"))


def split_address(address: str) -> tuple[str, int]:
    """
    Split an address into host and port.

    :param address: ``IP:port``; an IPv6 address is enclosed in brackets.
    :returns: IP address and port.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
