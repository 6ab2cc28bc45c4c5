"""HTTP messages as typed values."""

import pytest

from pimentolink.httptypes import BodyFraming, ReplyHead, body_framing

LENGTH = (b"Content-Length", b"3")
CHUNKED = (b"Transfer-Encoding", b"chunked")


class TestBodyFraming:
    @pytest.mark.parametrize(
        ("headers", "framing"),
        [
            ((LENGTH,), BodyFraming.LENGTH),
            ((CHUNKED,), BodyFraming.CHUNKED),
            ((LENGTH, CHUNKED), BodyFraming.CHUNKED),
            ((), BodyFraming.CLOSE),
        ],
    )
    def test_follows_from_the_headers(self, headers, framing):
        assert body_framing(b"POST", ReplyHead(200, headers)) is framing

    @pytest.mark.parametrize(
        ("method", "status"), [(b"HEAD", 200), (b"GET", 204), (b"GET", 304)]
    )
    def test_response_that_never_has_a_body_ends_with_its_head(self, method, status):
        head = ReplyHead(status, ())
        assert body_framing(method, head) is BodyFraming.LENGTH
