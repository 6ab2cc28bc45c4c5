"""Failure types of all components, with their error codes and HTTP statuses."""

from __future__ import annotations

# Seconds that a caller is told to wait before it retries, if no estimate is available.
DEFAULT_RETRY_AFTER = 0.3
# Statuses that promise the caller that its request has not run and never will.
UNRUN_STATUSES = frozenset({408, 421, 429, 503})


class Failure(Exception):
    """
    Base class of all failures; either returned in a ``Result`` or raised.

    :cvar code: stable error code that clients can match on.
    :cvar status: HTTP status of the response to the caller.
    :cvar ran: whether the request may have been executed; ``False`` guarantees that
        it was not.
    """

    code = "internal"
    status = 500
    ran = False

    def __init__(self, detail: str = "", retry_after: float | None = None) -> None:
        """
        Create a failure.

        :param detail: human-readable description.
        :param retry_after: seconds to wait before retrying; ``None`` if unknown.
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
    """The request body exceeds the size limit."""

    code = "body_too_large"
    status = 413


class HeadTooLarge(Failure):
    """The request line and headers exceed the size limit."""

    code = "head_too_large"
    status = 431


class RouteUnknown(Failure):
    """No route matches the request."""

    code = "route_unknown"
    status = 404


class ModelUnknown(Failure):
    """No service serves the requested model."""

    code = "model_unknown"
    status = 404


class ServiceUnknown(Failure):
    """The configuration does not define the service."""

    code = "service_unknown"
    status = 404


class WorkUnknown(Failure):
    """The configuration does not define the kind of work."""

    code = "work_unknown"
    status = 400


class IdempotencyKeyMissing(Failure):
    """A call that must not be repeated has no idempotency key."""

    code = "idempotency_key_missing"
    status = 400


class IdempotencyKeyReused(Failure):
    """The idempotency key was already used for a different call."""

    code = "idempotency_key_reused"
    status = 422


class AlreadyRun(Failure):
    """The call with this key already ran; its response is no longer kept."""

    code = "already_run"
    status = 409
    ran = True


class OutcomeUnknown(Failure):
    """The call may have run; it is never repeated under its idempotency key."""

    code = "outcome_unknown"
    status = 502
    ran = True


class NotRun(Failure):
    """The request was refused and is guaranteed not to have run."""

    code = "not_run"
    status = 503


class Overloaded(NotRun):
    """A queue is full or a limit is reached."""

    code = "overloaded"
    status = 429


class NoTarget(NotRun):
    """No target of the service currently accepts requests."""

    code = "no_target"


class NoConfiguration(NotRun):
    """This process has not received a configuration yet."""

    code = "no_configuration"


class ConfigurationOutdated(NotRun):
    """The local configuration may be outdated, so API keys cannot be trusted."""

    code = "configuration_outdated"


class ClaimUnavailable(NotRun):
    """The key-value service cannot store claims, so the call was not made."""

    code = "claim_unavailable"


class ClaimContended(NotRun):
    """Another sidecar owns the key's claim partition, so the call was not made here."""

    code = "claim_contended"


class CannotBeInTime(NotRun):
    """The request cannot be completed before its deadline."""

    code = "cannot_be_in_time"


class NotConnected(NotRun):
    """No connection to a target could be opened, so nothing was sent."""

    code = "not_connected"


class ConnectReset(NotConnected):
    """The connection was reset as it was opened, so nothing was sent."""


class NotListening(NotConnected):
    """Nothing listens at the target's address: its process has ended."""

    code = "not_listening"


class Quarantined(NotRun):
    """Targets crashed while processing this request, so it was not sent again."""

    code = "quarantined"


class ConnectionsExhausted(NotRun):
    """All connections to the target are in use, so nothing was sent."""

    code = "connections_exhausted"


class RejectedUnrun(NotRun):
    """The target reported that it did not run the request."""

    code = "rejected_unrun"


class OtherInstance(NotRun):
    """A different target now uses the address and did not run the request."""

    code = "other_instance"


class Draining(NotRun):
    """This process is shutting down and accepts no new requests."""

    code = "draining"


# Failures of an attempt that reached no target: it does not count as an attempt and
# consumes no retry budget.
NOT_SENT_FAILURES = (NotListening, Quarantined)


class LateAnswer(Failure):
    """The response did not arrive within the request's timeout."""

    code = "timeout"
    status = 504
    ran = True


class TargetFailed(Failure):
    """The target failed and no permitted retry is left."""

    code = "target_failed"
    status = 502
    ran = True


class RejectionUnproven(Failure):
    """Only the status of a response says that the request was not run."""

    code = "rejection_unproven"
    status = 502
    ran = True


class TargetRejected(Failure):
    """The target rejected the request as invalid."""

    code = "target_rejected"
    status = 400


# The request itself is at fault, so every further attempt would fail the same way.
REJECTIONS = (TargetRejected, IdempotencyKeyReused, AlreadyRun)


class ConnectionBroken(Failure):
    """The connection to the target broke during a request."""

    code = "connection_broken"
    status = 502
    ran = True


class ResponseTruncated(ConnectionBroken):
    """A response ended without a sign of its connection, but may lack a part."""

    code = "response_truncated"


class ReplyInvalid(Failure):
    """The target sent an invalid response."""

    code = "reply_invalid"
    status = 502
    ran = True


class StreamBroken(Failure):
    """A stream broke and cannot be resumed at another target."""

    code = "stream_broken"
    status = 502
    ran = True


class RetryBudgetSpent(NotRun):
    """The retry budget is used up, so the request was not retried."""

    code = "retry_budget_spent"


class HistoryLost(Failure):
    """The store no longer keeps the changes since the requested revision."""

    code = "history_lost"
    status = 410


class LeaseLost(Failure):
    """A lease is no longer valid."""

    code = "lease_lost"
    status = 409


class RequestTooSlow(Failure):
    """The caller did not send its complete request in time."""

    code = "request_too_slow"
    status = 408


class CallerTooSlow(Failure):
    """The caller read its response too slowly."""

    code = "caller_too_slow"
    status = 504
    ran = True


class CrossedAnswer(Failure):
    """The target's response belongs to a different request."""

    code = "crossed_answer"
    status = 502
    ran = True


class LinkLost(Failure):
    """The connection between an entry and a sidecar was lost."""

    code = "link_lost"
    ran = True


class OrderRefused(Failure):
    """The engine rejected an order, which had no effect."""

    code = "order_refused"
    status = 409


class OrderLost(Failure):
    """It is unknown whether the order took effect."""

    code = "order_lost"
    status = 502
    ran = True


class OrderStuck(Failure):
    """An engine did not complete an order in time."""

    code = "order_stuck"
    status = 504
    ran = True


class ReportRefused(Failure):
    """A usage report was not accepted; it may be sent again."""

    code = "report_refused"
    status = 503


class Unauthenticated(Failure):
    """A caller or peer failed to authenticate."""

    code = "unauthenticated"
    status = 401


class KeyValueUnavailable(Failure):
    """The key-value service did not respond; a write may have taken effect."""

    code = "key_value_unavailable"
    status = 504
    ran = True


class WriteConflict(Failure):
    """A compare-and-swap failed because of a concurrent write."""

    code = "write_conflict"
    status = 409


class ConfigurationConflict(WriteConflict):
    """Another configuration change was accepted first."""

    code = "configuration_conflict"

    def __init__(self, version: int, author: str, change_id: str) -> None:
        """
        Report the accepted change.

        :param version: current configuration version.
        :param author: who applied it.
        :param change_id: ID of that change.
        """
        super().__init__(f"version {version} by {author} ({change_id}) is in force")
        self.version = version
        self.author = author
        self.change_id = change_id


class DocumentInvalid(Failure):
    """A document in the store cannot be parsed; its last valid content stays in use."""

    code = "document_invalid"
    status = 400


class SettingsInvalid(Failure):
    """The settings of a process are invalid."""

    code = "settings_invalid"
    status = 400


class ConfigurationProblem(Failure):
    """An error in a configuration, with its location."""

    code = "problem"
    status = 400

    def __init__(self, path: str, detail: str) -> None:
        """
        Create a configuration error.

        :param path: JSON pointer into the merged configuration; for :class:`NotJson`
            the path of the file.
        :param detail: human-readable description.
        """
        super().__init__(detail)
        self.path = path

    def __str__(self) -> str:
        return f"{self.path or '/'}: {self.code}: {self.detail}"


class NotJson(ConfigurationProblem):
    """The file is unreadable or does not contain a JSON object."""

    code = "not_json"


class KeyUnknown(ConfigurationProblem):
    """A key that the schema does not define."""

    code = "key_unknown"


class KeyMissing(ConfigurationProblem):
    """A required key is absent."""

    code = "key_missing"


class TypeWrong(ConfigurationProblem):
    """A value of the wrong type."""

    code = "type_wrong"


class ValueOutOfRange(ConfigurationProblem):
    """A value outside its range, in the wrong unit or otherwise not permitted."""

    code = "value_out_of_range"


class TargetAssignedTwice(ConfigurationProblem):
    """A target is assigned to two services."""

    code = "target_assigned_twice"


class TargetUnassigned(ConfigurationProblem):
    """A target is not assigned to any service."""

    code = "target_unassigned"


class ReferenceUnknown(ConfigurationProblem):
    """A reference to a name that the configuration does not define."""

    code = "reference_unknown"


class ServiceWithoutTarget(ConfigurationProblem):
    """A service without targets."""

    code = "service_without_target"


class ModelServedTwice(ConfigurationProblem):
    """A model that two services run, which makes its routing ambiguous."""

    code = "model_served_twice"


class ConfigurationInvalid(Failure):
    """An invalid configuration, with all of its errors."""

    code = "configuration_invalid"
    status = 400

    def __init__(self, problems: list[ConfigurationProblem]) -> None:
        """
        Combine the errors found.

        :param problems: all errors; never empty.
        """
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems
