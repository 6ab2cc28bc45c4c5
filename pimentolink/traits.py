"""What a request has in common with others, and may be blamed for."""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache
from hashlib import blake2b

from pimentolink.dialect import PromptPart

# Traits begin with this letter, which no fingerprint of a request contains.
TRAIT_MARK = "p"
# Leading parts of a prompt that are traits; bounds the work for one request.
MAX_PROMPT_TRAITS = 16
# Size of the digest of a service's name, in bytes.
_SERVICE_DIGEST_BYTES = 8


def traits_of(service: str, parts: Sequence[PromptPart]) -> tuple[str, ...]:
    """
    Return the traits of a request.

    These are the parts of its prompt that other prompts may have in common with it. The
    last 16 digits of a trait are the part's id.

    :param service: the service that the request goes to. Other services run other
        models, which need not fail on the same part.
    :param parts: of the prompt, in order; the last one belongs to the request alone.
    """
    digest = _service_digest(service)
    shared = parts[:-1][:MAX_PROMPT_TRAITS]
    return tuple(
        dict.fromkeys(f"{TRAIT_MARK}{digest}{part.part_id:016x}" for part in shared)
    )


def is_trait(fingerprint: str) -> bool:
    """Tell whether a fingerprint is that of a trait, rather than of one request."""
    return fingerprint.startswith(TRAIT_MARK)


@lru_cache(maxsize=256)
def _service_digest(service: str) -> str:
    digest = blake2b(service.encode(), digest_size=_SERVICE_DIGEST_BYTES)
    return digest.hexdigest()
