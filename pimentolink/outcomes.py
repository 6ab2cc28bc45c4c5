"""How attempts end: failures on the wire, and a request's final answer."""

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
    TargetFailed,
    TargetRejected,
)
from pimentolink.httpclient import Answer
from pimentolink.request import Progress

KEPT_HEADERS = frozenset({"content-type", "location", "retry-after"})
RETRY_AFTER = 1.0

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
        TargetFailed,
        TargetRejected,
    )
}


def finish_of_answer(answer: Answer) -> link_pb2.Finish:
    """
    Write the end of a whole answer.

    :param answer: of the target.
    """
    return link_pb2.Finish(
        outcome=link_pb2.COMPLETE,
        status=answer.status,
        headers=[
            link_pb2.Header(name=name, value=value)
            for name, value in answer.headers.items()
            if name in KEPT_HEADERS
        ],
        body=answer.body,
    )


def finish_of(failure: Failure) -> link_pb2.Finish:
    """
    Write a failed attempt's end.

    :param failure: why it failed.
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


def failure_of(finish: link_pb2.Finish) -> Failure:
    """
    Read why an attempt failed.

    :param finish: its end, other than a whole answer.
    """
    failure_type = _FAILURE_BY_CODE.get(finish.error_code, TargetFailed)
    detail = finish.body.decode(errors="replace")
    return failure_type(detail, finish.retry_after_ms / 1000 or None)


def final_failure(failure: Failure, progress: Progress) -> Failure:
    """
    Turn the last failure into the request's final answer.

    Only a request of which no attempt may have run is said not to have run.
    """
    if isinstance(failure, REJECTIONS):
        return failure
    if progress.may_have_run and progress.request.idempotency_key:
        return OutcomeUnknown(str(failure))
    if progress.may_have_run and not failure.ran:
        return TargetFailed(str(failure), failure.retry_after or RETRY_AFTER)
    if failure.retry_after is None:
        failure.retry_after = RETRY_AFTER
    return failure
