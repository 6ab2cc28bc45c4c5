"""API keys of organisations, and their extraction from request headers."""

from __future__ import annotations

import re
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from result import Err, Ok, Result

from pimentolink.errors import Unauthenticated
from pimentolink.httptypes import Headers

# Length of a digest in bytes, enough to make finding a second key with the same digest
# infeasible.
DIGEST_BYTES = 32
AUTHORIZATION = b"authorization"
# :source: RFC 6750, section 2.1, and RFC 9110, section 11.1.
_BEARER_PATTERN = re.compile(rb"[Bb][Ee][Aa][Rr][Ee][Rr] +([A-Za-z0-9._~+/-]+=*)")


class Organisation(NamedTuple):
    """
    An organisation that holds API keys.

    :ivar name: name of the organisation.
    :ivar priority: priority of its requests, which overrides the priority of their
        route; ``None`` if the route's priority applies.
    """

    name: str
    priority: int | None = None


def digest_of(key: bytes) -> bytes:
    """Return the digest that is stored in place of a key."""
    return blake2b(key, digest_size=DIGEST_BYTES).digest()


class ApiKeys:
    """The API keys of one version of the configuration, indexed by digest."""

    def __init__(self, organisations_by_digest: dict[bytes, Organisation]) -> None:
        """
        Create an index.

        :param organisations_by_digest: the organisation that holds each key, by the
            key's :func:`digest_of`.
        """
        self._organisations_by_digest = organisations_by_digest

    def organisation(self, key: bytes) -> Organisation | None:
        """Return the organisation that holds a key, or ``None`` if there is none."""
        return self._organisations_by_digest.get(digest_of(key))


def read_key(headers: Headers) -> Result[bytes, Unauthenticated]:
    """
    Read the API key from the ``Authorization`` header of a request.

    :param headers: headers of the request.
    :returns: the key, or the reason why the request is not authenticated.
    """
    authorizations = [value for name, value in headers if name.lower() == AUTHORIZATION]
    if not authorizations:
        return Err(Unauthenticated("the request bears no API key"))
    if len(authorizations) > 1:
        return Err(Unauthenticated("the request bears more than one authorization"))
    match = _BEARER_PATTERN.fullmatch(authorizations[0].strip())
    if match is None:
        return Err(Unauthenticated("the authorization is no bearer token"))
    return Ok(match[1])


def without_key(headers: Headers) -> Headers:
    """Remove ``Authorization`` headers, which must not be forwarded to targets."""
    return tuple(item for item in headers if item[0].lower() != AUTHORIZATION)


def index_keys(
    keys_by_organisation: Iterable[tuple[Organisation, Iterable[str]]],
) -> ApiKeys:
    """
    Index the keys of all organisations by digest.

    A key that several organisations hold is assigned to the first of them.

    :param keys_by_organisation: pairs of an organisation and its keys.
    """
    organisations_by_digest: dict[bytes, Organisation] = {}
    for organisation, keys in keys_by_organisation:
        for key in keys:
            digest = digest_of(key.encode())
            organisations_by_digest.setdefault(digest, organisation)
    return ApiKeys(organisations_by_digest)
