"""Settings of a gateway: an entry that passes requests straight to targets."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

from pimentolink.settings import Address, Count, Ratio, Seconds


class ConnectionSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Connections that a gateway opens.

    :ivar connect: seconds until a connection that is not made counts as failed; an
        instance behind a partition does not answer at all.
    :ivar idle: seconds that a connection is kept unused at most.
    :ivar idle_once: the same before a request that may not be repeated, which a
        connection that closes under it would lose.
    :ivar most: connections to one target at once; fewer if the target's own bound,
        shared by all gateways, says so.
    :ivar probe_after: seconds of silence before a keep-alive probe.
    :ivar probe_interval: seconds between probes.
    :ivar probes: probes missed after which a connection counts as lost.
    :ivar unacknowledged: seconds that sent bytes may stay without acknowledgement.
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
    The store that holds the configuration and the list of targets.

    :ivar address: where it answers.
    :ivar timeout: seconds until a call counts as unanswered.
    :ivar watch_wait: seconds that one waiting watch lasts; each costs a call.
    :ivar gather: seconds between changes and the next watch, so that changes that come
        together cost each gateway one call.
    :ivar backoff_first: seconds of the first pause after a failed call.
    :ivar backoff_most: seconds of the longest pause.
    :ivar return_time: seconds after an outage within which targets that live are
        listed again; those still missing then are gone.
    :ivar lease: seconds that this process's entry outlives it.
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
    Bounds on callers until the configuration states its own.

    :ivar head_bytes: largest head of a request.
    :ivar body_bytes: largest body.
    :ivar head_time: seconds that a request's head may take.
    :ivar idle_time: seconds that a connection may stay unused.
    """

    head_bytes: Count = 16_384
    body_bytes: Count = 4_194_304
    head_time: Seconds = 3.0
    idle_time: Seconds = 15.0


class PlacementSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    How prompts wait and where they are read.

    :ivar first_rate: prompt tokens a second that an engine is taken to read until
        four readings of its service have ended; too high costs some that wait at
        engines then, too low would turn prompts away that could be served.
    :ivar writer_share: share of a reader's rate that an engine which also writes
        answers has until its own readings have been timed.
    :ivar depth: seconds of reading sent to an engine ahead of need; more is kept
        here, where it can still be reordered.
    :ivar duplicate_cost: weight of the engine time that a placement takes, against
        the seconds until it is done; keeps prompts with the engine that holds them.
    :ivar late_factor: share of the latency target beyond which a prediction turns a
        prompt away; the rest is for the hand-over, the first token, and for what goes
        first that comes later. With all of it, the engines under lasting load were as
        busy, but more of what they read was late: worth 0.589 instead of 0.615 to
        0.621 with 0.85 and 0.7 (three days, two seeds each).
    :ivar interference: weight of the time for which a reading slows each answer that
        the same engine writes.
    :ivar remote_cost: seconds added for a target in another data centre.
    :ivar remote_fetch: share of a writer's slots that a fetch between data centres
        counts for; it takes twice as long as one inside and costs up to three times.
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
    When a target gets no work for a while.

    :ivar failures: failures in a row that eject it.
    :ivar first: seconds of the first ejection; each further one doubles it.
    :ivar most: seconds of the longest.
    :ivar most_share: share of a service's targets that may be ejected at once, so
        that bad news about all of them does not stop the service.
    """

    failures: Count = 2
    first: Seconds = 1.0
    most: Seconds = 8.0
    most_share: Ratio = 0.5


class BudgetSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Bounds on repeated attempts, over all gateways together.

    :ivar ratio: repeated attempts to a service for each request to it.
    :ivar slack: repeated attempts more, in each window, shared by all gateways. One
        that has just started, or whose lease in the store lapsed, uses none of it for
        a window and the lease.
    :ivar window: seconds over which they are counted.
    """

    ratio: Ratio = 0.2
    slack: Annotated[float, Meta(ge=0)] = 50.0
    window: Seconds = 10.0


class RoleSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    How many engines read prompts and how many write answers.

    :ivar fill: share of a writer's slots that answers may take before writers are
        short; the rest is for bursts.
    :ivar least_share: share of a service's engines that write at least.
    :ivar least_count: engines that write at least; with one, its crash stops the
        service for as long as a change of role takes.
    :ivar least_from: engines of a service from which on that holds; with fewer, a
        second writer costs more reading than its crash would.
    :ivar horizon: seconds over which what roles have cost is forgotten; swings that
        are shorter cause no change.
    :ivar pause: seconds between two changes in a service.
    :ivar most_changing: share of a service's engines that may change at a time, one at
        least; one by one, a large fleet was still on its way as its load came.
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
    Reports of how many requests of each organisation began to run.

    :ivar address: of the API that takes them.
    :ivar window: seconds that are reported together, counted from 1970.
    :ivar late: seconds after a window's end until which a report of it counts.
    :ivar timeout: seconds until a report counts as unanswered.
    """

    address: Address
    window: Seconds
    late: Seconds
    timeout: Seconds = 1.0


class GatewaySettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """
    Settings of a gateway.

    :ivar instance: name of this instance.
    :ivar data_centre: where it stands.
    :ivar listen: address for callers.
    :ivar readiness: address where the balancer asks whether to send callers here.
    :ivar peers: address for datagrams of other gateways.
    :ivar metrics: address of the metrics.
    :ivar link_megabits: a second that this instance's link carries; 0 if it is not
        known, which counts as a link without bound.
    :ivar is_first_start: whether the whole deployment starts for the first time, so
        that engines hold nothing yet.
    :ivar order_lease_ms: milliseconds within which two processes may not both give
        orders.
    :ivar stop_within: seconds that a graceful stop may take.
    :ivar revoke_within_ms: milliseconds after which no revoked API key may be used,
        whether the store is reached or not; ``None`` for no such bound.
    :ivar usage: reports of usage; ``None`` if nobody takes any.
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
    usage: UsageSettings | None = None
