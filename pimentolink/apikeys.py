"""API keys of organisations, and how callers present them."""

from __future__ import annotations

import re
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from result import Err, Ok, Result

from pimentolink.errors import Unauthenticated
from pimentolink.httptypes import Headers

# Bytes of a digest; no other key can be found that has the digest of a given one.
DIGEST_BYTES = 32
AUTHORIZATION = b"authorization"
# :source: RFC 6750, section 2.1, and RFC 9110, section 11.1.
_BEARER = re.compile(rb"[Bb][Ee][Aa][Rr][Ee][Rr] +([A-Za-z0-9._~+/-]+=*)")


class Organisation(NamedTuple):
    """
    Who asks.

    :ivar priority: of its requests, before that of their route; ``None`` if only the
        route's counts.
    """

    name: str
    priority: int | None = None


def digest_of(key: bytes) -> bytes:
    """Make the digest under which a key is known; the key itself is kept nowhere."""
    return blake2b(key, digest_size=DIGEST_BYTES).digest()


class ApiKeys:
    """The keys of one version of the configuration, by digest."""

    def __init__(self, organisations_by_digest: dict[bytes, Organisation]) -> None:
        """
        Take the keys.

        :param organisations_by_digest: see :func:`digest_of`.
        """
        self._organisations_by_digest = organisations_by_digest

    def organisation(self, key: bytes) -> Organisation | None:
        """Find the organisation that holds a key."""
        return self._organisations_by_digest.get(digest_of(key))


def read_key(headers: Headers) -> Result[bytes, Unauthenticated]:
    """
    Read the key that a caller presents.

    :param headers: of its request.
    """
    found = [value for name, value in headers if name.lower() == AUTHORIZATION]
    if not found:
        return Err(Unauthenticated("the request bears no API key"))
    if len(found) > 1:
        return Err(Unauthenticated("the request bears more than one authorization"))
    match = _BEARER.fullmatch(found[0].strip())
    if match is None:
        return Err(Unauthenticated("the authorization is no bearer token"))
    return Ok(match[1])


def without_key(headers: Headers) -> Headers:
    """Drop what a caller presents, which targets must not see."""
    return tuple(item for item in headers if item[0].lower() != AUTHORIZATION)


def index_keys(
    keys_by_organisation: Iterable[tuple[Organisation, Iterable[str]]],
) -> ApiKeys:
    """
    Index the keys of all organisations by digest.

    A key that two organisations hold is the first one's.

    :param keys_by_organisation: each organisation with its keys.
    """
    organisations_by_digest: dict[bytes, Organisation] = {}
    for organisation, keys in keys_by_organisation:
        for key in keys:
            digest = digest_of(key.encode())
            organisations_by_digest.setdefault(digest, organisation)
    return ApiKeys(organisations_by_digest)
