"""End-to-end tests over real processes: caller, entry, sidecar, target."""

import json
import socket
import time

import pytest

from standins.engine import whole_answer
from tests.builders import TARGETS, configuration, start_targets
from tools.fleet import Fleet, call


@pytest.fixture(scope="module")
def small_fleet():
    with Fleet() as fleet:
        start_targets(fleet)
        fleet.start_entry("entry", "north")
        fleet.apply(configuration())
        fleet.wait_ready("entry", TARGETS)
        yield fleet


def post_completion(fleet, **body):
    url = fleet.url("entry", "/v1/completions")
    return call(url, "POST", {"model": "claims", "prompt": "hello", **body})


class TestCompletions:
    def test_whole_answer_is_the_engines(self, small_fleet):
        reply = post_completion(small_fleet, max_tokens=12)
        assert reply.status == 200
        assert reply.json["choices"][0]["text"] == whole_answer("hello", 12)

    def test_streamed_answer_has_every_token_and_its_end(self, small_fleet):
        reply = post_completion(small_fleet, max_tokens=7, stream=True)
        events = reply.body.decode().strip().split("\n\n")
        assert events[-1] == "data: [DONE]"
        chunks = [json.loads(event.removeprefix("data: ")) for event in events[:-1]]
        text = "".join(chunk["choices"][0]["text"] for chunk in chunks)
        assert text == whole_answer("hello", 7)
        assert chunks[-1]["choices"][0]["finish_reason"] == "length"

    def test_chat_answer_comes_as_a_message(self, small_fleet):
        messages = [{"role": "user", "content": "where"}]
        body = {"model": "claims", "messages": messages, "max_tokens": 3}
        url = small_fleet.url("entry", "/v1/chat/completions")
        reply = call(url, "POST", body)
        message = reply.json["choices"][0]["message"]
        assert message == {"role": "assistant", "content": whole_answer("where", 3)}

    def test_models_are_listed(self, small_fleet):
        listed = call(small_fleet.url("entry", "/v1/models")).json["data"]
        assert [model["id"] for model in listed] == ["claims"]


class TestBadInput:
    @pytest.mark.parametrize(
        ("body", "status", "code"),
        [
            (b"{", 400, "invalid_request"),
            (b'{"model":"claims"}', 400, "invalid_request"),
            (b'{"model":"claims","prompt":3}', 400, "invalid_request"),
            (b'{"model":"claims","prompt":"a","max_tokens":0}', 400, "invalid_request"),
            (b'{"model":"other","prompt":"a"}', 404, "model_unknown"),
        ],
    )
    def test_body_is_refused_with_its_code(self, small_fleet, body, status, code):
        reply = call(small_fleet.url("entry", "/v1/completions"), "POST", body)
        assert (reply.status, reply.json["error"]["code"]) == (status, code)
        assert reply.json["error"]["ran"] is False

    def test_unknown_kind_of_work_is_refused(self, small_fleet):
        url = small_fleet.url("entry", "/v1/completions")
        body = {"model": "claims", "prompt": "a"}
        reply = call(url, "POST", body, {"pimentolink-work": "gossip"})
        assert (reply.status, reply.json["error"]["code"]) == (400, "work_unknown")

    def test_huge_body_is_refused(self, small_fleet):
        url = small_fleet.url("entry", "/v1/completions")
        reply = call(url, "POST", b"x" * 4_000_001)
        assert (reply.status, reply.json["error"]["code"]) == (413, "body_too_large")


class TestPlainService:
    def test_call_passes_to_the_service_and_back(self, small_fleet):
        url = small_fleet.url("entry", "/services/dispatch/send?to=north")
        reply = call(url, "POST", {"who": "a"}, {"idempotency-key": "a"})
        assert reply.status == 200
        assert reply.json["path"] == "/send?to=north"

    def test_call_without_its_key_is_refused(self, small_fleet):
        url = small_fleet.url("entry", "/services/dispatch/send")
        reply = call(url, "POST", {"who": "b"})
        assert reply.status == 400
        assert reply.json["error"]["code"] == "idempotency_key_missing"

    def test_same_key_runs_once_and_answers_alike(self, small_fleet):
        url = small_fleet.url("entry", "/services/dispatch/send")
        replies = [
            call(url, "POST", {"who": "c"}, {"idempotency-key": "c"}) for _ in range(3)
        ]
        assert {reply.status for reply in replies} == {200}
        assert count_runs(small_fleet, '{"who": "c"}') == 1

    def test_same_key_for_another_call_is_refused(self, small_fleet):
        url = small_fleet.url("entry", "/services/dispatch/send")
        call(url, "POST", {"who": "d"}, {"idempotency-key": "d"})
        reply = call(url, "POST", {"who": "e"}, {"idempotency-key": "d"})
        assert (reply.status, reply.json["error"]["code"]) == (
            422,
            "idempotency_key_reused",
        )
        assert count_runs(small_fleet, '{"who": "e"}') == 0


def count_runs(fleet, call_body):
    services = ("dispatch-1", "dispatch-2")
    counts = [call(fleet.url(name, "/runs")).json for name in services]
    return sum(count.get(call_body, 0) for count in counts)


class TestCrossedAnswers:
    def test_answer_to_another_request_is_dropped_and_asked_again(self, small_fleet):
        faults = small_fleet.url("engine-1", "/faults")
        call(faults, "PUT", {"cross_answers": True})
        try:
            for number in range(4):
                prompt = f"own {number}"
                reply = post_completion(small_fleet, prompt=prompt, max_tokens=6)
                assert reply.json["choices"][0]["text"] == whole_answer(prompt, 6)
        finally:
            call(faults, "PUT", {"cross_answers": False})


class TestPausedEntry:
    PATIENCE = 1

    @pytest.fixture
    def fleet(self):
        with Fleet() as fleet:
            start_targets(fleet)
            fleet.start_entry("entry", "north")
            document = configuration()
            document["work"]["dispatch"]["patience"] = self.PATIENCE
            fleet.apply(document)
            fleet.wait_ready("entry", TARGETS)
            for name in ("dispatch-1", "dispatch-2"):
                call(fleet.url(name, "/duration"), "PUT", 0.8)
            yield fleet

    def send_call(self, connection, key):
        head = "POST /services/dispatch/send HTTP/1.1\r\nHost: a\r\n"
        head += f"Idempotency-Key: {key}\r\nContent-Length: {len(key)}\r\n\r\n"
        connection.sendall(f"{head}{key}".encode())

    def read_until_quiet(self, connection, seconds):
        connection.settimeout(seconds)
        received = b""
        try:
            while data := connection.recv(65536):
                received += data
        except TimeoutError:
            pass
        return received

    def test_caller_gets_one_response_to_each_call(self, fleet):
        """The patience ends, and the target's response arrives, during a pause."""
        host, _, port = fleet.address("entry").rpartition(":")
        with socket.create_connection((host, int(port))) as connection:
            for key in ("a", "b", "c"):
                self.send_call(connection, key)
                time.sleep(0.5)
                fleet.processes_by_name["entry"].pause()
                time.sleep(1.0)
                fleet.processes_by_name["entry"].resume()
                received = self.read_until_quiet(connection, 1.0)
                assert received.count(b"HTTP/1.1 ") == 1
                if b"HTTP/1.1 200" in received:
                    assert f'"ran": "{key}"'.encode() in received
        runs = [call(fleet.url(f"dispatch-{n}", "/runs")).json for n in (1, 2)]
        assert sorted(key for found in runs for key in found) == ["a", "b", "c"]
        assert {count for found in runs for count in found.values()} == {1}
