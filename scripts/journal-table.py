#!/usr/bin/env python3
"""journal-table.py PREFIX...: what the days lost whose journal entry's reason begins with PREFIX.

One row a site and day, the mean of its runs: worth, shares served, refused and failed, what the
parts lose of their weight, and the prices over 0.004.
"""
import collections
import glob
import json
import os
import sys

LEAST_PRICE = 0.004


def days_of(prefix):
    folder = os.path.join(os.path.dirname(__file__), "..", "journal")
    for path in sorted(glob.glob(os.path.join(folder, "2*.json"))):
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        if not (entry.get("why") or "").startswith(prefix):
            continue
        for day in entry.get("days") or []:
            yield entry["site"], day


def mean(values):
    return sum(values) / len(values)


def row(site, name, days):
    lost = []
    for index, part in enumerate(days[0]["parts"]):
        loss = mean([d["parts"][index][1] * (1 - d["parts"][index][2]) for d in days])
        lost.append(f"{part[0]} {loss:.3f}")
    prices = []
    for index, price in enumerate(days[0]["prices"]):
        paid = mean([d["prices"][index][2] for d in days])
        if paid >= LEAST_PRICE:
            prices.append(f"{price[0]} {paid:.3f}")
    figures = " | ".join(f"{mean([d[key] for d in days]):.3f}" for key in ("G", "served", "refused", "failed"))
    rules = sorted({rule for d in days for rule in d["rules"]})
    return f"| {site} | {name} | {len(days)} | {figures} | {', '.join(lost)} | {', '.join(prices)} | {' '.join(rules)} |"


def main():
    for prefix in sys.argv[1:]:
        groups = collections.defaultdict(list)
        for site, day in days_of(prefix):
            groups[site, day["name"]].append(day)
        print(f"\n{prefix}\n")
        print("| site | day | runs | worth | served | refused | failed | lost by part | prices | broken |")
        print("| --- " * 10 + "|")
        for (site, name), days in sorted(groups.items()):
            if not name.startswith("fresh"):
                print(row(site, name, days))
        for site in sorted({key[0] for key in groups}):
            worth = [d["G"] for (s, n), days in groups.items() if s == site and n[:5] in ("troub", "scale") for d in days]
            if worth:
                print(f"\n{site}: mean worth of the days with trouble {mean(worth):.3f} over {len(worth)} runs")


if __name__ == "__main__":
    main()
