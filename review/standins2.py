#!/usr/bin/env python3
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
"""Stand-ins for the script cases 4 to 8: the platform's store, servers, model servers, clients, and nodes that are started
with the command of the deploy file. Standard library only. All addresses are loopback addresses."""

import asyncio
import base64
import json
import os
import re
import shlex
import shutil
import signal
import socket
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
ID = "X-Spurtide-Attempt-Id"
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.began = time.monotonic()
        self.file = open(self.path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def note(self, *words):
        self.file.write(f"{self.now():9.3f}  " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


class Message:
    def __init__(self, first, fields, body):
        self.first, self.fields, self.body = first, fields, body

    def get(self, name, otherwise=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return otherwise


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head[:-4].split("\r\n")
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name.strip(), value.strip()))
    return Message(lines[0], fields, b"")


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_request(reader):
    message = await read_head(reader)
    if message.get("Transfer-Encoding"):
        while True:
            piece = await read_chunk(reader)
            if not piece:
                break
            message.body += piece
    else:
        message.body = await reader.readexactly(int(message.get("Content-Length", "0")))
    return message


def head_bytes(status, fields):
    text = f"HTTP/1.1 {status} Status\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
    return (text + "\r\n").encode("latin-1")


def answer_bytes(status, body=b"", fields=()):
    return head_bytes(status, [*fields, ("Content-Length", len(body))]) + body


class HttpStandIn:
    """A server of HTTP/1.1 on kept channels."""

    def __init__(self):
        self.server = None
        self.address = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, HOST, port, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if await self.answer(request, reader, writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()


class Store(HttpStandIn):
    """The platform's store: rows, feeds and conditional writes, answered after some milliseconds."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 100
        self.changed = asyncio.Condition()

    async def put(self, table, key, value):
        async with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = (json.dumps(value).encode(), self.version)
            self.changed.notify_all()

    async def remove(self, table, key):
        async with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = (None, self.version)
            self.changed.notify_all()

    def row(self, place):
        value, version = self.rows[place]
        row = {"table": place[0], "part": place[1], "tls_key": place[2], "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def reply(self, status, body):
        body = {**body, "ver": self.version, "now_ms": int(time.monotonic() * 1000)}
        return answer_bytes(status, json.dumps(body).encode(), [("Content-Type", "application/json")])

    async def answer(self, request, reader, writer):
        await asyncio.sleep(0.004)
        target = request.first.split(" ")[1]
        path, _, query = target.partition("?")
        options = dict(pair.split("=", 1) for pair in query.split("&") if pair)
        if path == "/v1/rows-get":
            rows = [self.row(p) for p in sorted(self.rows, key=lambda p: p[2]) if p[0] == options["table"] and p[1] == options.get("part", "") and self.rows[p][0] is not None]
            writer.write(self.reply(200, {"rows": rows, "more_pages": False}))
        elif path == "/v1/rows-feed":
            after = int(options["after"])
            until = time.monotonic() + int(options.get("wait_ms", "0")) / 1000
            async with self.changed:
                while True:
                    news = sorted((self.row(p) for p in self.rows if p[0] == options["table"] and self.rows[p][1] > after), key=lambda r: r["ver"])
                    left = until - time.monotonic()
                    if news or left <= 0:
                        break
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
            writer.write(self.reply(200, {"rows": news}))
        elif path == "/v1/rows-tx":
            body = json.loads(request.body)
            place = lambda entry: (entry["table"], entry.get("part", ""), entry["tls_key"])
            current = lambda entry: (self.rows.get(place(entry), (None, 0))[1] if self.rows.get(place(entry), (None, 0))[0] is not None else 0)
            if any(current(entry) != entry["ver"] for entry in body.get("expected_count") or []):
                writer.write(self.reply(412, {"rows": []}))
                return
            async with self.changed:
                self.version += 1
                for entry in body.get("set_keys") or []:
                    self.rows[place(entry)] = (base64.b64decode(entry["value"]), self.version)
                for entry in body.get("remove") or []:
                    self.rows[place(entry)] = (None, self.version)
                self.changed.notify_all()
            writer.write(self.reply(200, {}))
        else:
            writer.write(answer_bytes(404))


class Server(HttpStandIn):
    """A server of a service. Subclasses say how it runs a request."""

    def __init__(self, record, service, identity, zone="zone-a", software="v1", slots=64, phase=None):
        super().__init__()
        self.record, self.service, self.identity, self.zone, self.software, self.slots, self.phase = record, service, identity, zone, software, slots, phase
        self.calls_taken = 0
        self.runs = []

    def entry(self, state="ready"):
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.software, "slots": self.slots, "state": state, "cold_left_ms": 0, "call_seq": self.calls_taken}
        if self.phase:
            entry["phase"] = self.phase
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    def signed(self, request):
        return [(ID, request.get(ID, "")), ("X-Spurtide-Server-Stamp", f"stamp.{self.identity}"), ("Content-Type", "text/plain")]

    def refusal(self, request):
        return answer_bytes(503, b"", [(ID, request.get(ID, "")), ("X-Spurtide-Not-Executed", "1")])

    def misdirected(self, request):
        return answer_bytes(421, b"", [(ID, request.get(ID, "")), ("X-Spurtide-Instance-Id", self.identity)])

    async def answer(self, request, reader, writer):
        expected = request.get("X-Spurtide-Expect-Instance")
        if expected and expected != self.identity:
            writer.write(self.misdirected(request))
            return None
        path = request.first.split(" ")[1]
        if path == "/v1/report":
            body = {"phase": self.phase, "models": [{"name": "m", "version": 1, "adapters": []}], "busy_slots": False, "call_seq": self.calls_taken, "queued_count": 0, "active_count": 0, "kv_used": 0, "kv_total": 89474, "kv_handles": 0}
            writer.write(answer_bytes(200, json.dumps(body).encode(), [("Content-Type", "application/json")]))
            return None
        if path == "/v1/order":
            writer.write(answer_bytes(409))
            return None
        if path == "/v1/kv-list":
            writer.write(answer_bytes(200, json.dumps({"epoch": 1, "next_token": 1, "held": []}).encode()))
            return None
        if path.startswith("/v1/kv-handle/"):
            writer.write(answer_bytes(200))
            return None
        return await self.run(request, reader, writer)


class ModelServer(Server):
    """A model server as the sheet of a small deployment describes it: a step takes 0.632 ms and 0.0149 ms more for each request that
    runs, one event holds 63 tokens, and a prompt is read at 55.6 tokens in a millisecond."""

    STRIDE = 63

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.active = 0
        # How many times as long a step takes while the server is cold, and until when it is.
        self.cold_factor, self.cold_until = 1.0, 0.0

    def step(self):
        factor = self.cold_factor if time.monotonic() < self.cold_until else 1.0
        return factor * (0.632 + 0.0149 * self.active) / 1000

    def entry(self, state="ready"):
        return {**super().entry(state), "cold_left_ms": max(0, int((self.cold_until - time.monotonic()) * 1000))}

    async def run(self, request, reader, writer):
        name = request.get(ID)
        prompt, most = (int(part) for part in request.get("X-Spurtide-Token-Count").split(","))
        if request.get("X-Spurtide-Serving-Phase") == "prefill":
            await asyncio.sleep(prompt / 55.6 / 1000)
            body = {"kv_handle": f"h{name}", "tokens": prompt, "version": 1}
            writer.write(answer_bytes(200, json.dumps(body).encode(), [(ID, name), ("Content-Type", "application/json")]))
            return None
        if self.phase != "decode":
            writer.write(self.misdirected(request))
            return None
        after = int(request.get("Last-Event-Id") or 0)
        events = max(1, most // self.STRIDE)
        self.runs.append(name)
        self.record.note("server", self.identity, "begins", name, "after event", after, "of", events, "with", self.active, "others")
        self.active += 1
        left = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.sleep(0.02)
            writer.write(head_bytes(200, [(ID, name), ("X-Spurtide-Server-Stamp", f"stamp.{self.identity}"), ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
            for event in range(after + 1, events + 1):
                await asyncio.sleep(self.STRIDE * self.step())
                if left.done():
                    self.record.note("server", self.identity, "is left by", name, "after event", event - 1, "of", events)
                    return False
                data = f"id: {event}\ndata: {name}-{event}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            self.record.note("server", self.identity, "ends", name)
        finally:
            self.active -= 1
            left.cancel()
            await asyncio.gather(left, return_exceptions=True)
        return None


class Channel:
    """A client's channel to a node."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        return self

    def close(self):
        if self.writer:
            self.writer.close()

    def send(self, method, path, host, name, fields=(), body=b""):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"{ID}: {name}", *(f"{key}: {value}" for key, value in fields)]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)

    async def read_answer(self, on_piece=None):
        """Returns the head with its body. 'whole' tells whether the answer ended as its framing says."""
        message = await read_head(self.reader)
        while message.first.split(" ")[1].startswith("1"):
            message = await read_head(self.reader)
        message.status = int(message.first.split(" ")[1])
        message.whole = True
        try:
            if (message.get("Transfer-Encoding") or "").lower() == "chunked":
                while True:
                    piece = await read_chunk(self.reader)
                    if not piece:
                        await self.reader.readexactly(0)
                        break
                    message.body += piece
                    if on_piece:
                        on_piece(piece)
            elif message.get("Content-Length") is not None:
                message.body = await self.reader.readexactly(int(message.get("Content-Length")))
            else:
                message.body = await self.reader.read()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            message.whole = False
        return message


def manifest(version, routes, services, limits=None):
    return {"version": version, "routes": routes, "services": services, "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def stream_route(name, host, prefix, service, resumable=False, attempts=1):
    return {"name": name, "hostname": host, "path_prefix": prefix, "route_kind": "streaming", "timeout_ms": 14000, "slo_ms": 900, "priority": 1, "service": service, "max_attempts": attempts, "sticky": True, "resumable": resumable, "gap_slo_ms": 300}


def plain_route(name, host, prefix, service, kind, attempts=1, timeout_ms=1500):
    return {"name": name, "hostname": host, "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeout_ms, "slo_ms": 300, "priority": 2, "service": service, "max_attempts": attempts, "sticky": False, "resumable": False}


def engine_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": False, "engine": {"slots": 64, "kv_capacity": 89474, "token_kv_bytes": 18432, "link_mbps": 700000.0, "moves": True, "backups": True, "stride": 63, "most": 12, "kv_hold_s": 0.5, "reconfig_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": False}


class Node:
    """A node, started with the command of the deploy file and settings as the platform fills them in."""

    def __init__(self, folder, record, name, store, seeds, ports, zone="zone-a", first=True):
        self.folder, self.record, self.name = folder, record, name
        caller, operations, metrics, wire, relay = (f"{HOST}:{port}" for port in ports)
        self.callers, self.operations, self.wire = caller, operations, wire
        self.settings = {
            "vm": name, "data_centre": zone, "data_centres": [{"name": "zone-a", "region": "region"}, {"name": "zone-b", "region": "region"}],
            "caller_address": caller, "operations_address": operations, "metrics_address": metrics, "wire_address": wire, "relay_address": relay,
            "seeds": seeds, "registry_address": store.address, "memory_headroom": 0.03, "memory_deviations": 1, "length_spread": 0.6,
            "return_spread_milliseconds": 4000, "role_changes": "on", "call_admission": "off", "processor_share": 0.25, "keeper_processor_share": 0.4,
            "descriptors": 4100, "memory_megabytes": 260, "news_milliseconds": 2000, "lease_milliseconds": 3000, "retry_ratio": 0.2, "retry_allowance": 54,
            "retry_window_seconds": 10, "quota_window_seconds": 8, "quota_tolerance": 0, "first_start": first, "stop_grace_seconds": 8}
        self.process = None

    async def start(self):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), encoding="utf-8") as file:
            command = shlex.split(re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1))
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        command = [path if word == "/etc/spurtide/node.toml" else word for word in command]
        program = os.path.join(REPOSITORY, command[0])
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{command[0]} is not built")
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(program, *command[1:], cwd=REPOSITORY, stdout=self.log, stderr=self.log)
        self.record.note("node", self.name, "starts")

    def signal(self, number):
        self.record.note("node", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            channel = await Channel(self.operations).open()
            channel.send("GET", "/v1/readyz", "node", "ready")
            answer = await asyncio.wait_for(channel.read_answer(), 1)
            channel.close()
            return answer.status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} does not become ready")

    async def end(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


def run_case(case_folder, play):
    """Runs 'play(record, folder, trouble)', which returns whether the rule was broken, and exits as the cases are to."""
    record = Record(case_folder)
    folder = tempfile.mkdtemp()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("trouble", "on" if trouble else "off")
    nodes = []

    async def limited():
        try:
            return await asyncio.wait_for(play(record, folder, trouble, nodes), 112)
        finally:
            for node in nodes:
                await node.end()

    try:
        code = BROKEN if asyncio.run(limited()) else HOLDS
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.note("cannot run:", repr(error))
        code = CANNOT_RUN
    finally:
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(folder, ignore_errors=True)
        else:
            record.note("logs in", folder)
    record.note("exit", code)
    raise SystemExit(code)
