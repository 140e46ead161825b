#!/usr/bin/env python3
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
"""Bounds what any router could serve of a day's streams, from the day's description alone.

day-bound.py SITE [--days NAME,...] [--step SECONDS]

A fluid model: streams arrive at the day's rate; prefill engines read their prompts at their pace, decode engines
while their own answers leave them time; an answer holds memory and a slot for its mean time. The division of the
pool is the best one, and every engine is filled to the last token, so this is an upper bound. Engines that crashed,
were taken away or stand behind a cut are not there; answers that a power cut or a kill of many VMs breaks off are lost. Refusals, late
answers, moves, lost packets, restarts of single VMs and the plain services are not in it. What a stream that has to
wait longer than its target is worth counts as nothing here; it earns a fifth.
"""
import argparse
import math
import tomllib

KINDS_OF_ENDS = ("power_off_all", "kill_all")


def clipped_lognormal(mean, spread, longest, count=2001):
    """First and second moment of a log-normal length of that mean, cut at the longest."""
    location = math.log(mean) - spread * spread / 2
    first = second = 0.0
    for i in range(count):
        z = -4 + 8 * (i + 0.5) / count
        weight = math.exp(-z * z / 2) / math.sqrt(2 * math.pi) * 8 / count
        length = min(longest, math.exp(location + spread * z))
        first += weight * length
        second += weight * length * length
    return first, second


class Pool:
    """What the engines of a site can do, all of them together, in streams."""

    def __init__(self, site):
        service = next(entry for entry in site["services"] if "llm" in entry)
        llm, stream_class = service["llm"], next(entry for entry in site["classes"] if "stream" in entry)
        stream = stream_class["stream"]
        self.engines = sum(entry["count"] for entry in service["servers"])
        self.by_zone = {entry["zone"]: entry["count"] for entry in service["servers"]}
        shared = sum(part["tokens"]["mean"] for part in stream["chain"])
        self.prompt = clipped_lognormal(stream["prompt_tokens"]["mean"], stream["prompt_tokens"]["spread"], stream["prompt_tokens"]["max"])[0] + shared
        stride = llm.get("stride", 1)
        pieces, pieces_squared = clipped_lognormal(stream["pieces"]["mean"], stream["pieces"]["spread"], stream["pieces"]["max"])
        tokens, tokens_squared = pieces * stride, pieces_squared * stride * stride
        self.read_rate = llm["prefill_tokens_per_ms"] * 1000 / self.prompt
        # Memory of an answer over its life, weighted by time.
        mean_held = self.prompt + tokens_squared / tokens / 2
        self.batch = min(llm["batch"], llm["kv_tokens"] / mean_held)
        self.answer_seconds = tokens * (llm["step_ms"] + llm["step_ms_per_slot"] * self.batch) / 1000
        self.streams = {entry["name"] for entry in site["classes"] if "stream" in entry}
        self.target = stream_class["aim_ms"] / 1000

    def best_division(self, engines):
        """Reading engines, and answers in progress at most, where both limit alike."""
        best = (0.0, 1, 1.0)
        for reading in range(1, max(2, int(engines))):
            made = (engines - reading) * self.batch / self.answer_seconds
            rate = min(reading * self.read_rate, made)
            if rate > best[0]:
                best = (rate, reading, (engines - reading) * self.batch)
        return best


def rate_at(day, pool, second):
    """Streams a second that arrive, per zone."""
    rates = {}
    for traffic in day["traffic"]:
        mix = traffic["mix"]
        total = sum(mix.values())
        shape = traffic["shape"]
        wave = 1 + shape["swing"] * math.sin(2 * math.pi * (second / shape["period_s"] + shape["phase"]))
        rate = traffic["per_s"] * wave
        shares = {name: mix[name] / total for name in pool.streams if name in mix}
        for fault in day.get("faults", []):
            if fault["kind"] != "burst" or not fault["at"] <= second < fault["at"] + fault["for_s"]:
                continue
            for name in shares:
                if fault.get("class", name) == name:
                    shares[name] *= fault["x"]
        rates[traffic["zone"]] = rate * sum(shares.values())
    return rates


def engines_at(day, pool, second):
    """Engines by zone that are there, and the zone that is cut off, if any."""
    share, cut = 1.0, None
    for fault in day.get("faults", []) + day.get("plan", []):
        # What is emptied and taken away stays away.
        lasts = fault["kind"] == "scale_in" or second < fault["at"] + fault.get("for_s", 1e9)
        if second < fault["at"] or not lasts:
            continue
        if fault["kind"] in ("srv_crash", "scale_in"):
            share *= 1 - fault["share"]
        if fault["kind"] == "zone_cut":
            cut = fault["zone"]
    return {zone: count * share for zone, count in pool.by_zone.items()}, cut


def killed_share(site, day, second, step):
    """Part of the VMs that are killed together in this step; their answers in progress are lost."""
    usual = next((entry.get("share", 1.0) for entry in site["troubles"] if entry["kind"] == "herd_kill"), 1.0)
    shares = [fault.get("share", usual) for fault in day.get("faults", []) if fault["kind"] == "herd_kill" and second <= fault["at"] < second + step]
    return max(shares, default=0.0)


def bound(site, day, step):
    pool = Pool(site)
    length = day.get("length_s", site["length_s"])
    closing = day.get("closing")
    end = length + (20 if closing else 0)
    off = (length, length + closing["down_s"]) if closing and closing["kind"] in KINDS_OF_ENDS else None
    offered = served = 0.0
    parts = {}
    second = 0.0
    while second < end:
        rates, (engines, cut) = rate_at(day, pool, second), engines_at(day, pool, second)
        is_off = off and off[0] <= second < off[1]
        sides = [[zone] for zone in engines if zone == cut] + [[zone for zone in engines if zone != cut]]
        for side in sides:
            key = tuple(side)
            waiting, running = parts.pop(key, (0.0, None))
            if running is None:
                running = sum(value[1] for value in parts.values()) * sum(engines[zone] for zone in side) / max(1e-9, sum(engines.values()))
            rate, reading, most = pool.best_division(sum(engines[zone] for zone in side))
            arrived = sum(rates[zone] for zone in side) * step
            offered += arrived
            running = 0.0 if is_off else running * math.exp(-step / pool.answer_seconds)
            served -= running * killed_share(site, day, second, step)
            waiting = 0.0 if is_off else min(waiting + arrived, reading * pool.read_rate * pool.target)
            began = 0.0 if is_off else max(0.0, min(waiting, reading * pool.read_rate * step, most - running))
            waiting -= began
            running += began
            if off and second < off[0]:
                # What is still running when the power goes is lost.
                began *= 1 - math.exp(-(off[0] - second) / pool.answer_seconds)
            served += began
            parts[key] = (waiting, running)
        parts = {key: parts[key] for key in parts if list(key) in sides}
        second += step
    return offered, served, pool


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site")
    parser.add_argument("--days", default="")
    parser.add_argument("--step", type=float, default=0.05)
    options = parser.parse_args()
    with open(options.site, "rb") as file:
        site = tomllib.load(file)
    wanted = set(options.days.split(",")) if options.days else None
    for day in site["day"]:
        if wanted and day["name"] not in wanted:
            continue
        offered, served, pool = bound(site, day, options.step)
        rate, reading, most = pool.best_division(pool.engines)
        print(f"{day['name']:10} streams {offered:7.0f}  in time at most {served / offered:.3f}   (whole pool: {rate:.0f} a second, {reading} engines reading, {most:.0f} answers at once, {pool.answer_seconds:.2f} s each)")


main()
