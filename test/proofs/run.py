#!/usr/bin/env python3
"""Runs requests under seeded schedules of faults and holds the result against
what must always hold. Prints the seed and one line for each schedule."""
import argparse
import collections
import json
import sys
import tempfile
import time

from callers import Callers
from checker import CHECKS, Checker
from deployment import Deployment, unique_names
import faults


class Proof:
    """One deployment under many schedules."""

    def __init__(self, folder, seed, threads):
        self.seed = seed
        self.threads = threads
        self.deployment = Deployment(folder, seed)
        self.checker = Checker()
        self.records = []
        self.outcomes = collections.Counter()
        self._names = unique_names("m-")

    def start(self):
        self.deployment.start()

    def stop(self):
        self.deployment.stop()

    def _callers(self, schedule):
        regions = {name: facts["region"] for name, facts in self.deployment.entries.items()}
        return Callers(self.deployment.entry_addresses(), regions, f"{self.seed}/{schedule}", self._names, time.monotonic, self.threads)

    def run_schedule(self, schedule, seconds, requests):
        """Runs one schedule; a fifth of them are a planned stop under load."""
        callers = self._callers(schedule)
        sampler = faults.RevisionSampler(self.deployment)
        operators = faults.Operators(self.deployment, f"{self.seed}/{schedule}")
        for thread in (callers, sampler, operators):
            thread.start()
        try:
            names = self._planned_stop(callers, schedule) if schedule % 5 == 4 else faults.run_schedule(self.deployment, f"{self.seed}/{schedule}", seconds)
            deadline = time.monotonic() + 60
            while len(callers.records) < requests and time.monotonic() < deadline:
                time.sleep(0.05)
        finally:
            callers.stop()
            operators.stop()
            sampler.stop()
        self.checker.check_revisions(sampler.samples)
        self.records += callers.records
        for record in callers.records:
            self.outcomes[f"{record.status} {record.outcome or ('lost' if record.lost else 'whole')}"] += 1
        return names, len(callers.records)

    def _planned_stop(self, callers, schedule):
        entries = list(self.deployment.entries)
        name = entries[schedule // 5 % len(entries)]
        time.sleep(0.5)
        told, code = faults.stop_gracefully(self.deployment, name)
        time.sleep(0.2)
        self.checker.check_planned_stop(list(callers.records), name, told, code)
        self.deployment.fleet.restart(name)
        return [f"planned stop of {name}"]

    def conclude(self):
        self.checker.check(self.records, list(self.deployment.executions()))


def report(proof, schedules):
    result = {
        "seed": proof.seed,
        "schedules": schedules,
        "requests": len(proof.records),
        "outcomes": dict(proof.outcomes),
        "broken": {check: proof.checker.counts[check] for check in CHECKS},
    }
    print(json.dumps(result, indent=2))
    for check, examples in proof.checker.examples.items():
        for example in examples:
            print(f"{check}: {example}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--schedules", type=int, default=10)
    parser.add_argument("--requests", type=int, default=250, help="least number in each schedule")
    parser.add_argument("--seconds", type=float, default=2.0, help="longest time of a fault")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--threads", type=int, default=8)
    parser.add_argument("--folder", help="where logs go; default: a new temporary folder")
    arguments = parser.parse_args()
    folder = arguments.folder or tempfile.mkdtemp(prefix="catkinwing-proofs-")
    print(f"seed {arguments.seed}, logs in {folder}", flush=True)
    proof = Proof(folder, arguments.seed, arguments.threads)
    try:
        proof.start()
        for schedule in range(arguments.schedules):
            names, requests = proof.run_schedule(schedule, arguments.seconds, arguments.requests)
            print(f"schedule {schedule}: {requests} requests; {'; '.join(names)}", flush=True)
    finally:
        proof.stop()
    proof.conclude()
    report(proof, arguments.schedules)
    return 0 if proof.checker.is_clean() else 1


if __name__ == "__main__":
    sys.exit(main())
