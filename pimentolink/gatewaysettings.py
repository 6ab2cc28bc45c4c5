"""Settings of a gateway, which forwards requests directly to targets."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

from pimentolink.settings import Address, Count, Ratio, Seconds


class ConnectionSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Settings of the connections that a gateway opens.

    :ivar connect: connect timeout in seconds; an instance behind a network partition
        does not answer at all.
    :ivar idle: longest time in seconds for which an unused connection is kept.
    :ivar idle_once: longest time in seconds for which a connection may have been
        unused when it is given a request that may not be repeated. Such a request would
        be lost if the target closed the connection as it was sent.
    :ivar most: largest number of connections to one target; fewer if this gateway's
        share of the connections that the target accepts is smaller.
    :ivar probe_after: seconds of silence before the first TCP keep-alive probe.
    :ivar probe_interval: seconds between probes.
    :ivar probes: unanswered probes after which a connection counts as lost.
    :ivar unacknowledged: seconds for which sent bytes may stay unacknowledged before
        the connection counts as lost.
    """

    connect: Seconds = 0.6
    idle: Seconds = 8.0
    idle_once: Seconds = 1.0
    most: Count = 64
    probe_after: Count = 1
    probe_interval: Count = 1
    probes: Count = 2
    unacknowledged: Seconds = 2.0


class StoreSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Settings of the store that holds the configuration and the list of targets.

    :ivar address: host and port of the store.
    :ivar timeout: timeout of a call in seconds.
    :ivar watch_wait: seconds for which one watch waits for changes; each watch costs a
        call.
    :ivar gather: seconds between a change and the next watch, so that changes that
        follow each other closely cost each gateway one call.
    :ivar backoff_first: first delay in seconds after a failed call.
    :ivar backoff_most: longest delay in seconds between calls that fail.
    :ivar return_time: seconds after an outage of the store within which running targets
        register again; targets still missing then are removed.
    :ivar lease: lifetime in seconds of the lease on this process's entry, which stays
        listed for as long after the process has ended.
    """

    address: Address
    timeout: Seconds = 1.0
    watch_wait: Seconds = 20.0
    gather: Seconds = 0.25
    backoff_first: Seconds = 0.1
    backoff_most: Seconds = 1.0
    return_time: Seconds = 2.0
    lease: Seconds = 10.0


class CallerSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Limits for callers, which apply until the configuration sets its own.

    :ivar head_bytes: largest size of a request's head.
    :ivar body_bytes: largest size of a request's body.
    :ivar head_time: seconds within which a request's head must arrive.
    :ivar idle_time: seconds after which an unused connection is closed.
    """

    head_bytes: Count = 16_384
    body_bytes: Count = 4_194_304
    head_time: Seconds = 3.0
    idle_time: Seconds = 15.0


class PlacementSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Settings of how prompts are queued and which engines prefill them.

    :ivar first_rate: assumed prefill rate of an engine, in prompt tokens a second,
        until four prefills of its service have ended. If it is too high, some prompts
        wait at engines for that time; if it is too low, prompts are refused that could
        be served.
    :ivar writer_share: assumed prefill rate of an engine that also generates responses,
        as a share of that of a prefill engine, until its own prefills have been
        measured.
    :ivar depth: seconds of prefill work sent to an engine in advance; further prompts
        stay in the gateway's queue, where they can still be reordered.
    :ivar duplicate_cost: weight of the engine time that a placement takes, relative to
        the seconds until it is done; favours engines that hold the prompt's prefix in
        their cache.
    :ivar late_factor: share of the latency target beyond which a predicted latency
        causes a prompt to be refused. The rest is left for the handover to the decode
        engine, the first token, and later prompts that are prefilled first. With a
        factor of 1, engines under sustained load were just as busy, but more of the
        prompts that they prefilled were late.
    :ivar interference: weight of the time for which a prefill slows each response that
        the same engine generates.
    :ivar remote_cost: seconds added to the cost of a target in another data centre.
    :ivar remote_fetch: share of a decode engine's slots that a KV cache fetch between
        data centres counts for; it takes twice as long as one within a data centre and
        costs up to three times as much.
    """

    first_rate: Count = 1_000_000
    writer_share: Ratio = 0.5
    depth: Seconds = 0.25
    duplicate_cost: Annotated[float, Meta(ge=0)] = 0.6
    late_factor: Annotated[float, Meta(gt=0)] = 0.8
    remote_cost: Annotated[float, Meta(ge=0)] = 0.004
    remote_fetch: Annotated[float, Meta(ge=0)] = 0.15
    interference: Annotated[float, Meta(ge=0)] = 0.1


class EjectionSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    When a target is ejected, which means that it gets no work for a time.

    :ivar failures: consecutive failures after which a target is ejected.
    :ivar first: seconds of the first ejection; each further one lasts twice as long.
    :ivar most: longest ejection in seconds.
    :ivar most_share: share of a service's targets that may be ejected at once, so that
        failures of all of them do not stop the service.
    """

    failures: Count = 2
    first: Seconds = 1.0
    most: Seconds = 8.0
    most_share: Ratio = 0.5


class BudgetSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Retry budget of all gateways together.

    :ivar ratio: retries that each request to a service earns.
    :ivar slack: further retries in each window, shared by all gateways. A gateway that
        has just started, or whose lease in the store has expired, uses none of them for
        the length of a window and a lease.
    :ivar window: seconds over which retries are counted.
    """

    ratio: Ratio = 0.2
    slack: Annotated[float, Meta(ge=0)] = 50.0
    window: Seconds = 10.0


class RoleSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    How a service's engines are divided into prefill and decode engines.

    :ivar fill: share of the decode engines' slots that may be in use before the service
        counts as short of decode engines; the rest is for bursts.
    :ivar least_share: smallest share of a service's engines that decode.
    :ivar least_count: smallest number of decode engines; with only one, its crash stops
        the service for as long as a role change takes.
    :ivar least_from: number of engines of a service from which on ``least_count``
        applies; with fewer, a second decode engine costs more prefill capacity than a
        crash of the only one would.
    :ivar horizon: time constant in seconds with which the accumulated cost of the
        current roles decays; shorter fluctuations of the load cause no role change.
    :ivar pause: seconds between two role changes in a service.
    :ivar most_changing: largest share of a service's engines that may change their role
        at the same time, but at least one engine. When only one engine at a time could
        change, a large fleet had not finished changing when the load arrived.
    """

    fill: Ratio = 0.8
    least_share: Ratio = 0.2
    least_count: Count = 2
    least_from: Count = 4
    horizon: Seconds = 6.0
    pause: Seconds = 1.0
    most_changing: Ratio = 0.25


class UsageSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Settings of the usage reports: how many requests of each organisation began to run.

    :ivar address: of the API that receives the reports.
    :ivar window: length in seconds of the windows that are reported, which are aligned
        to the Unix epoch.
    :ivar late: seconds after the end of a window until which a report of it is
        accepted.
    :ivar timeout: timeout of a report in seconds.
    """

    address: Address
    window: Seconds
    late: Seconds
    timeout: Seconds = 1.0


class GatewaySettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Settings of a gateway.

    :ivar instance: name of this instance.
    :ivar data_centre: data centre of this instance.
    :ivar listen: address on which callers' requests are accepted.
    :ivar readiness: address at which the load balancer asks whether this gateway is
        ready.
    :ivar peers: address on which datagrams of other gateways are received.
    :ivar metrics: address at which the metrics are served.
    :ivar link_megabits: bandwidth of this instance's network link, in megabits a
        second; 0 if it is unknown, which is treated as unlimited.
    :ivar is_first_start: whether the whole deployment starts for the first time, so
        that the engines' caches are still empty.
    :ivar order_lease_ms: lease in milliseconds of the process that may give role change
        orders, within which no second process may give any.
    :ivar stop_within: time limit of a graceful stop in seconds.
    :ivar revoke_within_ms: milliseconds after which a revoked API key is no longer
        accepted, even if the store cannot be reached; ``None`` for no limit.
    :ivar adopt_within_ms: milliseconds after its acknowledgement within which a change
        of the configuration or of a target must take effect while the store responds.
    :ivar usage: settings of the usage reports; ``None`` to send none.
    """

    instance: str
    data_centre: str
    listen: Address
    readiness: Address
    peers: Address
    metrics: Address
    store: StoreSettings
    connections: ConnectionSettings = field(default_factory=ConnectionSettings)
    callers: CallerSettings = field(default_factory=CallerSettings)
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    ejection: EjectionSettings = field(default_factory=EjectionSettings)
    budget: BudgetSettings = field(default_factory=BudgetSettings)
    roles: RoleSettings = field(default_factory=RoleSettings)
    link_megabits: Annotated[float, Meta(ge=0)] = 0.0
    is_first_start: bool = False
    order_lease_ms: Count = 3000
    stop_within: Seconds = 8.0
    revoke_within_ms: Count | None = None
    adopt_within_ms: Count = 4000
    usage: UsageSettings | None = None
