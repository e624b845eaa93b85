"""A stand-in for the platform's store, with the faults that it may have."""
import asyncio
import base64
import collections
import json
import time
import urllib.parse

import wire

PAGE = 50
# Copies are kept for as long as a return may go back, over several outages.
COPIES = 400


class Store:
    def __init__(self, random):
        self.random = random
        self.revision = 1
        self.items = {}
        self.history = []
        self.first = 1
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.down = None
        self.delay = 0.002
        self.lost = 0.0
        self.calls = 0
        # Since when and until when something was wrong with it.
        self.troubles = []
        # Rises with each return from a copy.
        self.era = 1
        self.copies = collections.deque(maxlen=COPIES)
        self.away_since = None
        self.outages = []
        self.back = asyncio.Event()
        self.back.set()
        self.writers = set()

    async def start(self):
        self.server, self.port = await wire.serve(self.handle)
        self.expiry = asyncio.ensure_future(self.expire())

    def trouble(self, seconds):
        self.troubles.append((time.monotonic(), time.monotonic() + seconds))

    # Return from a copy.

    def keep_copy(self):
        self.copies.append((time.monotonic(), self.revision, dict(self.items), list(self.history), self.first, dict(self.leases), self.next_lease))

    def go_away(self, how):
        self.away_since = time.monotonic()
        self.back.clear()
        self.down = how
        self.break_connections()

    def come_back(self, age, keeps_history, extends_leases):
        """Goes on from what was there at the given time before the outage; its revisions and leases are given out again."""
        at = self.away_since - age
        copy = next((copy for copy in reversed(self.copies) if copy[0] <= at), self.copies[0])
        _, self.revision, items, history, self.first, leases, self.next_lease = copy
        self.items, self.history = dict(items), list(history)
        self.leases = {lease: (time.monotonic() + ttl / 1000 if extends_leases else until, ttl) for lease, (until, ttl) in leases.items()}
        if not keeps_history:
            self.compact()
        self.era += 1
        self.outages.append((self.away_since, time.monotonic()))
        self.away_since, self.down = None, None
        self.back.set()
        self.break_connections()

    def break_connections(self):
        for writer in list(self.writers):
            wire.reset(writer)

    def is_away(self):
        return self.away_since is not None

    async def reachable(self):
        await self.back.wait()

    def is_settled(self, at, settle):
        """Tells whether the store was there, and had been for some time."""
        return not any(began <= at <= back + settle for began, back in self.outages) and not (self.is_away() and at >= self.away_since)

    def value(self, key):
        return base64.b64decode(self.items[key]["value"]).decode() if key in self.items else None

    def has_leased(self, prefix):
        return any(key.startswith(prefix) and item["lease"] in self.leases for key, item in self.items.items())

    # What other clients of the store do.

    def put(self, key, value, lease=0):
        self.revision += 1
        made = self.items[key]["created_rev"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value.encode()).decode(), "revision": self.revision,
                "created_rev": made, "lease": lease}
        self.items[key] = item
        self.record(item)
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.record({"key": key, "revision": self.revision, "deleted": True})

    def compact(self):
        self.history.clear()
        self.first = self.revision + 1

    def record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            if not self.is_away():
                self.keep_copy()
            if self.down == "lapse" or self.down is None:
                for lease in [lease for lease, (until, _) in self.leases.items() if until < time.monotonic()]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    # The calls.

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        finally:
            self.writers.discard(writer)

    def respond(self, writer, status, body=b""):
        writer.write(wire.response(status, [("Content-Type", "application/json"), ("Store-Era", str(self.era))], body))

    async def serve(self, reader, writer):
        while True:
            line, fields = await wire.read_head(reader)
            body = await wire.read_body(reader, fields)
            self.calls += 1
            if self.down in ("silent", "lapse"):
                await asyncio.sleep(3600)
            if self.down == "reset":
                return
            if self.down == "busy":
                self.respond(writer, 503)
                await writer.drain()
                continue
            method, target, _ = line.split(" ")
            era = self.era
            await asyncio.sleep(self.delay)
            if self.is_away() or self.era != era:
                return
            status, answer = await self.call(method, target, body)
            is_write = method != "GET"
            if is_write and self.random.random() < self.lost:
                await asyncio.sleep(3600)
            if self.is_away() or self.era != era:
                return
            self.respond(writer, status, json.dumps(answer).encode())
            await writer.drain()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        asked = {name: values[0] for name, values in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        sent = json.loads(body) if body else {}
        if path == "/kv-key":
            item = self.items.get(asked["key"])
            return (200, {**item, "current_rev": self.revision}) if item else (404, {"current_rev": self.revision})
        if path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(asked["prefix"]) and key > asked.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:PAGE]], "truncated": len(keys) > PAGE, "current_rev": self.revision}
        if path == "/kv-watch":
            return await self.watch(asked["prefix"], int(asked["after"]), int(asked["wait_ms"]) / 1000)
        if path == "/kv-txn":
            return self.txn(sent)
        if path == "/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + sent["ttl_ms"] / 1000, sent["ttl_ms"])
            return 200, {"lease": self.next_lease, "ttl_ms": sent["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, prefix, after, wait):
        if after + 1 < self.first or after > self.revision:
            return 410, {}
        until = time.monotonic() + wait
        while True:
            events = [event for event in self.history if event["revision"] > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, sent):
        for row in sent["expect"]:
            current = self.items[row["key"]]["revision"] if row["key"] in self.items else 0
            if current != row["revision"]:
                return 412, {"items": []}
        for put in sent["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
        for put in sent["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]).decode(), put["lease"])
        for key in sent["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}
