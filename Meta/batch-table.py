#!/usr/bin/env python3
"""Prints batch_ms, convergence time and control bytes a change from the experiments of Meta/plot-batch.sh."""
import json
import sys

BATCHES_MS = (0, 20, 100, 500, 2000)


def measures(path):
    with open(path, encoding="utf-8") as file:
        result = json.load(file)
    rows = result.get("rows", []) if isinstance(result, dict) else result
    return {row["measure"]: row["value"] for row in rows if "measure" in row}


def main():
    print("# batch_ms\tsingle change, median ms\tbytes a change in a burst, mean proxy")
    for batch in BATCHES_MS:
        values = measures(f"{sys.argv[1]}/batch-{batch}.json")
        single = values["single changes: accepted to held by all, median"]
        burst = values["burst of 50: control bytes a change, mean proxy"]
        print(f"{batch}\t{single:.0f}\t{burst:.0f}")


if __name__ == "__main__":
    main()
