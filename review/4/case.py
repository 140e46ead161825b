#!/usr/bin/env python3
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins2 import Channel, ModelServer, Node, Store, engine_service, free_ports, manifest, run_case, stream_route

HOST = "quotes.example"
WARM_UP_S = 36
GRACE_S = 8
SENT_IN_TIME_S = 3
LOSS_SLACK_S = 0.2


class Client:
    """Keeps one channel and sends the next stream on it as soon as the one before has ended."""

    def __init__(self, record, callers, name, events):
        self.record, self.callers, self.name, self.events = record, callers, name, events
        self.number = 0
        self.results = []

    def fields(self, events):
        return [("X-Spurtide-Model", "m"), ("X-Spurtide-Token-Count", f"5000,{events * ModelServer.STRIDE}"), ("X-Spurtide-Length-Hint", events * ModelServer.STRIDE), ("X-Spurtide-Prompt-Prefix", f"aa:200,{self.name}{self.number:x}:4800"), ("X-Spurtide-Deadline-Ms", 14000)]

    async def run(self, stop, pause=0.0):
        channel = None
        while not stop.is_set():
            if channel is None:
                try:
                    channel = await Channel(self.callers()).open()
                except OSError:
                    await asyncio.sleep(0.1)
                    continue
            self.number += 1
            name = f"{self.name}{self.number:04x}"
            events = self.events()
            sent = self.record.now()
            kept = channel.used if hasattr(channel, "used") else False
            channel.used = True
            try:
                channel.send("POST", "/draft/1", HOST, name, self.fields(events), b"x" * 600)
                answer = await channel.read_answer()
                status, whole, closes = answer.status, answer.whole, (answer.get("Connection") or "") == "close"
            except (asyncio.IncompleteReadError, ConnectionError):
                status, whole, closes = 0, False, True
            ended = self.record.now()
            pieces = answer.body.count(b"\n\n") if status == 200 else 0
            self.results.append((name, sent, ended, status, whole, kept))
            self.record.note("client", self.name, "sent", name, "at", f"{sent:.3f}", "on a kept channel" if kept else "on a new channel", "and got", status or "no answer", "whole" if whole else "BROKEN OFF", f"{pieces} of {events} events")
            if closes or not whole:
                channel.close()
                channel = None
            await asyncio.sleep(pause if status == 200 else 0.3)
        if channel:
            channel.close()


async def play(record, folder, trouble, nodes):
    store = Store()
    await store.start()
    servers = [ModelServer(record, "llm", "i-prefill", phase="prefill"), ModelServer(record, "llm", "i-decode-1", phase="decode"), ModelServer(record, "llm", "i-decode-2", phase="decode")]
    for server in servers:
        await server.start()
        await store.put("servers", server.identity, server.entry())
    await store.put("op", "config", manifest(7, [stream_route("r-draft", HOST, "/draft/", "llm")], [engine_service("llm")]))
    ports = free_ports(10)
    seeds = [f"127.0.0.1:{ports[3]}", f"127.0.0.1:{ports[8]}"]
    nodes += [Node(folder, record, "front-1", store, seeds, ports[:5]), Node(folder, record, "front-2", store, seeds, ports[5:])]
    for node in nodes:
        await node.start()
    for node in nodes:
        await node.wait_until_ready()
    stopping, other = nodes
    stop = asyncio.Event()
    term = asyncio.get_running_loop().create_future()
    # The platform hands new channels to the nodes that are ready; after the SIGTERM that is the other one.
    callers = lambda: other.callers if term.done() else stopping.callers
    light = [Client(record, callers, f"a{i}", lambda: 20) for i in range(2)]
    tasks = [asyncio.create_task(client.run(stop, 0.2)) for client in light]
    await asyncio.sleep(WARM_UP_S)
    # Drafts that begin just before the SIGTERM and end about three seconds after it; the next ones follow on the same channels.
    lengths = lambda: 58 if term.done() else 75
    drafts = [Client(record, callers, f"b{i}", lengths) for i in range(8)]
    for client in drafts:
        tasks.append(asyncio.create_task(client.run(stop)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.22)
    began = record.now()
    if trouble:
        stopping.signal(signal.SIGTERM)
    term.set_result(None)
    # Planned work too: an empty server is added, which stays slow for a time, as its entry says.
    await asyncio.sleep(1.5)
    added = ModelServer(record, "llm", "i-decode-3", phase="decode")
    added.cold_factor, added.cold_until = 2.4, asyncio.get_running_loop().time() + 30
    await added.start()
    servers.append(added)
    await store.put("servers", added.identity, added.entry())
    await asyncio.sleep(max(0.0, began + GRACE_S + 1 - record.now()))
    stop.set()
    await asyncio.wait(tasks, timeout=15)
    lost = []
    for client in light + drafts:
        for name, sent, ended, status, whole, kept in client.results:
            is_run = any(name in server.runs for server in servers)
            if not whole and sent > began + SENT_IN_TIME_S and ended <= began + GRACE_S + 1 and (is_run or ended - sent > LOSS_SLACK_S):
                lost.append(name)
                record.note("LOST:", name, f"sent {sent - began:.3f} s after the SIGTERM, cut {ended - began:.3f} s after it, {ended - sent:.3f} s after it was sent; a server was at work on it" if is_run else "")
    record.note("lost:", len(lost))
    return bool(lost)


run_case(FOLDER, play)
