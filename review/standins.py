#!/usr/bin/env python3
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
"""Stand-ins of the review's scripts: the platform's store, model servers and clients, by the users' pages.

All listen on loopback addresses and free ports. The nodes are the project's own program, started as separate processes
with the command of the deploy file and settings filled in as the platform fills platform/node.json.
"""
import asyncio
import base64
import json
import os
import secrets
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
NODE = os.path.join(ROOT, "target", "bin", "spurtide-node")
HOST = "ficu95.example"


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """What was sent, answered and run, in the order of the clock."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# --- HTTP, as far as the stand-ins need it


class Message:
    def __init__(self, line, headers, body):
        self.line = line
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    line, headers = await read_head(reader)
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        async for piece in read_chunks(reader):
            body += piece
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(line, headers, body)


async def read_chunks(reader):
    while True:
        size = int((await reader.readline()).strip() or b"x", 16)
        piece = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return
        yield piece


def answer_bytes(status, headers, body=b""):
    reasons = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Channel:
    """One connection that a server accepted."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.surplus = None

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()


class Server:
    """Serves one request at a time on a channel, and drops it when the channel closes."""

    def __init__(self):
        self.address = None
        self.channels = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def serve(self, reader, writer):
        channel = Channel(reader, writer)
        self.channels.add(channel)
        try:
            while True:
                message = await read_message(reader)
                work = asyncio.ensure_future(self.handle(channel, message))
                gone = asyncio.ensure_future(self.wait_gone(reader))
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                gone.cancel()
                if not work.done():
                    work.cancel()
                    await asyncio.gather(work, return_exceptions=True)
                    break
                work.result()
                if reader.at_eof():
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(channel)
            writer.close()

    @staticmethod
    async def wait_gone(reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)

    async def handle(self, channel, message):
        raise NotImplementedError


# --- the platform's store


class Store(Server):
    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 100
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        self.rows[(table, key)] = (data, self.version)
        self.wake()

    def remove(self, table, key):
        self.version += 1
        self.rows[(table, key)] = (None, self.version)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key):
        value, version = self.rows[(table, key)]
        row = {"table": table, "part": "", "tls_key": key, "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def reply(self, channel, status, body):
        body["ver"] = self.version
        body["now_ms"] = int(time.monotonic() * 1000)
        data = json.dumps(body).encode()
        await asyncio.sleep(0.004)
        await channel.send(answer_bytes(status, [("Content-Type", "application/json")], data))

    async def handle(self, channel, message):
        method, target, _ = message.line.split(" ")
        path, _, query = target.partition("?")
        fields = dict(item.partition("=")[::2] for item in query.split("&") if item)
        if path == "/v1/rows-get":
            rows = [self.row(*key) for key in sorted(self.rows) if key[0] == fields["table"] and self.rows[key][0] is not None]
            return await self.reply(channel, 200, {"rows": rows, "more_pages": False})
        if path == "/v1/rows-feed":
            after = int(fields["after"])
            until = time.monotonic() + min(30000, int(fields.get("wait_ms", 0))) / 1000
            while True:
                news = [key for key in self.rows if key[0] == fields["table"] and self.rows[key][1] > after]
                left = until - time.monotonic()
                if news or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            news.sort(key=lambda key: self.rows[key][1])
            return await self.reply(channel, 200, {"rows": [self.row(*key) for key in news]})
        if method == "POST" and path == "/v1/rows-tx":
            return await self.transact(channel, json.loads(message.body))
        await self.reply(channel, 404, {})

    async def transact(self, channel, call):
        def version_of(entry):
            value, version = self.rows.get((entry["table"], entry["tls_key"]), (None, 0))
            return version if value is not None else 0

        expected = call.get("expected_count") or []
        if any(version_of(entry) != entry["ver"] for entry in expected):
            rows = [self.row(e["table"], e["tls_key"]) for e in expected if version_of(e)]
            return await self.reply(channel, 412, {"rows": rows})
        self.version += 1
        for entry in call.get("set_keys") or []:
            self.rows[(entry["table"], entry["tls_key"])] = (base64.b64decode(entry["value"]), self.version)
        for entry in call.get("remove") or []:
            self.rows[(entry["table"], entry["tls_key"])] = (None, self.version)
        self.wake()
        await self.reply(channel, 200, {})


# --- model servers and plain servers


class Upstream(Server):
    """A server of the platform; it registers itself in the store."""

    def __init__(self, record, store, service, zone, slots):
        super().__init__()
        self.record = record
        self.store = store
        self.service = service
        self.zone = zone
        self.slots = slots
        self.identity = "i-" + secrets.token_hex(5)
        self.orders = 0
        self.stamp = 0
        self.state = "ready"
        # Requests that it began, in order, and those that it brought to their end.
        self.runs = []
        self.ended = []
        self.active = 0

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0, "call_seq": self.orders}

    async def listen(self):
        await super().listen()
        self.register()

    def register(self):
        self.store.put("servers", self.identity, self.entry())

    def own_headers(self, message):
        self.stamp += 1
        return [("X-Spurtide-Attempt-Id", message.get("X-Spurtide-Attempt-Id")), ("X-Spurtide-Server-Stamp", f"{self.identity}.{self.stamp:x}")]

    async def reject(self, channel, message, status, why):
        headers = [("X-Spurtide-Attempt-Id", message.get("X-Spurtide-Attempt-Id")), ("X-Spurtide-Not-Executed", "1")]
        if status == 421:
            headers.append(("X-Spurtide-Instance-Id", self.identity))
        self.record.note(f"{self.identity} answers {status} not executed to {message.get('X-Spurtide-Attempt-Id')}: {why}")
        data = answer_bytes(status, headers)
        await channel.send(data)
        return data

    def is_for_other(self, message):
        expected = message.get("X-Spurtide-Expect-Instance")
        return bool(expected) and expected != self.identity


class Engine(Upstream):
    """A model server with a phase. Times are of one engine under moderate load."""

    handles = {}

    def __init__(self, record, store, service, zone, phase, slots=64):
        super().__init__(record, store, service, zone, slots)
        self.phase = phase
        self.read_s = 0.03
        self.event_s = 0.05
        # Hooks of the cases: the events of a stream, and whether a request is turned away.
        self.events_of = lambda message: 5
        # Whether an answer has no length and ends with its channel.
        self.is_unframed = lambda message: False
        self.turns_away = lambda message: None
        self.after_rejection = lambda channel, data: None

    def entry(self):
        entry = super().entry()
        entry["phase"] = self.phase
        entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    async def handle(self, channel, message):
        method, target, _ = message.line.split(" ")
        if channel.surplus:
            data, channel.surplus = channel.surplus, None
            self.record.note(f"{self.identity} sends a late second copy of an earlier answer on the channel of {message.get('X-Spurtide-Attempt-Id') or target}")
            await channel.send(data)
        if target == "/v1/report":
            report = {"phase": self.phase, "models": [{"name": "m", "version": 1, "adapters": []}], "busy_slots": False, "call_seq": self.orders, "queued_count": 0, "active_count": self.active, "kv_used": 0, "kv_total": 89659, "kv_handles": 0}
            return await channel.send(answer_bytes(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
        if target.startswith("/v1/kv-list"):
            return await channel.send(answer_bytes(200, [("Content-Type", "application/json")], b'{"epoch":"e","next_token":0,"held":[]}'))
        if method == "DELETE":
            Engine.handles.pop(target.rpartition("/")[2], None)
            return await channel.send(answer_bytes(200, []))
        if target == "/v1/kv-move":
            return await channel.send(answer_bytes(404, [("Content-Type", "application/json")], b"{}"))
        if self.is_for_other(message):
            return await self.reject(channel, message, 421, "another instance is expected")
        if target == "/v1/order":
            return await self.take_order(channel, json.loads(message.body))
        if message.get("X-Spurtide-Serving-Phase") == "prefill":
            return await self.prefill(channel, message)
        await self.decode(channel, message)

    async def take_order(self, channel, order):
        if order.get("expected_count", self.orders) != self.orders:
            return await channel.send(answer_bytes(409, []))
        self.orders += 1
        self.record.note(f"{self.identity} takes an order: {order['phase']}")
        await channel.send(answer_bytes(202, []))

        async def change():
            await asyncio.sleep(1)
            self.phase = order["phase"]
            self.register()

        asyncio.ensure_future(change())

    async def prefill(self, channel, message):
        if self.phase != "prefill":
            return await self.reject(channel, message, 421, "it does not prefill")
        await asyncio.sleep(self.read_s)
        handle = secrets.token_hex(6)
        Engine.handles[handle] = message.get("X-Spurtide-Attempt-Id")
        body = json.dumps({"kv_handle": handle, "tokens": 1000, "version": 1}).encode()
        await channel.send(answer_bytes(200, self.own_headers(message) + [("Content-Type", "application/json")], body))

    async def decode(self, channel, message):
        name = message.get("X-Spurtide-Attempt-Id")
        if self.phase != "decode":
            return await self.reject(channel, message, 421, "it does not decode")
        why = self.turns_away(message)
        source = message.get("X-Spurtide-Kv-Source")
        handle = source.rpartition("/")[2]
        if not why and source and Engine.handles.pop(handle, None) != name:
            why = "the handle is gone"
        if not why and self.active >= self.slots:
            why = "it is full"
        if why:
            Engine.handles.pop(handle, None)
            data = await self.reject(channel, message, 503, why)
            self.after_rejection(channel, data)
            return
        self.active += 1
        try:
            await self.stream(channel, message, name)
        finally:
            self.active -= 1

    async def stream(self, channel, message, name):
        if not message.get("X-Spurtide-Kv-Source"):
            await asyncio.sleep(2 * self.read_s)
        self.runs.append(name)
        count = self.events_of(message)
        self.record.note(f"{self.identity} runs {name}, {count} events")
        head = [("HTTP/1.1 200 OK")] + [f"{n}: {v}" for n, v in self.own_headers(message)]
        is_unframed = self.is_unframed(message)
        head += ["Content-Type: text/event-stream", "Connection: close" if is_unframed else "Transfer-Encoding: chunked", "", ""]
        try:
            await asyncio.sleep(self.event_s)
            await channel.send("\r\n".join(head).encode())
            first = int(message.get("Last-Event-Id") or 0) + 1
            for number in range(first, count + 1):
                event = f"id: {number}\ndata: {name} {number} of {count}\n\n".encode()
                await channel.send(event if is_unframed else b"%x\r\n%s\r\n" % (len(event), event))
                await asyncio.sleep(self.event_s)
            if is_unframed:
                channel.writer.close()
            else:
                await channel.send(b"0\r\n\r\n")
        except (ConnectionError, asyncio.CancelledError):
            self.record.note(f"{self.identity} loses the channel of {name} while it works on it")
            raise
        self.ended.append(name)
        self.record.note(f"{self.identity} has run {name} to its end")


class PlainServer(Upstream):
    work_s = 0.06

    async def handle(self, channel, message):
        name = message.get("X-Spurtide-Attempt-Id")
        if self.is_for_other(message):
            return await self.reject(channel, message, 421, "another instance is expected")
        if self.active >= self.slots + 24:
            return await self.reject(channel, message, 503, "it is full")
        self.active += 1
        try:
            self.runs.append(name)
            await asyncio.sleep(self.work_s)
            self.ended.append(name)
            await channel.send(answer_bytes(200, self.own_headers(message), f"answer to {name}".encode()))
        finally:
            self.active -= 1


# --- the nodes


def configuration(version=7, slots=64):
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    engine = {"slots": slots, "kv_capacity": 89659, "token_kv_bytes": 18432, "link_mbps": 1000000.0, "moves": True, "backups": True, "stride": 64, "most": 12, "kv_hold_s": 0.5, "reconfig_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}
    stream = {"hostname": HOST, "route_kind": "streaming", "timeout_ms": 14000, "slo_ms": 900, "priority": 1, "service": "llm", "sticky": True, "gap_slo_ms": 300}
    plain = {"hostname": HOST, "timeout_ms": 1500, "slo_ms": 300, "priority": 2, "service": "app"}
    routes = [
        dict(stream, name="quote", path_prefix="/quote/", max_attempts=1, resumable=False),
        dict(stream, name="note", path_prefix="/note/", max_attempts=2, resumable=True),
        dict(plain, name="stock", path_prefix="/stock/", route_kind="non_idempotent", max_attempts=1),
        dict(plain, name="price", path_prefix="/price/", route_kind="idempotent", max_attempts=2),
    ]
    services = [
        {"name": "llm", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": False, "engine": engine},
        {"name": "app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": False},
    ]
    return {"version": version, "routes": routes, "services": services, "limits": limits}


class Node:
    """A process of the deploy file's role, with the settings that the platform fills in."""

    def __init__(self, name, zone, folder, store, first_start=True):
        self.name = name
        self.zone = zone
        self.folder = folder
        self.store = store
        self.first_start = first_start
        self.ports = {key: free_port() for key in ("caller", "operations", "metrics", "wire", "relay")}
        self.process = None
        self.is_in = False
        self.misses = 0

    @property
    def caller(self):
        return ("127.0.0.1", self.ports["caller"])

    def settings(self, nodes):
        zones = sorted({node.zone for node in nodes})
        address = {key: f"127.0.0.1:{port}" for key, port in self.ports.items()}
        return {
            "vm": self.name, "data_centre": self.zone, "data_centres": [{"name": zone, "region": "region"} for zone in zones],
            "caller_address": address["caller"], "operations_address": address["operations"], "metrics_address": address["metrics"],
            "wire_address": address["wire"], "relay_address": address["relay"],
            "seeds": [f"127.0.0.1:{node.ports['wire']}" for node in nodes[:3]], "registry_address": self.store.address,
            "memory_headroom": 0.03, "memory_deviations": 1, "length_spread": 0.6, "return_spread_milliseconds": 4000, "role_changes": "on",
            "call_admission": "off", "processor_share": 0.25, "keeper_processor_share": 0.4, "descriptors": 4100, "news_milliseconds": 2000,
            "lease_milliseconds": 3000, "retry_ratio": 0.2, "retry_allowance": 56, "retry_window_seconds": 10, "quota_window_seconds": 8,
            "quota_tolerance": 0, "first_start": self.first_start, "stop_grace_seconds": 8,
        }

    async def start(self, nodes):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(nodes), file)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["SPURTIDE_CONFIG"] = path
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(NODE, "--settings", path, cwd=ROOT, env=environment, stdout=log, stderr=log)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.ports["operations"]), 1)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return line.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def ask_ready(self):
        """The platform's question of each second: two misses in a row take the node out."""
        if await self.is_ready():
            self.is_in, self.misses = True, 0
        else:
            self.misses += 1
            self.is_in = self.is_in and self.misses < 2

    def send_signal(self, number):
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


# --- clients


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.end = ""


async def call(address, method, path, name, extra=(), body=b"", deadline_ms=14000):
    """One client attempt on a new channel."""
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Spurtide-Attempt-Id: {name}", f"X-Spurtide-Deadline-Ms: {deadline_ms}"]
        lines += [f"{key}: {value}" for key, value in extra]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines + ["", ""]).encode() + body)
        await asyncio.wait_for(read_answer(reader, answer), deadline_ms / 1000)
    except asyncio.TimeoutError:
        answer.end = "deadline"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.end = "broken off: " + type(error).__name__
    if writer:
        writer.close()
    return answer


async def read_answer(reader, answer):
    line, answer.headers = await read_head(reader)
    answer.status = int(line.split(" ")[1])
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        async for piece in read_chunks(reader):
            answer.body += piece
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        # Without a length, the answer ends with its channel; a reset raises here.
        while piece := await reader.read(65536):
            answer.body += piece
    answer.is_complete = True
    answer.end = "whole"


def prompt_headers(session, tokens_in=1000, tokens_out=80, hint=None):
    headers = [("X-Spurtide-Model", "m"), ("X-Spurtide-Token-Count", f"{tokens_in},{tokens_out}"), ("X-Spurtide-Prompt-Prefix", f"5c1e07a2:200,{session}:{tokens_in - 200}")]
    if hint:
        headers.append(("X-Spurtide-Length-Hint", str(hint)))
    return headers


class Deployment:
    """Store, servers and nodes of one case; ends all processes that it started."""

    def __init__(self, case_folder):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory(prefix="spurtide-review-")
        self.nodes = []
        self.upstreams = []

    async def start(self, names, upstreams, config=None):
        if not os.access(NODE, os.X_OK):
            raise CannotRun("the deploy file's build has not been run")
        Engine.handles = {}
        self.store = Store()
        await self.store.listen()
        self.store.put("op", "config", config or configuration())
        self.upstreams = upstreams(self.record, self.store)
        for upstream in self.upstreams:
            await upstream.listen()
        self.nodes = [Node(name, zone, self.temporary.name, self.store) for name, zone in names]
        for node in self.nodes:
            await node.start(self.nodes)
        until = time.monotonic() + 15
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > until:
                raise CannotRun("the nodes do not get ready")
            await asyncio.sleep(0.1)
        for node in self.nodes:
            node.is_in = True
        await asyncio.sleep(1)

    async def stop(self):
        await asyncio.gather(*(node.end() for node in self.nodes))
        if os.environ.get("KEEP_LOGS"):
            import shutil
            shutil.copytree(self.temporary.name, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self.temporary.cleanup()


def main(case_folder, play):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(case_folder)
        try:
            return await asyncio.wait_for(play(deployment, has_trouble), 110)
        except CannotRun as error:
            deployment.record.note(f"cannot run: {error}")
            return 2
        except asyncio.TimeoutError:
            deployment.record.note("cannot run: it takes too long")
            return 2
        finally:
            await deployment.stop()

    try:
        code = asyncio.run(run())
    except Exception as error:  # A fault of the case itself is no finding.
        print("the case failed:", repr(error), file=sys.stderr)
        code = 2
    sys.exit(code)
