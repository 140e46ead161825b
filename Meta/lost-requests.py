#!/usr/bin/env python3
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
"""Shows where requests were lost, from the log lines of all VMs and, if given, the report of the same run.

lost-requests.py LOG [--report REPORT] [--span SECONDS]

LOG holds lines of the kind "SECONDS VM key=value ...", as a run of the users' bench prints them; the lines that
say how a request ended ("event=request_end") are counted by the kind of request, by when it ended and by why it
was not answered in time. A report adds what callers saw in each span, with requests that reached no VM.
"""
import argparse
import collections
import json
import re

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) time=\S+ event=request_end (.*)")


def fields_of(text):
    return dict(part.split("=", 1) for part in text.split() if "=" in part)


def loss_of(fields):
    """Why an end is a loss; empty where the answer was in time as far as this VM saw."""
    outcome, reason = fields["outcome"], fields["reason"]
    if outcome == "refused_not_run":
        held = int(fields["ms"]) > int(fields["target_ms"]) / 8
        return ("refused after waiting: " if held else "refused at once: ") + reason + (", came back" if fields.get("visit") == "return" else "")
    if outcome == "rejected":
        return "rejected: " + reason
    if outcome == "broken_off":
        return "cut: " + reason
    if outcome == "failed_may_have_run":
        return "failed: " + reason
    if outcome == "caller_left":
        return "caller left"
    if "first_event_ms" in fields:
        if int(fields["first_event_ms"]) > int(fields["target_ms"]):
            return "late: first event" + (", came back" if fields.get("visit") == "return" else "")
        if 0 < int(fields["pause_target_ms"]) < int(fields["longest_pause_ms"]):
            return "late: pause" + (", placed again" if int(fields["placements"]) > 1 else "")
        return ""
    if fields["status"][0] not in "23":
        return "failed: answer of the upstream's own"
    return "late" if int(fields["ms"]) > int(fields["target_ms"]) else ""


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("log")
    parser.add_argument("--report")
    parser.add_argument("--span", type=float, default=5)
    options = parser.parse_args()
    ends = collections.Counter()
    losses = collections.defaultdict(collections.Counter)
    with open(options.log, errors="replace") as log:
        for line in log:
            found = LINE.match(line)
            if not found or float(found[1]) < 0:
                continue
            fields = fields_of(found[3])
            kind = "stream" if "visit" in fields else "call"
            ends[kind] += 1
            why = loss_of(fields)
            if why:
                losses[kind, why][int(float(found[1]) // options.span)] += 1
    spans = sorted({span for counts in losses.values() for span in counts})
    print("ended: " + ", ".join(f"{count} {kind}s" for kind, count in sorted(ends.items())))
    print(f"{'kind':7} {'lost':52} {'all':>5}  " + " ".join(f"{span * options.span:4.0f}s" for span in spans))
    for (kind, why), counts in sorted(losses.items(), key=lambda item: (item[0][0], -sum(item[1].values()))):
        print(f"{kind:7} {why:52} {sum(counts.values()):5}  " + " ".join(f"{counts[span] or '.':>5}" for span in spans))
    if not options.report:
        return
    with open(options.report) as file:
        report = json.load(file)
    print(f"\ncallers saw, by when they asked; worth of the day {report['G']:.3f}")
    print(f"{'from':>6} {'asked':>6} {'in time':>8} {'late':>5} {'refused':>8} {'failed':>7} {'worth':>6}")
    for window in report["windows"]:
        print(f"{window['name']:>5}s {window['n']:6} {window['in_aim']:8} {window['late']:5} {window['refused']:8} {window['failed']:7} {window['worth']:6.2f}")
    for name, amount, price in sorted(report["prices"], key=lambda entry: -entry[2]):
        if price >= 0.002:
            print(f"  -{price:.3f} {name} ({amount:g})")


main()
