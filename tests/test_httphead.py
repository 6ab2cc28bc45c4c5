"""Strict validation of request heads."""

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from pimentolink.errors import HeadTooLarge, InvalidRequest
from pimentolink.httphead import check_head, split_head

GOOD = b"POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nContent-Length: 3\r\n\r\n"


def head(*lines: bytes, first: bytes = b"GET / HTTP/1.1") -> bytes:
    return b"\r\n".join([first, *lines]) + b"\r\n\r\n"


class TestSplit:
    def test_whole_head_is_measured(self):
        assert split_head(GOOD + b"abc", 1000) == Ok(len(GOOD))

    def test_part_of_a_head_is_waited_for(self):
        for length in range(len(GOOD)):
            assert split_head(GOOD[:length], 1000) == Ok(0)

    def test_head_over_the_bound_is_refused_before_its_end(self):
        found = split_head(b"GET / HTTP/1.1\r\nX: " + b"a" * 1000, 500)
        assert isinstance(found, Err)
        assert isinstance(found.err_value, HeadTooLarge)

    def test_bare_line_end_is_refused_before_the_heads_end(self):
        found = split_head(b"GET / HTTP/1.1\nHost: x\n\n", 1000)
        assert isinstance(found, Err)
        assert isinstance(found.err_value, InvalidRequest)


class TestCheck:
    def test_proper_head_passes(self):
        assert check_head(GOOD) is None

    @pytest.mark.parametrize(
        "bad",
        [
            head(b"Host: x", b"Content-Length: 3", b"Transfer-Encoding: chunked"),
            head(b"Host: x", b"Content-Length: 3", b"Content-Length: 3"),
            head(b"Host: x", b"Content-Length: 3, 3"),
            head(b"Host: x", b"Content-Length: +3"),
            head(b"Host: x", b"Transfer-Encoding: gzip, chunked"),
            head(b"Host: x", b"Transfer-Encoding: chunked", b"Transfer-Encoding: x"),
            head(b"Host: x", b"Transfer-Encoding : chunked"),
            head(b"Host: x", b"X: a", b" folded"),
            head(b"Host: x", b"X: \xe9"),
            head(b"Host: x", b"X: a\x00b"),
            head(b"Host: x", b"Y"),
            head(b"Host: x", b"Host: y"),
            head(b"X: no host"),
            head(b"Host: x", b"X: a\rb"),
            head(b"Host: x", first=b"GET  / HTTP/1.1"),
            head(b"Host: x", first=b"GET / HTTP/2.0"),
            head(b"Host: x", first=b"GET http://x/ HTTP/1.1"),
            head(b"Host: x", b"Transfer-Encoding: chunked", first=b"GET / HTTP/1.0"),
        ],
    )
    def test_ambiguous_head_is_refused(self, bad):
        assert isinstance(check_head(bad), InvalidRequest)


HEADER_LINES = st.lists(
    st.sampled_from(
        [
            b"Host: x",
            b"Content-Length: 3",
            b"Content-Length: 03",
            b"Transfer-Encoding: chunked",
            b"transfer-encoding: Chunked",
            b"X: \t y ",
            b" folded",
            b"\tfolded",
            b"A b: c",
            b"",
            b"X: \x0b",
            b"X:\x7f",
            b"X: \xff",
        ]
    ),
    max_size=6,
)


@settings(max_examples=10_000, deadline=None)
@given(
    lines=HEADER_LINES,
    ends=st.sampled_from([b"\r\n", b"\n", b"\r"]),
    noise=st.binary(max_size=6),
    at=st.integers(0, 80),
)
def test_what_passes_has_one_reading(lines, ends, noise, at):
    """The parser accepts every head that passes, with at most one framing."""
    text = ends.join([b"POST /p HTTP/1.1", *lines]) + b"\r\n\r\n"
    text = text[:at] + noise + text[at:]
    found = split_head(text, 16_384)
    if isinstance(found, Err) or found.ok_value == 0:
        return
    start = text[: found.ok_value]
    if check_head(start) is not None:
        return
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(start)
    request = parser.next_event()
    assert isinstance(request, h11.Request)
    names = [name for name, _ in request.headers]
    assert names.count(b"host") == 1
    assert names.count(b"content-length") + names.count(b"transfer-encoding") <= 1
    assert b"\n" not in start.replace(b"\r\n", b"")
