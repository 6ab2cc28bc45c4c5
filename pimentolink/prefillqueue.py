"""Priority queue of prompts that wait for prefill, with admission control."""

from __future__ import annotations

from collections import OrderedDict
from heapq import nsmallest

from pimentolink.decayingrate import DecayingRate
from pimentolink.errors import CannotBeInTime, Failure, NoTarget
from pimentolink.gatewaysettings import PlacementSettings
from pimentolink.placement import Placement, Placer, WaitingPrompt

# Fraction of a request's value that remains once its latency target is missed.
LATE_VALUE_FACTOR = 0.35
# The prefill of a large prompt may end up to this multiple of its own engine time after
# arrival, even if that exceeds the latency target.
LARGE_PROMPT_FACTOR = 1.2
# Number of highest-ranked prompts whose placement is recomputed to choose the next
# one; the rest rank lower.
MAX_CANDIDATES = 16
# Number of prompts whose placement is recomputed in one call of pop_unservable().
MAX_EXPIRY_CHECKS = 8
# Fraction of the work queued at other gateways that is assumed to run before a new
# prompt while the local queue is empty and gives no estimate.
DEFAULT_SHARE_AHEAD = 0.5
# Seconds over which the rate of rejected work is averaged. This spans two evaluations
# of the role controller, so that a single rejection does not look like a shortage.
UNMET_WORK_HORIZON = 2.0
# Bounds on the Retry-After value sent to a rejected caller, in seconds.
MIN_RETRY_AFTER = 0.1
MAX_RETRY_AFTER = 2.0


class _QueueEntry:
    """
    A queued prompt with its most recent placement prediction.

    :ivar rank: sort key; the entry with the lowest rank is dispatched first.
    :ivar work: engine seconds that the prefill takes.
    :ivar prediction_key: time and dispatch count at which the prediction was made; it
        is valid until either changes.
    """

    def __init__(
        self,
        prompt: WaitingPrompt,
        placement: Placement,
        prediction_key: tuple[float, int],
    ) -> None:
        self.prompt = prompt
        self.predict(placement, prediction_key)

    def predict(self, placement: Placement, prediction_key: tuple[float, int]) -> None:
        """Replace the prediction and recompute the rank."""
        self.placement = placement
        self.prediction_key = prediction_key
        self.work = placement.estimate.prefill_time(placement.tokens)
        request_value = self.prompt.size
        if placement.decode_ready_at > self.prompt.latency_deadline:
            request_value *= LATE_VALUE_FACTOR
        self.rank = (-request_value / self.work, self.prompt.arrived_at)


class PrefillQueue:
    """
    Prompts that wait at this gateway for an engine.

    Load pattern: more prompts arrive than the engines can prefill in time. Little work
    is sent to engines in advance, so that queued prompts can still be reordered.
    Prompts are ordered by value per engine second; the value of those that will miss
    their latency target is reduced.

    Predictions are cached, and each call recomputes only a few of them. When all were
    recomputed, the event loop of a gateway under four times the usual load ran more
    than a second late and sent requests whose callers had already disconnected.
    """

    def __init__(self, settings: PlacementSettings, placer: Placer) -> None:
        """
        Create an empty queue.

        :param settings: queue depth per engine and admission limits.
        :param placer: chooses the engine for each prompt.
        """
        self._settings = settings
        self._placer = placer
        self._entries_by_id: OrderedDict[str, _QueueEntry] = OrderedDict()
        # Number of prompts dispatched; each dispatch invalidates other predictions.
        self._dispatch_count = 0
        self._unmet_rate_by_service: dict[str, DecayingRate] = {}

    def __len__(self) -> int:
        """Return the number of queued prompts."""
        return len(self._entries_by_id)

    def add(self, prompt: WaitingPrompt, now: float) -> Failure | None:
        """
        Enqueue a prompt, or reject it at once if it cannot be served in time.

        :returns: the reason for the rejection, or ``None`` if the prompt was queued.
        """
        placement = self._placer.choose_placement(prompt, now)
        if placement is None:
            return NoTarget(f"no engine of {prompt.service} takes work", 1.0)
        entry = _QueueEntry(prompt, placement, (now, self._dispatch_count))
        decode_starts_at = placement.decode_ready_at + self._wait_ahead(entry, now)
        failure = self._refusal(prompt, placement, decode_starts_at, now)
        if failure is None:
            self._entries_by_id[prompt.request_id] = entry
        else:
            self._unmet_rate(prompt.service).add(entry.work, now)
        return failure

    def _unmet_rate(self, service: str) -> DecayingRate:
        return self._unmet_rate_by_service.setdefault(
            service, DecayingRate(UNMET_WORK_HORIZON)
        )

    def unmet(self, service: str, now: float) -> float:
        """Return the rate of rejected prefill work, in engine seconds per second."""
        return self._unmet_rate(service).value(now)

    def _wait_ahead(self, entry: _QueueEntry, now: float) -> float:
        """
        Predict how long higher-ranked prompts keep the engines busy.

        The fraction of work that runs first is assumed to be the same at other
        gateways as in the local queue. Without that share, each gateway counted only
        its own queue and rejected too late, so that the requests served had less value
        in total, both in bursts and in sustained overload.
        """
        service = entry.prompt.service
        queued = ahead = 0.0
        for other in self._entries_by_id.values():
            if other.prompt.service == service:
                queued += other.work
                ahead += other.work if other.rank <= entry.rank else 0.0
        share = (ahead + DEFAULT_SHARE_AHEAD * entry.work) / (queued + entry.work)
        return self._placer.expected_wait(service, ahead, share, now)

    def queued_work_by_service(self) -> dict[str, float]:
        """Return the queued prefill work in engine seconds, by service."""
        work_by_service: dict[str, float] = {}
        for entry in self._entries_by_id.values():
            service = entry.prompt.service
            work = work_by_service.get(service, 0.0) + entry.work
            work_by_service[service] = work
        return work_by_service

    def _refusal(
        self,
        prompt: WaitingPrompt,
        placement: Placement,
        decode_starts_at: float,
        now: float,
    ) -> Failure | None:
        """
        Reject a prompt whose decoding would start too late.

        Nothing is rejected until prefill times have been measured. A prompt whose own
        prefill takes longer than the latency target is allowed that time as well, so
        that large prompts are not rejected for their size alone.
        """
        if not placement.estimate.has_measured_costs:
            return None
        own_work = placement.estimate.prefill_time(placement.tokens)
        max_delay = self._settings.late_factor * prompt.latency_target
        max_delay = max(max_delay, LARGE_PROMPT_FACTOR * own_work)
        latest_start = min(prompt.arrived_at + max_delay, prompt.due_at)
        if decode_starts_at <= latest_start:
            return None
        retry_after = min(
            MAX_RETRY_AFTER,
            max(MIN_RETRY_AFTER, decode_starts_at - prompt.latency_deadline),
        )
        return CannotBeInTime(
            f"would be read in {decode_starts_at - now:.2f} s, "
            f"{latest_start - now:.2f} s are left",
            retry_after,
        )

    def pop_next(self, now: float) -> tuple[WaitingPrompt, Placement] | None:
        """
        Remove and return the highest-ranked prompt that an engine has room for.

        :returns: the prompt and its placement; ``None`` if no prompt can be sent now.
        """
        if not self._entries_by_id or not self._has_room(now):
            return None
        candidates = nsmallest(
            MAX_CANDIDATES, self._entries_by_id.values(), key=lambda item: item.rank
        )
        placeable = [entry for entry in candidates if self._predict(entry, now)]
        for entry in sorted(placeable, key=lambda item: item.rank):
            if entry.placement.estimate.backlog(now) <= self._settings.depth:
                del self._entries_by_id[entry.prompt.request_id]
                self._dispatch_count += 1
                return entry.prompt, entry.placement
        return None

    def _predict(self, entry: _QueueEntry, now: float) -> bool:
        """
        Recompute an entry's placement unless the cached one is still valid.

        A prediction takes 0.3 ms. Without the check, half of a gateway's predictions
        were made twice: once on arrival of a prompt and once on its dispatch.

        :returns: whether an engine was found.
        """
        prediction_key = (now, self._dispatch_count)
        if entry.prediction_key == prediction_key:
            return True
        placement = self._placer.choose_placement(entry.prompt, now)
        if placement is not None:
            entry.predict(placement, prediction_key)
        return placement is not None

    def _has_room(self, now: float) -> bool:
        services = {item.prompt.service for item in self._entries_by_id.values()}
        return any(
            engine.backlog(now) <= self._settings.depth
            for service in services
            for engine in self._placer.engines(service, now)
        )

    def pop_unservable(self, now: float) -> list[WaitingPrompt]:
        """
        Remove and return prompts whose prefill cannot end before they are due.

        Every call finds all prompts whose own prefill time exceeds the time left. The
        wait for an engine is recomputed for a few prompts per call, in rotation; if one
        of them finds its service without engines, all prompts of that service go.
        """
        unservable = {
            request_id
            for request_id, entry in self._entries_by_id.items()
            if now + entry.work > entry.prompt.due_at
        }
        for request_id in list(self._entries_by_id)[:MAX_EXPIRY_CHECKS]:
            self._entries_by_id.move_to_end(request_id)
            entry = self._entries_by_id[request_id]
            placement = self._placer.choose_placement(entry.prompt, now)
            if placement is None:
                unservable |= self._request_ids_of(entry.prompt.service)
            elif placement.done_at > entry.prompt.due_at:
                unservable.add(request_id)
            else:
                entry.predict(placement, (now, self._dispatch_count))
        removed = [
            entry_id for entry_id in self._entries_by_id if entry_id in unservable
        ]
        return [self._entries_by_id.pop(entry_id).prompt for entry_id in removed]

    def _request_ids_of(self, service: str) -> set[str]:
        return {
            request_id
            for request_id, entry in self._entries_by_id.items()
            if entry.prompt.service == service
        }

    def remove(self, request_id: str) -> None:
        """Remove a prompt if it is still queued."""
        self._entries_by_id.pop(request_id, None)
