"""Conversion of failures to and from the wire, and a request's final failure."""

from __future__ import annotations

from pimentolink import link_pb2
from pimentolink.errors import (
    REJECTIONS,
    AlreadyRun,
    ClaimContended,
    ClaimUnavailable,
    CrossedAnswer,
    Draining,
    Failure,
    IdempotencyKeyReused,
    NotRun,
    OutcomeUnknown,
    Overloaded,
    RejectionUnproven,
    TargetFailed,
    TargetRejected,
)
from pimentolink.httpclient import Answer
from pimentolink.request import Progress

FORWARDED_HEADERS = frozenset({"content-type", "location", "retry-after"})
# Seconds, for failures without a time of their own.
DEFAULT_RETRY_AFTER = 1.0

_FAILURE_BY_CODE: dict[str, type[Failure]] = {
    failure.code: failure
    for failure in (
        AlreadyRun,
        ClaimContended,
        ClaimUnavailable,
        CrossedAnswer,
        Draining,
        IdempotencyKeyReused,
        NotRun,
        OutcomeUnknown,
        Overloaded,
        RejectionUnproven,
        TargetFailed,
        TargetRejected,
    )
}


def finish_from_answer(answer: Answer) -> link_pb2.Finish:
    """
    Encode a target's complete answer.

    :param answer: as the target sent it.
    """
    return link_pb2.Finish(
        outcome=link_pb2.COMPLETE,
        status=answer.status,
        headers=[
            link_pb2.Header(name=name, value=value)
            for name, value in answer.headers.items()
            if name in FORWARDED_HEADERS
        ],
        body=answer.body,
    )


def finish_from_failure(failure: Failure) -> link_pb2.Finish:
    """
    Encode the failure of an attempt.

    :param failure: why the attempt failed.
    """
    if isinstance(failure, REJECTIONS):
        outcome = link_pb2.REJECTED
    elif failure.ran:
        outcome = link_pb2.UNKNOWN
    else:
        outcome = link_pb2.NOT_RUN
    return link_pb2.Finish(
        outcome=outcome,
        error_code=failure.code,
        retry_after_ms=int((failure.retry_after or 0) * 1000),
        body=failure.detail.encode(),
    )


def failure_from_finish(finish: link_pb2.Finish) -> Failure:
    """
    Decode the failure of an attempt.

    :param finish: how the attempt ended, with an outcome other than ``COMPLETE``.
    """
    failure_type = _FAILURE_BY_CODE.get(finish.error_code, TargetFailed)
    detail = finish.body.decode(errors="replace")
    return failure_type(detail, finish.retry_after_ms / 1000 or None)


def final_failure(failure: Failure, progress: Progress) -> Failure:
    """
    Derive a request's final failure from the failure of its last attempt.

    The result claims that the request did not run only if no attempt may have run.
    """
    if isinstance(failure, REJECTIONS):
        return failure
    if progress.may_have_run and progress.request.idempotency_key:
        return OutcomeUnknown(str(failure))
    if progress.may_have_run and not failure.ran:
        return TargetFailed(str(failure), failure.retry_after or DEFAULT_RETRY_AFTER)
    if failure.retry_after is None:
        failure.retry_after = DEFAULT_RETRY_AFTER
    return failure
