"""
Stand-in for a target of the platform: a model engine or a plain service.

It follows the users' pages: it registers itself in the store, answers reports, prefills
prompts, streams events and runs plain calls. It appends a JSON line to its journal for
each request that it gets, runs and answers.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import http.client
import json
import os
import time
from pathlib import Path
from typing import Any
from uuid import uuid4

Head = tuple[str, str, dict[str, str]]


class Engine:
    """One boot of a target."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Start without requests."""
        self.options = options
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.phase = options.phase
        self.orders_accepted = 0
        self.handles: set[str] = set()
        self.running = 0
        self.calls = 0
        self.journal = Path(options.journal)

    def log(self, event: str, **fields: Any) -> None:
        """Append a line to the journal."""
        line = {
            "at": round(time.time(), 4),
            "engine": self.options.instance,
            "event": event,
            **fields,
        }
        with self.journal.open("a") as file:
            file.write(json.dumps(line) + "\n")

    def register(self) -> None:
        """Write the entry of this target in the store."""
        entry = {
            "service": self.options.service,
            "address": self.options.listen,
            "zone": self.options.zone,
            "version": 1,
            "slots": self.options.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }
        if self.phase:
            entry |= {"phase": self.phase, "models": [{"name": "m", "version": 1}]}
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        connection = http.client.HTTPConnection(self.options.store, timeout=5)
        path = f"/operator?key=servers/{self.options.instance}"
        connection.request("PUT", path, json.dumps({"value": value}))
        connection.getresponse().read()
        connection.close()
        self.log("registered", state=self.state, phase=self.phase, born=self.born)

    async def serve(self) -> None:
        """Serve until the process ends."""
        host, _, port = self.options.listen.rpartition(":")
        server = await asyncio.start_server(
            self.connection, host, int(port), backlog=512
        )
        await asyncio.get_running_loop().run_in_executor(None, self.register)
        async with server:
            await server.serve_forever()

    async def connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        try:
            while await self.exchange(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        try:
            raw = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        head = parse_head(raw)
        body = await reader.readexactly(int(head[2].get("content-length", "0")))
        return await self.answer(head, body, writer)

    async def answer(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        method, path, headers = head
        request_id = headers.get("pimentolink-request-id", "")
        expected = headers.get("pimentolink-expect-instance")
        if path == "/standin":
            wanted = json.loads(body)
            self.options.endless = wanted.get("endless", self.options.endless)
            if "state" in wanted:
                self.state = wanted["state"]
                await asyncio.get_running_loop().run_in_executor(None, self.register)
            return await reply(writer, 200, {})
        if expected not in (None, self.options.instance):
            return await reply(writer, 421, {})
        if self.is_for_the_engine(path):
            return await self.answer_for_itself(path, body, writer)
        self.log(
            "request",
            request=request_id,
            method=method,
            path=path,
            stage=headers.get("pimentolink-stage", ""),
            source=headers.get("pimentolink-kv-source", ""),
            last=headers.get("last-event-id", ""),
            deadline=headers.get("pimentolink-deadline-ms", ""),
        )
        if headers.get("pimentolink-stage") == "prefill":
            return await self.prefill(request_id, writer)
        if self.is_fatal(headers):
            return await self.crash(request_id)
        if "pimentolink-prompt-prefix" in headers or "stream" in path:
            return await self.stream(request_id, headers, writer)
        return await self.call(request_id, body, writer)

    def is_fatal(self, headers: dict[str, str]) -> bool:
        """Return whether a prompt has the part that crashes this engine."""
        parts = headers.get("pimentolink-prompt-prefix", "").split(",")
        names = [part.strip().partition(":")[0] for part in parts[:-1]]
        return bool(self.options.part) and self.options.part in names

    async def crash(self, request_id: str) -> bool:
        """Begin to run a request and end this process."""
        self.log("crash", request=request_id)
        await asyncio.sleep(0.03)
        os._exit(1)

    def is_for_the_engine(self, path: str) -> bool:
        """Return whether a call concerns the engine itself, and no request."""
        return path in ("/report", "/healthz", "/order", "/kv-list") or path.startswith(
            "/kv-handle/"
        )

    async def answer_for_itself(
        self, path: str, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call that concerns the engine itself."""
        if path == "/report":
            return await reply(writer, 200, self.report())
        if path == "/healthz":
            status = 200 if self.state == "ready" else 503
            name = {"Pimentolink-Instance-Id": self.options.instance}
            return await reply(writer, status, {}, name)
        if path == "/order":
            return await self.order(json.loads(body), writer)
        if path == "/kv-list":
            return await reply(writer, 200, {"epoch": 1, "next": 1, "held": []})
        self.handles.discard(path.rpartition("/")[2])
        return await reply(writer, 200, {})

    def report(self) -> dict[str, Any]:
        """Return the report of this engine."""
        return {
            "phase": self.phase,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self.orders_accepted,
            "queued": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 700_000,
            "kvHandles": len(self.handles),
            "born": self.born,
        }

    async def order(self, order: dict[str, Any], writer: asyncio.StreamWriter) -> bool:
        """Carry out an order."""
        self.log("order", **order)
        if order.get("expected") != self.orders_accepted:
            return await reply(writer, 409, {})
        self.orders_accepted += 1
        self.phase = order["phase"]
        await asyncio.get_running_loop().run_in_executor(None, self.register)
        return await reply(writer, 202, {})

    async def prefill(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        """Prefill a prompt and keep its KV cache under a handle."""
        await asyncio.sleep(0.02)
        handle = uuid4().hex[:12]
        self.handles.add(handle)
        answer = {"kvHandle": handle, "tokens": 1460, "version": 1}
        return await reply(writer, 200, answer, {"Pimentolink-Request-Id": request_id})

    async def stream(
        self, request_id: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Stream the events of a run, after the one that the caller has."""
        last = int(headers.get("last-event-id", "0"))
        is_unframed = self.options.framing == "close"
        framing = "Connection: close" if is_unframed else "Transfer-Encoding: chunked"
        self.log("run", request=request_id, after=last)
        self.running += 1
        try:
            writer.write(
                (
                    "HTTP/1.1 200 OK\r\n"
                    "Content-Type: text/event-stream\r\n"
                    f"Pimentolink-Request-Id: {request_id}\r\n"
                    f"Pimentolink-Response-Signature: signed-{request_id}\r\n"
                    f"{framing}\r\n\r\n"
                ).encode()
            )
            for number in range(last + 1, self.options.events + 1):
                data = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                if not is_unframed:
                    data = b"%x\r\n%s\r\n" % (len(data), data)
                writer.write(data)
                await writer.drain()
                self.log("event", request=request_id, number=number)
                await asyncio.sleep(self.options.gap)
            if not is_unframed:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
        self.log("end", request=request_id)
        return not is_unframed

    async def write_without_end(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Write a body in small chunks until the caller closes the connection."""
        writer.write(
            (
                "HTTP/1.1 200 OK\r\n"
                f"Pimentolink-Request-Id: {request_id}\r\n"
                f"Pimentolink-Response-Signature: signed-{request_id}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        chunks = b"1\r\nx\r\n" * 10_000
        try:
            while True:
                writer.write(chunks)
                await writer.drain()
        except ConnectionError:
            self.log("closed by the caller", request=request_id)
            raise

    async def call(
        self, request_id: str, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a plain call."""
        self.log("run", request=request_id)
        if self.options.fatal and body == self.options.fatal.encode():
            return await self.crash(request_id)
        self.calls += 1
        if self.options.endless and self.calls % self.options.endless == 0:
            return await self.write_without_end(request_id, writer)
        await asyncio.sleep(self.options.work)
        self.log("end", request=request_id)
        return await reply(
            writer,
            200,
            {"request": request_id},
            {
                "Pimentolink-Request-Id": request_id,
                "Pimentolink-Response-Signature": f"signed-{request_id}",
            },
        )


def parse_head(raw: bytes) -> Head:
    """Parse the head of a request."""
    first, *lines = raw.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return method, path, headers


async def reply(
    writer: asyncio.StreamWriter,
    status: int,
    value: Any,
    headers: dict[str, str] | None = None,
) -> bool:
    """Send a JSON response; the connection stays open."""
    body = json.dumps(value).encode()
    lines = [f"HTTP/1.1 {status} Status", "Content-Type: application/json"]
    lines += [f"{name}: {text}" for name, text in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode() + body)
    await writer.drain()
    return True


def main() -> None:
    """Serve with the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--instance", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--journal", required=True)
    parser.add_argument("--zone", default="trenta")
    parser.add_argument("--phase", default="")
    parser.add_argument("--slots", type=int, default=128)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--gap", type=float, default=0.1)
    parser.add_argument("--work", type=float, default=0.02)
    parser.add_argument("--endless", type=int, default=0)
    parser.add_argument("--fatal", default="")
    parser.add_argument("--part", default="")
    parser.add_argument("--framing", choices=("chunked", "close"), default="chunked")
    asyncio.run(Engine(parser.parse_args()).serve())


if __name__ == "__main__":
    main()
