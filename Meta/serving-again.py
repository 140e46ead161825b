#!/usr/bin/env python3
# SPDX-FileCopyrightText: 2026 The Spurtide developers
# SPDX-License-Identifier: BSD-2-Clause
"""Tells from the log lines of all VMs how long after a kill of all they serve again.

serving-again.py LOG...

Each line is TIME VM key=value..., as a deployment's logs are gathered. A kill of all is seen by the starts of more than half of
the VMs within two seconds. A call counts when it is answered, a stream at its first event. Printed for each kill: calls
and streams a second in the five seconds before, and how long after the last start the rate over one second is nine tenths
of that again, for calls and for streams; "-" where it never is.
"""
import bisect
import re
import sys

GATHERED_STARTS = 2.0
BEFORE = 5.0
WINDOW = 1.0
STEP = 0.1
SHARE = 0.9
LINE = re.compile(r"^\s*(-?[\d.]+) (\S+) time=\S+ event=(\w+) (.*)")


def read(path):
    starts, calls, streams = [], [], []
    with open(path) as log:
        for line in log:
            found = LINE.match(line)
            if not found:
                continue
            time, vm, event, rest = float(found[1]), found[2], found[3], found[4]
            if event == "started":
                starts.append((time, vm))
            if event != "request_end":
                continue
            fields = dict(part.split("=", 1) for part in rest.split() if "=" in part)
            if "first_event_ms" in fields:
                streams.append(time - (float(fields["ms"]) - float(fields["first_event_ms"])) / 1000)
            elif "visit" not in fields and fields.get("outcome") == "answered":
                calls.append(time)
    return sorted(starts), sorted(calls), sorted(streams)


def count(times, begin, end):
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)


def kills(starts):
    """The first and last start after each kill of all."""
    machines = len({vm for _, vm in starts})
    found, at = [], 0
    while at < len(starts):
        end = at
        while end < len(starts) and starts[end][0] - starts[at][0] <= GATHERED_STARTS:
            end += 1
        if len({vm for _, vm in starts[at:end]}) * 2 > machines:
            found.append((starts[at][0], starts[end - 1][0]))
            at = end
        else:
            at += 1
    return found[1:]  # The first is the start of the day.


def until_again(times, first, last):
    # The kill itself is some time before the first start: the rate is taken from when all went well.
    stopped = times[bisect.bisect_left(times, first) - 1] if count(times, 0, first) else first
    before = count(times, stopped - BEFORE, stopped) / BEFORE
    at = last
    while before > 0 and at < last + 60:
        if count(times, at, at + WINDOW) >= SHARE * before * WINDOW:
            return before, f"{at - last:.1f}"
        at += STEP
    return before, "-"


def main():
    for path in sys.argv[1:]:
        starts, calls, streams = read(path)
        for first, last in kills(starts):
            rates = [until_again(times, first, last) for times in (calls, streams)]
            print(f"{path}: started again {first:.2f} to {last:.2f} s; " + "; ".join(f"{name} {rate:.1f}/s, again after {after} s" for name, (rate, after) in zip(("calls", "streams"), rates)))


if __name__ == "__main__":
    if len(sys.argv) < 2 or sys.argv[1] in ("-h", "--help"):
        print(__doc__)
        sys.exit(0 if len(sys.argv) > 1 else 2)
    main()
