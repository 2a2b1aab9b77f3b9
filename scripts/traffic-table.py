#!/usr/bin/env python3
"""traffic-table.py LOG: calls and bytes by purpose, from the lines traffic_counted in a log.

LOG is the output of a run that shows the daemons' lines. Figures are of all daemons that it shows,
a second and a daemon.
"""
import collections
import json
import sys


def main():
    daemons = set()
    sums = collections.defaultdict(lambda: [0, 0, 0, 0])
    with open(sys.argv[1], encoding="utf-8", errors="replace") as log:
        for line in log:
            if '"traffic_counted"' not in line:
                continue
            daemons.add(line[:line.index("{")].split()[-1])
            entry = json.loads(line[line.index("{"):])
            total = sums[entry["purpose"]]
            for index, field in enumerate(("calls", "sent_bytes", "received_bytes", "period_ms")):
                total[index] += entry[field]
    print(f"{len(daemons)} daemons\n")
    print("| purpose | calls | bytes sent | bytes received |")
    print("| --- | ---: | ---: | ---: |")
    for purpose, (calls, sent, received, ms) in sorted(sums.items()):
        seconds = ms / 1000
        print(f"| {purpose} | {calls / seconds:.2f} | {sent / seconds:.0f} | {received / seconds:.0f} |")


if __name__ == "__main__":
    main()
