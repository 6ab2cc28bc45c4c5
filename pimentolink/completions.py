"""Requests and answers of the OpenAI-style interface, apart from I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec
import xxhash
from msgspec import Struct
from result import Err, Ok, Result

from pimentolink import errors
from pimentolink.configuration import Configuration
from pimentolink.request import Request

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
WORK_HEADER = "pimentolink-work"
CHARACTERS_PER_TOKEN = 4
DEFAULT_DECODE_TOKENS = 256
# Lengths at which beginnings of prompts are compared, for the engines' caches.
PREFIX_TOKENS = (256, 512, 1_024, 2_048, 4_096, 8_192, 16_384, 32_768)


class ChatMessage(Struct):
    """
    One message of a chat.

    :ivar content: its text.
    """

    role: str
    content: str


class CompletionBody(Struct):
    """
    What is read of a body; the whole of it goes to the engine as it came.

    :source: OpenAI API, chat completions and completions.
    """

    model: str
    messages: list[ChatMessage] | None = None
    prompt: str | None = None
    max_tokens: int | None = None
    stream: bool = False


class Asked(Struct, frozen=True):
    """
    A completion as asked for.

    :ivar request: for the dispatcher.
    :ivar model: for the answer.
    :ivar is_chat: which of the two interfaces.
    :ivar is_streamed: whether the answer goes out token by token.
    """

    request: Request
    model: str
    is_chat: bool
    is_streamed: bool


_body_decoder = msgspec.json.Decoder(CompletionBody)


def parse(
    configuration: Configuration,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    request_id: str,
) -> Result[Asked, errors.Failure]:
    """
    Read a caller's request for a completion.

    :param configuration: in force; names models and kinds of work.
    :param path: ``CHAT_PATH`` or ``TEXT_PATH``.
    :param headers: by name in lower case.
    :param body: JSON.
    :param request_id: minted by the entry.
    :returns: what is asked, or what is wrong with it.
    """
    try:
        asked = _body_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(errors.InvalidRequest(str(error)))
    is_chat = path == CHAT_PATH
    prompt = _prompt_of(asked, is_chat)
    if prompt is None:
        wanted = "messages" if is_chat else "prompt"
        return Err(errors.InvalidRequest(f"Object missing required field `{wanted}`"))
    if asked.max_tokens is not None and asked.max_tokens < 1:
        return Err(errors.InvalidRequest("Expected `max_tokens` of 1 or more"))
    service = configuration.service_of_model(asked.model)
    if service is None:
        return Err(errors.ModelUnknown(f"no service runs {asked.model!r}"))
    work = headers.get(WORK_HEADER, configuration.services[service].work)
    if work not in configuration.work:
        return Err(errors.WorkUnknown(f"no kind of work {work!r}"))
    request = Request(
        request_id=request_id,
        service=service,
        work=work,
        priority=configuration.work[work].priority,
        patience=configuration.work[work].patience,
        caller=headers.get("pimentolink-caller", ""),
        method="POST",
        path=path,
        headers={"content-type": "application/json"},
        body=body,
        idempotency_key="",
        is_model=True,
        prefill_tokens=1 + len(prompt) // CHARACTERS_PER_TOKEN,
        decode_tokens=asked.max_tokens or DEFAULT_DECODE_TOKENS,
        token_limit=asked.max_tokens or 0,
        prefixes=_prefixes_of(prompt),
        traceparent=headers.get("traceparent", ""),
    )
    return Ok(Asked(request, asked.model, is_chat, asked.stream))


def _prompt_of(asked: CompletionBody, is_chat: bool) -> str | None:
    if not is_chat:
        return asked.prompt
    if not asked.messages:
        return None
    return "\n".join(message.content for message in asked.messages)


def _prefixes_of(prompt: str) -> tuple[int, ...]:
    lengths = (tokens * CHARACTERS_PER_TOKEN for tokens in PREFIX_TOKENS)
    return tuple(
        xxhash.xxh3_64_intdigest(prompt[:length].encode())
        for length in lengths
        if length <= len(prompt)
    )


class ChunkEncoder:
    """Writes the server-sent events of one answer."""

    def __init__(self, asked: Asked, created: int) -> None:
        """
        Prepare the parts that all events share.

        :param asked: what is answered.
        :param created: seconds since 1970.
        """
        kind = "chat.completion.chunk" if asked.is_chat else "text_completion"
        head = msgspec.json.encode(
            {
                "id": asked.request.request_id,
                "object": kind,
                "created": created,
                "model": asked.model,
            }
        )
        self._head = b"data: " + head[:-1] + b',"choices":[{"index":0,'
        if asked.is_chat:
            self._open, self._close = b'"delta":{"content":', b"}"
        else:
            self._open, self._close = b'"text":', b""

    def tokens(self, tokens: list[str]) -> bytes:
        """
        Encode tokens, an event for each.

        :param tokens: as they came.
        """
        return b"".join(
            self._head
            + self._open
            + msgspec.json.encode(token)
            + self._close
            + b',"finish_reason":null}]}\n\n'
            for token in tokens
        )

    def end(self, finish_reason: str) -> bytes:
        """
        Encode the end of a whole answer.

        :param finish_reason: as the engine gave it.
        """
        reason = msgspec.json.encode(finish_reason or "stop")
        last = self._head + self._open + b'""' + self._close
        return last + b',"finish_reason":' + reason + b"}]}\n\ndata: [DONE]\n\n"

    @staticmethod
    def failure(failure: errors.Failure) -> bytes:
        """
        Encode a failure after the stream began; no end follows it.

        :param failure: the final answer.
        """
        return b"data: " + error_body(failure) + b"\n\n"


def whole_answer(
    asked: Asked, created: int, tokens: list[str], finish_reason: str
) -> bytes:
    """
    Write an answer that was not streamed.

    :param asked: what is answered.
    :param created: seconds since 1970.
    :param tokens: all of them.
    :param finish_reason: as the engine gave it.
    """
    text = "".join(tokens)
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason or "stop"}
    if asked.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return msgspec.json.encode(
        {
            "id": asked.request.request_id,
            "object": "chat.completion" if asked.is_chat else "text_completion",
            "created": created,
            "model": asked.model,
            "choices": [choice],
            "usage": {"completion_tokens": len(tokens)},
        }
    )


def error_body(failure: errors.Failure) -> bytes:
    """
    Write a failure for a caller.

    :param failure: the final answer.
    """
    return msgspec.json.encode(
        {
            "error": {
                "code": failure.code,
                "message": failure.detail or failure.code.replace("_", " "),
                "ran": failure.ran,
            }
        }
    )
