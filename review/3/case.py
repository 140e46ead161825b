#!/usr/bin/env python3
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
"""Streams that a stopping node accepts late and cuts off when its grace ends. See claim.txt."""
import asyncio
import os
import random
import signal
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))
import standins

PER_SECOND = 15
EVENT_S = 0.025
MOST_TOKENS = 170
# What clients guess and what the answers hold, in turn: right in the median and often far off.
LENGTHS = ((60, 60), (55, 45), (60, 75), (70, 52), (45, 170), (60, 68), (50, 40), (65, 85), (55, 58), (45, 170))
GRACE_S = 8
GAP_S = 1.0
ROLLS = 3
ROLL_S = 24
# Sent later than this after the SIGTERM, a request is not excused by the end of the grace.
EXCUSED_S = 3


class Balancer:
    """Hands new channels to nodes as the platform does."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.random = random.Random(1)

    async def run(self):
        while True:
            await asyncio.gather(*(node.ask_ready() for node in self.nodes))
            await asyncio.sleep(1)

    def pick(self):
        ready = [node for node in self.nodes if node.is_in]
        return self.random.choice(ready if len(ready) * 2 >= len(self.nodes) else self.nodes)


async def play(deployment, has_trouble):
    record = deployment.record

    def upstreams(record, store):
        engines = [standins.Engine(record, store, "llm", "zone-a", phase) for phase in ("prefill", "prefill", "decode", "decode", "decode", "decode", "decode", "decode")]
        for engine in engines:
            engine.event_s = EVENT_S
            engine.events_of = lambda message: LENGTHS[int(message.get("X-Spurtide-Attempt-Id"), 16) % len(LENGTHS)][1]
        return engines

    config = standins.configuration()
    config["services"][0]["engine"]["stride"] = 1
    await deployment.start([(f"front-a-{number}", "zone-a") for number in (1, 2, 3)], upstreams, config)
    nodes = deployment.nodes
    balancer = Balancer(nodes)
    asks = asyncio.ensure_future(balancer.run())
    sends = []
    stops = []
    until = time.monotonic() + 6 + ROLLS * ROLL_S

    async def send(number):
        name = f"{number:016x}"
        node = balancer.pick()
        sent = time.monotonic()
        answer = await standins.call(node.caller, "POST", "/quote/1", name, standins.prompt_headers(f"b{number:07x}", 1000, MOST_TOKENS, LENGTHS[number % len(LENGTHS)][0]), b"the prompt")
        sends.append((name, node, sent, time.monotonic(), answer))
        record.note(f"client gets {answer.status} to {name} from {node.name}, {answer.end}, {answer.body.count(b'id:')} events")

    async def traffic():
        number = 0
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.ensure_future(send(number)))
            number += 1
            await asyncio.sleep(1 / PER_SECOND)
        await asyncio.gather(*tasks)

    async def stop(node):
        """SIGTERM, SIGKILL after the grace, and the next start."""
        term = time.monotonic()
        stops.append((node, term))
        record.note(f"SIGTERM to {node.name}")
        node.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(node.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            record.note(f"SIGKILL to {node.name}")
            node.send_signal(signal.SIGKILL)
            await node.process.wait()
        record.note(f"{node.name} has ended")
        await asyncio.sleep(0.5)
        node.first_start = False
        await node.start(nodes)

    async def roll(first):
        """Planned: the machines are stopped and started in turn; one of the three keeps running."""
        work = []
        for node in (nodes[first], nodes[(first + 1) % 3]):
            work.append(asyncio.ensure_future(stop(node)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*work)

    going = asyncio.ensure_future(traffic())
    await asyncio.sleep(6)
    for number in range(ROLLS):
        begun = time.monotonic()
        if has_trouble:
            await roll(number)
        await asyncio.sleep(max(0, ROLL_S - (time.monotonic() - begun)))
    await going
    asks.cancel()
    run = {name for engine in deployment.upstreams for name in engine.runs}
    ended = {name for engine in deployment.upstreams for name in engine.ended}
    # LOST: read whole and passed on, the channel then ends with no complete answer, and none of the excuses holds: the
    # server did not break off, neither the deadline nor the timeout was reached, and it was sent later than 3 s after the SIGTERM.
    lost = []
    for name, node, sent, end, answer in sends:
        terms = [term for other, term in stops if other is node and sent >= term + EXCUSED_S and end <= term + GRACE_S + 1]
        if terms and name in run and name not in ended and not answer.is_complete and answer.end.startswith("broken off"):
            lost.append(name)
            record.note(f"LOST: {name} was sent {sent - terms[-1]:.3f} s after the SIGTERM of {node.name} and cut {end - terms[-1]:.3f} s after it, {answer.body.count(b'id:')} events in")
    whole = sum(1 for *_, answer in sends if answer.status == 200 and answer.is_complete)
    refused = sum(1 for *_, answer in sends if answer.status == 503)
    record.note(f"{len(sends)} requests, {whole} served whole, {refused} refused with 503, {len(lost)} lost")
    if whole < len(sends) / 2:
        raise standins.CannotRun("too few requests were served")
    return 1 if lost else 0


standins.main(CASE, play)
