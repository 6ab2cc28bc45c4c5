"""Every failure as a type that carries its data."""

from __future__ import annotations

# Seconds after which a caller is asked to return when nothing better is known.
USUAL_PAUSE = 0.3


class Failure(Exception):
    """
    Base of all failures; used as values in a ``Result`` or raised.

    :cvar code: stable name that callers and programs match on.
    :cvar status: HTTP status towards callers.
    :cvar ran: whether the work may have run; ``False`` promises that it did not.
    """

    code = "internal"
    status = 500
    ran = False

    def __init__(self, detail: str = "", retry_after: float | None = None) -> None:
        """
        Record what happened.

        :param detail: a sentence for a person.
        :param retry_after: seconds after which a new try makes sense, if ever.
        """
        super().__init__(detail)
        self.detail = detail
        self.retry_after = retry_after

    def __str__(self) -> str:
        return f"{self.code}: {self.detail}" if self.detail else self.code


class InvalidRequest(Failure):
    """The caller's request is malformed."""

    code = "invalid_request"
    status = 400


class BodyTooLarge(Failure):
    """The caller's body is over the limit."""

    code = "body_too_large"
    status = 413


class HeadTooLarge(Failure):
    """The head of the caller's request is over the limit."""

    code = "head_too_large"
    status = 431


class RouteUnknown(Failure):
    """No route matches the request."""

    code = "route_unknown"
    status = 404


class ModelUnknown(Failure):
    """No service runs the model."""

    code = "model_unknown"
    status = 404


class ServiceUnknown(Failure):
    """The configuration names no such service."""

    code = "service_unknown"
    status = 404


class WorkUnknown(Failure):
    """The configuration names no such kind of work."""

    code = "work_unknown"
    status = 400


class IdempotencyKeyMissing(Failure):
    """A call that may not be repeated came without its key."""

    code = "idempotency_key_missing"
    status = 400


class IdempotencyKeyReused(Failure):
    """The key stands for another call already."""

    code = "idempotency_key_reused"
    status = 422


class AlreadyRun(Failure):
    """The call ran before under this key; its answer is no longer kept."""

    code = "already_run"
    status = 409
    ran = True


class OutcomeUnknown(Failure):
    """The call may have run; it is never run again under its key."""

    code = "outcome_unknown"
    status = 502
    ran = True


class NotRun(Failure):
    """Refused, and certain not to have run."""

    code = "not_run"
    status = 503


class Overloaded(NotRun):
    """A limit or queue is full."""

    code = "overloaded"
    status = 429


class NoTarget(NotRun):
    """No target of the service takes work now."""

    code = "no_target"


class NoConfiguration(NotRun):
    """No configuration has reached this process yet."""

    code = "no_configuration"


class ConfigurationOutdated(NotRun):
    """The configuration here may be older than the newest; keys cannot be trusted."""

    code = "configuration_outdated"


class ClaimUnavailable(NotRun):
    """The key-value service does not take claims, so the call was not made."""

    code = "claim_unavailable"


class ClaimContended(NotRun):
    """Another sidecar commits the key's partition, so the call was not made here."""

    code = "claim_contended"


class CannotBeInTime(NotRun):
    """The request could not be answered within the time it has left."""

    code = "cannot_be_in_time"


class NotConnected(NotRun):
    """No connection to a target could be opened, so nothing was sent."""

    code = "not_connected"


class NotListening(NotConnected):
    """Nothing listens at a target's address: its process has ended."""

    code = "not_listening"


class Quarantined(NotRun):
    """Targets crashed while the request was under way there, so it was not sent."""

    code = "quarantined"


class ConnectionsExhausted(NotRun):
    """All connections that a target takes are in use, so nothing was sent."""

    code = "connections_exhausted"


class RejectedUnrun(NotRun):
    """A target said that it did not run the request."""

    code = "rejected_unrun"


class OtherInstance(NotRun):
    """Another target has the address now and did not run the request."""

    code = "other_instance"


class Draining(NotRun):
    """This process takes no new work since it is stopping."""

    code = "draining"


# A sending that ends so reached no target: it counts as none, and costs no budget.
UNSENT = (NotListening, Quarantined)


class LateAnswer(Failure):
    """The answer did not come within the request's patience."""

    code = "timeout"
    status = 504
    ran = True


class TargetFailed(Failure):
    """The target failed and every permitted retry is used up."""

    code = "target_failed"
    status = 502
    ran = True


class TargetRejected(Failure):
    """The target found fault with the request itself."""

    code = "target_rejected"
    status = 400


# What another attempt would only be told again: the request itself is at fault.
REJECTIONS = (TargetRejected, IdempotencyKeyReused, AlreadyRun)


class ConnectionBroken(Failure):
    """A connection to a target broke during an exchange."""

    code = "connection_broken"
    status = 502
    ran = True


class ReplyInvalid(Failure):
    """What a target sent is no answer to the request."""

    code = "reply_invalid"
    status = 502
    ran = True


class StreamBroken(Failure):
    """A stream broke and cannot go on at another target."""

    code = "stream_broken"
    status = 502
    ran = True


class RetryBudgetSpent(NotRun):
    """The budget of repeated attempts is used up, so none was made."""

    code = "retry_budget_spent"


class HistoryLost(Failure):
    """The store no longer has the changes since a revision."""

    code = "history_lost"
    status = 410


class LeaseLost(Failure):
    """A lease has ended."""

    code = "lease_lost"
    status = 409


class RequestTooSlow(Failure):
    """The caller did not send its whole request in time."""

    code = "request_too_slow"
    status = 408


class CallerTooSlow(Failure):
    """The caller left its answer unread until the buffer was full."""

    code = "caller_too_slow"
    status = 408
    ran = True


class CrossedAnswer(Failure):
    """A target's answer names another request than the one asked."""

    code = "crossed_answer"
    status = 502
    ran = True


class LinkLost(Failure):
    """The connection between an entry and a sidecar ended."""

    code = "link_lost"
    ran = True


class OrderRefused(Failure):
    """An engine refused an order, which had no effect."""

    code = "order_refused"
    status = 409


class OrderLost(Failure):
    """It is not known whether an order took effect."""

    code = "order_lost"
    status = 502
    ran = True


class OrderStuck(Failure):
    """An engine has been under an order for too long."""

    code = "order_stuck"
    status = 504
    ran = True


class ReportRefused(Failure):
    """A usage report was not taken; it may be sent again."""

    code = "report_refused"
    status = 503


class Unauthenticated(Failure):
    """A caller or peer did not prove who it is."""

    code = "unauthenticated"
    status = 401


class KeyValueUnavailable(Failure):
    """The key-value service gave no answer; a write may have taken effect."""

    code = "key_value_unavailable"
    status = 503
    ran = True


class WriteConflict(Failure):
    """A compare-and-swap lost against another write."""

    code = "write_conflict"
    status = 409


class ConfigurationConflict(WriteConflict):
    """Another operator's configuration was accepted first."""

    code = "configuration_conflict"

    def __init__(self, version: int, author: str, change_id: str) -> None:
        """
        Name the change that won.

        :param version: version now in force.
        :param author: who applied it.
        :param change_id: identity of that change.
        """
        super().__init__(f"version {version} by {author} ({change_id}) is in force")
        self.version = version
        self.author = author
        self.change_id = change_id


class DocumentInvalid(Failure):
    """A document of the store cannot be read; what was known before stays."""

    code = "document_invalid"
    status = 400


class SettingsInvalid(Failure):
    """A process's settings cannot be used."""

    code = "settings_invalid"
    status = 400


class Problem(Failure):
    """One fault in a configuration, with the path to it."""

    code = "problem"
    status = 400

    def __init__(self, path: str, detail: str) -> None:
        """
        Locate the fault.

        :param path: JSON pointer into the merged configuration.
        :param detail: a sentence for a person.
        """
        super().__init__(detail)
        self.path = path

    def __str__(self) -> str:
        return f"{self.path or '/'}: {self.code}: {self.detail}"


class NotJson(Problem):
    """The file is not a JSON object."""

    code = "not_json"


class KeyUnknown(Problem):
    """A key that the format does not have."""

    code = "key_unknown"


class KeyMissing(Problem):
    """A required key is absent."""

    code = "key_missing"


class TypeWrong(Problem):
    """A value of another type than the format's."""

    code = "type_wrong"


class ValueOutOfRange(Problem):
    """A value outside its range or in the wrong unit."""

    code = "value_out_of_range"


class TargetAssignedTwice(Problem):
    """A target stands in two services."""

    code = "target_assigned_twice"


class TargetUnassigned(Problem):
    """A target stands in no service."""

    code = "target_unassigned"


class ReferenceUnknown(Problem):
    """A name that the configuration does not define."""

    code = "reference_unknown"


class ServiceWithoutTarget(Problem):
    """A service without any target."""

    code = "service_without_target"


class ModelServedTwice(Problem):
    """A model that two services run, so that requests have no one place."""

    code = "model_served_twice"


class ConfigurationInvalid(Failure):
    """A configuration with faults, all of them listed."""

    code = "configuration_invalid"
    status = 400

    def __init__(self, problems: list[Problem]) -> None:
        """
        Collect the faults.

        :param problems: every fault found, never empty.
        """
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems
