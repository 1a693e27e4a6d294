#!/usr/bin/env python3
"""Fits a + b x to each trial of slopes.csv and prints "trial,role,metric,a,b,r2,worst": fit.py [slopes.csv].

`worst` is the largest distance of a measured mean from its line."""
import collections
import csv
import os
import sys


def fit(points):
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread_x = sum((x - mean_x) ** 2 for x, _ in points)
    spread_y = sum((y - mean_y) ** 2 for _, y in points)
    b = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread_x
    a = mean_y - b * mean_x
    residuals = [y - a - b * x for x, y in points]
    r2 = 1 - sum(r * r for r in residuals) / spread_y if spread_y > 0 else 1
    return a, b, r2, max(abs(r) for r in residuals)


def main():
    path = sys.argv[1] if len(sys.argv) > 1 else os.path.join(os.path.dirname(__file__), "slopes.csv")
    points = collections.defaultdict(list)
    with open(path) as file:
        for row in csv.DictReader(file):
            if "/" not in row["x"]:
                points[row["trial"], row["role"], row["metric"]].append((float(row["x"]), float(row["mean"])))
    print("trial,role,metric,a,b,r2,worst")
    for key, measured in points.items():
        if len({x for x, _ in measured}) >= 4:
            print(",".join(key) + ",%.6g,%.6g,%.4f,%.4g" % fit(measured))


main()
