"""Endpoints that fall silent for a second or so and go on where they were, and what must hold of requests meanwhile."""
import asyncio
import time

import deployment

DEADLINE = 4.0
# Endpoints of each service in each zone: enough that several may be silent at once.
ENDPOINTS = 4
CALLERS = 60
# Slow endpoints have more requests open when they fall silent.
PACES = [1, 4, 8]
LONGEST = 1.6
# A request that ends unanswered before this share of its time has been ended early.
EARLY_SHARE = 0.7
HALVES_SHARE = 1 / 3


async def strike(soak, random):
    """One endpoint after another falls silent; in some runs several are silent most of the time."""
    shortest, longest = random.choice([(0.05, 0.3), (0.05, 0.3), (0.1, 0.5), (0.5, 2.0)])
    until = time.monotonic() + soak.arguments.seconds - 1
    await asyncio.sleep(1)
    while time.monotonic() < until:
        struck = random.choice(soak.endpoints)
        if not struck.is_silent():
            struck.fall_silent(random.uniform(0.8, LONGEST))
        await asyncio.sleep(random.uniform(shortest, longest))


async def change(soak, random):
    """Configurations with other bounds and another order of routes follow each other."""
    until = time.monotonic() + soak.arguments.seconds - 1
    while time.monotonic() < until:
        await asyncio.sleep(random.uniform(1.2, 2.4))
        soak.version += random.choice([1, 2, 5])
        soak.store.put("op/config", deployment.configuration(soak.version, int(DEADLINE * 1000), random))


def is_answered(sent):
    """Tells whether the request got an endpoint's whole answer or a refusal that promises that it hasn't run."""
    if sent["status"] is None or sent["how"] != str(sent["status"]):
        return False
    is_unknown = sent["key"] not in deployment.HOLDERS and sent["status"] in (401, 403)
    return bool(sent["seal"]) or sent["status"] in (429, 503, 408, 421) or is_unknown


def was_ended_early(sent, runs):
    """Tells whether an entry has read the whole request and ended it well before its time without answering it."""
    if sent["how"] in ("left", "cut by the caller") or is_answered(sent):
        return False
    deadline = sent["at"] + sent["limit"]
    is_early = sent["whole_at"] is not None and sent["ended"] < sent["at"] + EARLY_SHARE * sent["limit"]
    was_silent = any(began <= sent["ended"] and until >= deadline for run in runs for began, until in run["endpoint"].silences)
    return is_early and not was_silent


def breaches(requests, by_attempt):
    for sent in requests:
        runs = by_attempt.get(sent["attempt"], [])
        if was_ended_early(sent, runs):
            yield "silence", (f"{sent['attempt']} of {sent['prefix']} at {sent['entry'].name} ended as {sent['how']} after "
                              f"{sent['ended'] - sent['at']:.2f} of {sent['limit']:.2f} s, run {len(runs)} times")
