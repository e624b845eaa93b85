"""Prompts of the soak's streams, one part of which may crash each endpoint that begins to answer it."""
import asyncio
import time

FIRST = "aa01"
COMMON = ["bb01", "bb02", "bb03"]
BAD = "dd0bad"
# The rule: this long after the fifth crash no more than three requests with the part may reach endpoints.
CRASHES_BEFORE_BOUND = 5
SETTLE = 5.0
MAX_LATER = 3
# Sound requests with the same first part are begun at least half as often as before, from twice that time on.
MIN_SOUND = 20
MIN_SHARE = 0.5


def header(random, is_bad=False):
    """Returns the field that names the parts of a prompt; the last one is its own."""
    parts = [FIRST] + random.sample(COMMON, random.randint(1, 2))
    if is_bad:
        parts.insert(random.randint(1, len(parts)), BAD)
    parts.append(f"{random.getrandbits(32):08x}")
    return "Prefix-Hash", ",".join(f"{part}:200" for part in parts)


def has_bad(fields):
    return any(part.partition(":")[0] == BAD for part in fields.get("prefix-hash", "").split(",")[:-1])


class Prompts:
    """What endpoints saw of the bad part, and what must hold of it."""

    def __init__(self):
        self.arrivals = []
        self.crashes = []
        # When the first and the last request with the part were sent.
        self.sent = []

    def breaches(self, sound, is_calm):
        """sound holds when each sound request was sent and whether it was begun; is_calm judges the entries at a time."""
        if len(self.crashes) >= CRASHES_BEFORE_BOUND:
            bound = sorted(self.crashes)[CRASHES_BEFORE_BOUND - 1] + SETTLE
            later = [at for at in self.arrivals if at > bound and is_calm(at)]
            if len(later) > MAX_LATER:
                yield "bad part", f"{len(later)} requests with it arrived later than {SETTLE} s after the fifth of {len(self.crashes)} crashes"
        if not self.crashes:
            return
        settled = sorted(self.crashes)[:CRASHES_BEFORE_BOUND][-1] + 2 * SETTLE
        before = [begun for at, begun in sound if at < self.sent[0]]
        after = [begun for at, begun in sound if settled <= at <= self.sent[-1] and is_calm(at)]
        if len(before) < MIN_SOUND or len(after) < MIN_SOUND:
            return
        share, share_before = sum(after) / len(after), sum(before) / len(before)
        if share < MIN_SHARE * share_before:
            yield "bad part", f"{share:.2f} of {len(after)} sound requests with its first part were begun, {share_before:.2f} of {len(before)} before"


async def crash_and_replace(soak, endpoint):
    """An endpoint that began to answer the part is gone at once; another starts some seconds later."""
    soak.prompts.crashes.append(time.monotonic())
    if endpoint in soak.endpoints:
        soak.endpoints.remove(endpoint)
        await endpoint.end()
        await asyncio.sleep(soak.random.uniform(1, 3))
        await soak.add_endpoint(endpoint.service, endpoint.zone)
