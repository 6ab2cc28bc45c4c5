"""Tests parsing of valid and invalid requests of callers and replies of engines."""

import h11
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from pimentolink.dialect import PromptPart, SendOptions
from pimentolink.errors import InvalidRequest, ReplyInvalid
from pimentolink.httptypes import HttpReply, HttpRequest, ReplyHead
from pimentolink.peermessages import PrefillStarted
from pimentolink.peers import PeerOutbox
from pimentolink.platform.dialect import (
    DEADLINE,
    PROMPT_PARTS,
    REQUEST_ID,
    TOKEN_COUNTS,
    PlatformDialect,
    read_request,
)
from pimentolink.prefillscheduler import encode_parts
from tests.jsonvalues import DOCUMENTS, documents_with

NUMBERS = st.one_of(
    st.integers(-5, 20_000).map(str),
    st.integers().map(str),
    st.sampled_from(
        ["", "1e3", "nan", "inf", "1_0", " 7", "7 ", "+7", "0x7", "9" * 30]
    ),
)
PART_NAMES = st.one_of(
    st.integers(0, 2**32).map(lambda number: f"{number:x}"),
    st.text("0123456789abcdefABCDEFx_-+ ", max_size=40),
)
PROMPT_PARTS_VALUES = st.lists(
    st.tuples(PART_NAMES, NUMBERS).map(":".join), max_size=4
).map(",".join)
ARBITRARY_BYTES = st.binary(max_size=40)


def make_request(**headers):
    """Build a request with the given headers."""
    names = {
        "parts": PROMPT_PARTS,
        "counts": TOKEN_COUNTS,
        "deadline": DEADLINE,
        "request_id": REQUEST_ID,
    }
    values = {"request_id": b"r"} | headers
    items = [(names[name], value) for name, value in values.items()]
    return HttpRequest(b"POST", b"/p/", ((b"Host", b"h.example"), *items), b"")


def make_reply(body):
    return HttpReply(ReplyHead(200, ()), body)


class TestRequest:
    def test_prompt_is_read(self):
        http = make_request(
            parts=b"5c1e:800,91bd:410", counts=b"1210,80", deadline=b"900"
        )
        parsed = read_request(http, 3.0).unwrap()
        assert parsed.parts == (PromptPart(0x5C1E, 800), PromptPart(0x91BD, 410))
        assert (parsed.prompt_tokens, parsed.output_tokens) == (1210, 80)
        assert (parsed.caller_timeout, parsed.arrived_at) == (0.9, 3.0)

    @pytest.mark.parametrize(
        "headers",
        [
            {"parts": b"5c1e"},
            {"parts": b"5c1e:"},
            {"parts": b"-5:800"},
            {"parts": b"5_c:800"},
            {"parts": b"5c1e:8_0"},
            {"parts": b"5c1e:-800"},
            {"parts": b"5c1e:99999999999999999999"},
            {"counts": b"1_0,5"},
            {"counts": b"-1,5"},
            {"counts": b"99999999999999999999,5"},
            {"deadline": b"nan"},
            {"deadline": b"-1"},
            {"request_id": b""},
        ],
    )
    def test_what_cannot_be_meant_is_refused(self, headers):
        parsed = read_request(make_request(**headers), 0.0)
        assert isinstance(parsed.err(), InvalidRequest)

    def test_long_names_of_parts_are_told_apart(self):
        http = make_request(parts=b"aa" * 16 + b":7," + b"ab" * 16 + b":7")
        first, second = read_request(http, 0.0).unwrap().parts
        assert first.part_id != second.part_id

    @settings(max_examples=10_000, deadline=None)
    @given(
        parts=PROMPT_PARTS_VALUES.map(str.encode) | ARBITRARY_BYTES,
        counts=st.tuples(NUMBERS, NUMBERS).map(",".join).map(str.encode)
        | ARBITRARY_BYTES,
        deadline=NUMBERS.map(str.encode) | ARBITRARY_BYTES,
    )
    def test_any_request_is_served_or_refused(self, parts, counts, deadline):
        http = make_request(parts=parts, counts=counts, deadline=deadline)
        parsed = read_request(http, 0.0)
        if isinstance(parsed, Err):
            assert isinstance(parsed.err_value, InvalidRequest)
            return
        parsed_request = parsed.ok_value
        assert parsed_request.prompt_tokens >= 0
        assert all(part.tokens >= 0 for part in parsed_request.parts)
        message = PrefillStarted(
            1, 2, parsed_request.prompt_tokens, encode_parts(parsed_request.parts)
        )
        assert PeerOutbox("life").add(message)
        PlatformDialect().target_request(
            parsed_request, SendOptions("e", parsed_request.caller_timeout)
        )


class TestReply:
    def test_cache_is_named(self):
        parsed = PlatformDialect().read_prefill_reply(
            make_reply(b'{"kvHandle":"3f","tokens":7}')
        )
        name = PlatformDialect().cache_source("10.0.0.1:80", parsed.unwrap())
        assert name == "10.0.0.1:80/3f"

    @pytest.mark.parametrize("handle", ["", "a\r\nX: y", "a b", "a/b", "é", "a" * 500])
    def test_name_that_fits_into_no_header_is_refused(self, handle):
        body = msgspec.json.encode({"kvHandle": handle, "tokens": 1})
        parsed = PlatformDialect().read_prefill_reply(make_reply(body))
        assert isinstance(parsed.err(), ReplyInvalid)

    def test_deep_nesting_is_refused(self):
        parsed = PlatformDialect().read_report(make_reply(b'{"x":' + b"[" * 100_000))
        assert isinstance(parsed.err(), ReplyInvalid)

    @settings(max_examples=10_000, deadline=None)
    @given(body=documents_with("kvHandle", "tokens", "version") | DOCUMENTS)
    def test_any_answer_to_a_reading_is_read_or_refused(self, body):
        parsed = PlatformDialect().read_prefill_reply(make_reply(body))
        if isinstance(parsed, Ok):
            name = PlatformDialect().cache_source("10.0.0.1:80", parsed.ok_value)
            headers = [("Host", "x"), ("Source", name)]
            h11.Request(method="GET", target="/", headers=headers)
            h11.Request(
                **head_fields(
                    PlatformDialect().release_cache_request("x", parsed.ok_value)
                )
            )
        else:
            assert isinstance(parsed.err_value, ReplyInvalid)

    @settings(max_examples=10_000, deadline=None)
    @given(body=documents_with("phase", "busy", "sequence") | DOCUMENTS)
    def test_any_report_is_read_or_refused(self, body):
        parsed = PlatformDialect().read_report(make_reply(body))
        assert isinstance(parsed, Ok) or isinstance(parsed.err_value, ReplyInvalid)

    @settings(max_examples=10_000, deadline=None)
    @given(
        body=st.lists(
            st.tuples(st.just(""), PART_NAMES, st.integers(), st.just("m")), max_size=3
        ).map(
            lambda held: msgspec.json.encode(
                {"held": [list(map(str, e)) for e in held]}
            )
        )
        | st.lists(
            st.tuples(st.just(""), PART_NAMES, st.integers(-9, 9999), st.just("m")),
            max_size=3,
        ).map(lambda held: msgspec.json.encode({"held": held}))
        | DOCUMENTS
    )
    def test_any_list_of_parts_is_read_or_refused(self, body):
        parsed = PlatformDialect().read_cache_contents(make_reply(body))
        if isinstance(parsed, Err):
            assert isinstance(parsed.err_value, ReplyInvalid)
            return
        assert all(part.tokens >= 0 for part in parsed.ok_value)


def head_fields(http):
    return {"method": http.method, "target": http.path, "headers": list(http.headers)}
