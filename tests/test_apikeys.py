"""Tests of API keys and of reading them from request headers."""

from hypothesis import given
from hypothesis import strategies as st
from result import Err

from pimentolink.apikeys import Organisation, digest_of, index_keys, read_key
from pimentolink.errors import Unauthenticated


class TestReading:
    @given(st.lists(st.tuples(st.just(b"Authorization"), st.binary(max_size=60))))
    def test_any_header_is_a_token_or_refused(self, headers):
        found = read_key(tuple(headers))
        if isinstance(found, Err):
            assert isinstance(found.err_value, Unauthenticated)
        else:
            assert len(headers) == 1
            assert found.ok_value in headers[0][1]

    def test_failure_does_not_tell_the_key(self):
        found = read_key(((b"Authorization", b"Token s3cret"),))
        assert "s3cret" not in str(found.unwrap_err())


class TestIndex:
    def test_key_of_two_organisations_is_the_first_ones(self):
        keys = index_keys([(Organisation("a"), ["k"]), (Organisation("b"), ["k", "l"])])
        assert keys.organisation(b"k") == Organisation("a")
        assert keys.organisation(b"l") == Organisation("b")
        assert keys.organisation(b"") is None

    def test_keys_are_not_kept(self):
        keys = index_keys([(Organisation("a"), ["s3cret"])])
        assert "s3cret" not in repr(vars(keys))
        assert digest_of(b"s3cret") in keys._organisations_by_digest
