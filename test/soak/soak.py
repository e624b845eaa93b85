"""Runs real entries beside stand-ins, strikes them with seeded faults, and checks
the promises from what callers and endpoints see. Exits 1 if one was broken.

    python3 test/soak/soak.py --binary build/bin/catkinwingd --seed 7 [--seconds 12] [--only KIND] [--keep]
"""
import argparse
import asyncio
import collections
import json
import os
import re
import shutil
import signal
import sys
import tempfile
import time

import copies
import endpoint as endpoints
import fleet
import partition
import prompts
import restore
import silence
import streams
import wire
from deployment import HOLDERS, HOMES, KEYS, LIMITED_KEYS, ROUTES, WORKSPACES, ZONES, configuration
from store import Store

# What the limit allows within any window, as the settings of the entries say.
LIMIT_WINDOW = 8.0
LIMIT_OVERAGE = 0.1
LIMIT_SLACK = 10
# What an endpoint that names a limit may get within any window, from some time after it first named it.
REQUEST_LIMIT_WINDOW = 4.0
REQUEST_LIMIT_RATIO = 1.5
REQUEST_LIMIT_SLACK = 5
REQUEST_LIMIT_SETTLE = 5.0
DRAIN_BOUND = 3.0
# Time that callers wait for an answer.
DEADLINE = 2.5
# Routes whose streams may be resumed.
RESUMABLE = "/stream/often/"
# First tries at entries that are cut off from all endpoints, from some time after the cut began: one of the two must hold.
CUT_SETTLE = 5.0
CUT_SERVED_RATIO = 2 / 3
CUT_FAILURES = 10
CUT_FAILURE_SHARE = 1 / 50
CALM = 5.0
# Share of the endpoints whose answers end with their connections.
UNFRAMED_SHARE = 0.3
PROMISES = {429, 503, 408, 421}


class Soak:
    def __init__(self, arguments):
        self.arguments = arguments
        self.random = fleet.seeded(arguments.seed, "faults")
        self.folder = tempfile.mkdtemp(prefix="catkinwing-soak-")
        self.runs = []
        self.requests = {}
        self.breaches = []
        self.counts = collections.Counter()
        self.number = 0
        self.version = 1
        self.endpoints = []
        self.limited = []
        self.entries = []
        # Some runs have a single version, in which entries tell each other nothing of streams.
        self.versions = fleet.seeded(arguments.seed, "versions").choice([["v1"], ["v1", "v2"], ["v1", "v2"], ["v1", "v2", "v3"]])
        self.kind = "planned"
        self.planned_only = True
        self.deadline = DEADLINE
        self.pace = 1.0
        self.settings = {}
        self.faults = []
        self.partition = partition.Partition()
        self.streams = streams.Streams()
        self.prompts = prompts.Prompts()
        self.restores = None
        self.spawned = set()

    def breach(self, rule, what):
        self.breaches.append((rule, what))
        print(f"BROKEN {rule}: {what}")

    # Setting up.

    async def start(self):
        self.store = Store(fleet.seeded(self.arguments.seed, "store"))
        await self.store.start()
        if self.restores:
            self.restores.put_configuration()
        else:
            self.store.put("op/config", configuration(self.version, max(3000, int(self.deadline * 1000))))
        for zone in ZONES:
            for service in ("plain", "model") * self.arguments.endpoints:
                await self.add_endpoint(service, zone)
        for zone in ZONES:
            for number in range(1, self.arguments.entries + 1):
                binary = self.arguments.second_binary if number % 2 == 0 and self.arguments.second_binary else self.arguments.binary
                entry = fleet.Entry(number, zone, ZONES, binary, self.folder, self.store.port, self.settings)
                self.entries.append(entry)
                await entry.start_first()
        await self.wait_ready()

    async def add_endpoint(self, service, zone):
        self.number += 1
        name = f"i-{self.number}"
        random = fleet.seeded(self.arguments.seed, name)
        version = random.choice(self.versions) if service == "model" else "v1"
        added = endpoints.Endpoint(self.store, random, service, zone, self.runs, name, self.partition, version)
        added.pace = self.pace
        added.is_unframed = random.random() < UNFRAMED_SHARE
        if service == "model":
            added.on_bad_prompt = lambda endpoint: asyncio.ensure_future(prompts.crash_and_replace(self, endpoint))
        await added.start()
        self.endpoints.append(added)
        if self.restores:
            self.restores.all_endpoints.append(added)

    def spawn(self, work):
        """Runs beside everything else, at most until the run ends."""
        def finish(task):
            self.spawned.discard(task)
            if not task.cancelled() and task.exception():
                self.breach("harness", repr(task.exception()))

        task = asyncio.ensure_future(work)
        self.spawned.add(task)
        task.add_done_callback(finish)

    async def wait_ready(self):
        until = time.monotonic() + 20
        for entry in self.entries:
            while not await self.is_ready(entry):
                if time.monotonic() > until:
                    raise RuntimeError(f"{entry.name} does not become ready")
                await asyncio.sleep(0.05)

    async def is_ready(self, entry):
        try:
            status, _, _ = await self.ask(entry.ports["readiness"], "/readyz")
            return status == 200
        except (wire.Closed, OSError, asyncio.TimeoutError):
            return False

    async def ask(self, port, target):
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
        try:
            writer.write(wire.request("GET", target, [("Host", "soak.example")]))
            line, fields = await asyncio.wait_for(wire.read_head(reader), 1)
            return int(line.split(" ")[1]), fields, await asyncio.wait_for(wire.read_body(reader, fields), 1)
        finally:
            writer.close()

    # Callers.

    async def caller(self, number, until):
        random = fleet.seeded(self.arguments.seed, f"caller {number}")
        zone = random.choice(list(ZONES))
        connection = None
        while time.monotonic() < until:
            await asyncio.sleep(random.expovariate(12))
            if connection is None:
                connection = await self.connect(zone, random)
            if connection is None:
                await asyncio.sleep(0.1)
                continue
            keep = await self.exchange(connection, random, zone)
            if not keep or random.random() < 0.05:
                connection[2].close()
                connection = None
        if connection:
            connection[2].close()

    async def connect(self, zone, random):
        """Asks an entry's directory, as callers do, and dials one that it names."""
        for entry in random.sample(self.entries, 3):
            asked_at = time.monotonic()
            try:
                status, _, body = await self.ask(entry.ports["directory"], f"/resolve?name=soak.example&region={ZONES[zone]}&zone={zone}")
            except (wire.Closed, OSError, asyncio.TimeoutError):
                continue
            if status != 200:
                continue
            addresses = json.loads(body)["addrs"]
            self.check_directory(entry, addresses, asked_at)
            random.shuffle(addresses)
            for address in addresses[:2]:
                port = int(address.rsplit(":", 1)[1])
                try:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
                except (OSError, asyncio.TimeoutError):
                    continue
                taker = next(entry for entry in self.entries if entry.ports["callers"] == port)
                return taker, reader, writer
        return None

    def is_calm(self, entry, at):
        return not any(began <= at <= until + CALM for began, until in entry.troubles + self.store.troubles)

    def check_directory(self, entry, addresses, at):
        if not self.is_calm(entry, at):
            return
        ports = {int(address.rsplit(":", 1)[1]) for address in addresses}
        alive = [other for other in self.entries if other.ports["callers"] in ports and other.alive()]
        for other in self.entries:
            is_dead = other.killed_at is not None and not other.alive() and at - other.killed_at > CALM + 3
            if other.ports["callers"] in ports and is_dead and alive:
                self.breach("directory", f"{entry.name} names {other.name}, dead for {at - other.killed_at:.1f} s")

    async def exchange(self, connection, random, zone):
        entry, reader, writer = connection
        prefix = random.choice(list(ROUTES))
        attempt = f"{random.getrandbits(64):016x}"
        path = f"{prefix}{attempt}"
        body = os.urandom(random.choice([0, 10, 5000])) if random.random() < 0.5 else b""
        method = "POST" if body or "once" in prefix else "GET"
        sent = {"attempt": attempt, "prefix": prefix, "method": method, "target": path, "body": body, "entry": entry,
                "at": time.monotonic(), "status": None, "how": None, "seal": None, "events": 0, "limit": self.deadline, "whole_at": None}
        self.requests[attempt] = sent
        may_resume = prefix == RESUMABLE
        sent["leaves_after"] = random.randint(1, endpoints.EVENTS - 1) if may_resume and random.random() < 0.3 else None
        sent["key"] = random.choice(KEYS)
        fields = [("Host", "soak.example"), ("Attempt-Id", attempt), ("Deadline-Ms", str(int(self.deadline * 1000))), ("Key", sent["key"])]
        if "/stream/" in prefix:
            fields.append(prompts.header(random))
        if random.random() < 0.1:
            fields.append(("Tenant", "forged"))
        if random.random() < 0.1:
            fields.append(("Expect-Instance", "i-forged"))
        keep = await self.send(sent, reader, writer, wire.request(method, path, fields, body), random)
        if may_resume and sent["status"] in (None, 200):
            self.record_events(sent)
        if sent.get("stream") and sent["stream"].last < endpoints.EVENTS:
            writer.close()
            await self.resume(sent, zone, random)
        return keep

    async def send_bad_prompts(self):
        """Requests with a part that crashes endpoints come at any entry, no two alike; their callers try three times."""
        random = fleet.seeded(self.arguments.seed, "prompts")
        if self.kind != "prompts" and (self.kind != "harsh" or random.random() < 0.6):
            return
        until = time.monotonic() + self.arguments.seconds - 1
        await asyncio.sleep(random.uniform(2, 3))
        while time.monotonic() < until:
            asyncio.ensure_future(self.send_bad_prompt(random))
            await asyncio.sleep(random.expovariate(3))

    async def send_bad_prompt(self, random):
        path = f"/stream/once/{random.getrandbits(64):016x}"
        for _ in range(3):
            attempt = f"{random.getrandbits(64):016x}"
            connection = await self.connect(random.choice(list(ZONES)), random)
            if connection is None:
                return
            entry, reader, writer = connection
            sent = {"attempt": attempt, "prefix": "/stream/once/", "method": "POST", "target": path, "body": b"x", "entry": entry, "at": time.monotonic(),
                    "status": None, "how": None, "events": 0, "leaves_after": None, "key": "key-wide-1", "is_bad": True}
            self.requests[attempt] = sent
            self.prompts.sent.append(sent["at"])
            fields = [("Host", "soak.example"), ("Attempt-Id", attempt), ("Deadline-Ms", "2000"), ("Key", sent["key"]), prompts.header(random, True)]
            try:
                writer.write(wire.request("POST", path, fields, b"x"))
                await asyncio.wait_for(self.take_answer(sent, reader), 3)
            except (asyncio.TimeoutError, wire.Closed, ConnectionError):
                sent["how"] = "cut"
            writer.close()
            self.counts[f"bad prompt: {sent['how']}"] += 1
            await asyncio.sleep(random.uniform(0.05, 0.3))

    async def send(self, sent, reader, writer, request, random):
        leaves = random.random() < 0.03
        try:
            if self.kind == "silence" and not leaves and sent["body"] and random.random() < silence.HALVES_SHARE:
                half = len(request) - len(sent["body"]) // 2
                writer.write(request[:half])
                await asyncio.sleep(random.uniform(0.05, 1.0))
                request = request[half:]
            writer.write(request)
            sent["whole_at"] = time.monotonic()
            if leaves:
                await asyncio.sleep(random.uniform(0, 0.05))
                sent["how"] = "left"
                return False
            return await asyncio.wait_for(self.take_answer(sent, reader), 6)
        except asyncio.TimeoutError:
            sent["how"] = "no answer in time"
        except (wire.Closed, ConnectionError):
            sent["how"] = sent["how"] or ("cut" if sent["status"] else "closed")
        finally:
            sent["ended"] = time.monotonic()
            self.counts[sent["how"] or sent["status"]] += 1
        return False

    def record_events(self, sent):
        events, _ = streams.read_events(sent.get("answer", b""))
        if sent["how"] != "left":
            sent["stream"] = self.streams.begin(sent, events)

    async def resume(self, first, zone, random):
        """Takes a broken stream up at an entry that the directory names, with what is left of the deadline."""
        stream = first["stream"]
        for _ in range(2):
            left = first["at"] + self.deadline - time.monotonic()
            connection = await self.connect(zone, random) if left > 0.1 else None
            if connection is None or stream.last >= endpoints.EVENTS:
                return
            entry, reader, writer = connection
            attempt = f"{random.getrandbits(64):016x}"
            sent = dict(first, attempt=attempt, entry=entry, at=time.monotonic(), status=None, how=None, resumes=stream.first, after=stream.last,
                        answer=b"", leaves_after=None, seal=None, limit=left, whole_at=time.monotonic())
            self.requests[attempt] = sent
            fields = [("Host", "soak.example"), ("Attempt-Id", attempt), ("Deadline-Ms", str(int(left * 1000))), ("Key", sent["key"]),
                      ("Resumes", stream.first), ("Last-Event-Id", str(stream.last))]
            counts = self.may_go_on(stream, sent)
            try:
                writer.write(wire.request(sent["method"], sent["target"], fields, sent["body"]))
                await asyncio.wait_for(self.take_answer(sent, reader), left + 1)
            except (asyncio.TimeoutError, wire.Closed, ConnectionError):
                sent["how"] = sent["how"] or "cut"
            writer.close()
            sent["ended"] = time.monotonic()
            counts = counts and not any(cut.entry is entry and cut.ended is None for cut in self.partition.cuts)
            events, _ = streams.read_events(sent["answer"])
            refusal = re.search(rb'"code":"(\w+)"', sent["answer"])
            self.counts[f"resumed: {refusal[1].decode() if refusal else sent['how']}"] += 1
            self.streams.resumed(stream, events, counts and self.is_calm(entry, time.monotonic()))

    def may_go_on(self, stream, sent):
        """Tells whether two endpoints of the stream's version serve it, and its entry is in touch."""
        if sent["key"] in LIMITED_KEYS:
            return False
        homes = HOMES.get(HOLDERS.get(sent["key"])) or set(ZONES.values())
        serving = [found for found in self.endpoints if found.service == "model" and found.version in stream.versions and found.left_at is None
                   and not found.is_down and found.fault is None and not found.limits and ZONES[found.zone] in homes]
        # An entry without links to endpoints isn't in touch, nor is it at once when it has them again.
        was_cut = any(cut.entry is sent["entry"] and (cut.ended is None or sent["at"] < cut.ended + CALM) for cut in self.partition.cuts)
        return len(serving) >= 2 and not was_cut and self.is_calm(sent["entry"], sent["at"])

    async def take_answer(self, sent, reader):
        line, fields = await wire.read_head(reader)
        sent["status"] = int(line.split(" ")[1])
        sent["seal"] = fields.get("reply-seal")
        body = b""
        async for piece in wire.chunks(reader, fields):
            body += piece
            sent["answer"] = body
            if sent["leaves_after"] and len(streams.read_events(body)[0]) >= sent["leaves_after"]:
                sent["how"] = "cut by the caller"
                return False
        sent["how"] = str(sent["status"])
        self.check_answer(sent, fields, body)
        return fields.get("connection", "").lower() != "close"

    # Promises.

    def check_answer(self, sent, fields, body):
        attempt = sent["attempt"]
        if 200 <= sent["status"] < 300:
            seal = sent["seal"] or ""
            maker = seal.partition(".")[2]
            if not seal.startswith(attempt + ".") or fields.get("attempt-id") != attempt:
                self.breach("answers", f"{attempt} got {seal!r} for {fields.get('attempt-id')}")
            elif "/stream/" in sent["prefix"]:
                events, is_clean = streams.read_events(body)
                if not is_clean or not streams.is_sequence(events, sent.get("after", 0)):
                    self.breach("order", f"{attempt} got {body!r}")
            elif body != endpoints.plain_body(attempt, maker):
                self.breach("answers", f"{attempt} got {body!r}")
        elif sent["status"] in PROMISES and "retry-after" not in fields and not (sent.get("resumes") and b"stream_version" in body):
            self.breach("refusals", f"{attempt} was refused with no time to come back")

    def check_end(self):
        by_attempt = collections.defaultdict(list)
        for run in self.runs:
            by_attempt[run["attempt"]].append(run)
        for attempt, runs in by_attempt.items():
            sent = self.requests.get(attempt)
            if sent is None:
                self.breach("unasked", f"a request {attempt!r} ran that no caller sent")
                continue
            may_repeat = "often" in sent["prefix"]
            if len(runs) > 1 and not may_repeat:
                self.breach("twice", f"{attempt} of {sent['prefix']} ran {len(runs)} times")
            if sent["status"] in PROMISES and not may_repeat:
                self.breach("refusals", f"{attempt} was answered {sent['status']} and has run")
            for run in runs:
                self.check_run(sent, run)
        for sent in self.requests.values():
            self.check_planned_stop(sent, by_attempt)
        for name, keys, _, rate in WORKSPACES:
            if rate:
                self.check_limit(name, keys, rate, by_attempt)
        for limited in self.limited:
            self.check_request_limits(limited)
        if self.kind == "cuts":
            self.check_cuts()
        if self.kind == "silence":
            for rule, what in silence.breaches(self.requests.values(), by_attempt):
                self.breach(rule, what)
        if self.kind == "copies" and not self.faults:
            for rule, what in copies.breaches(self.requests.values(), by_attempt):
                self.breach(rule, what)
        if self.restores:
            self.restores.check_end()
        self.check_prompts()
        for rule, what in self.streams.breaches():
            self.breach(rule, what)
        for entry in self.entries:
            if entry.own_ends:
                self.breach("process", f"{entry.name} ended by itself {entry.own_ends} times")

    def check_run(self, sent, run):
        if (run["method"], run["target"], run["body"]) != (sent["method"], sent["target"], sent["body"]):
            self.breach("unasked", f"{sent['attempt']} ran as {run['method']} {run['target']}, {len(run['body'])} bytes")
        if run["endpoint"].service != ROUTES[sent["prefix"]][0]:
            self.breach("routes", f"{sent['attempt']} ran at {run['endpoint'].service}")
        self.check_workspace(sent, run)
        if self.restores:
            self.restores.check_run(sent, run, DRAIN_BOUND)
            return
        left_at = run["endpoint"].left_at
        is_late = left_at is not None and run["at"] > left_at + DRAIN_BOUND and not run.get("was_held")
        everyone_calm = all(self.is_calm(entry, left_at) and self.is_calm(entry, run["at"]) for entry in self.entries) if is_late else False
        if is_late and everyone_calm:
            self.breach("drain", f"{sent['attempt']} ran {run['at'] - left_at:.1f} s after its endpoint said that it leaves")

    def check_workspace(self, sent, run):
        if run.get("has_key"):
            self.breach("keys", f"{sent['attempt']} reached its endpoint with its key")
        holder = HOLDERS.get(sent["key"])
        if holder is None or run.get("workspace") != holder:
            self.breach("keys", f"{sent['attempt']} of {holder} ran as {run.get('workspace')}")
        elif HOMES[holder] and ZONES[run["endpoint"].zone] not in HOMES[holder]:
            self.breach("homes", f"{sent['attempt']} of {holder} ran in {run['endpoint'].zone}")

    def check_limit(self, name, keys, rate, by_attempt):
        """Counts the requests that were sent and ran within the same window."""
        allowed = (rate * LIMIT_WINDOW + rate) * (1 + LIMIT_OVERAGE) + LIMIT_SLACK
        times = sorted((sent["at"], by_attempt[attempt][0]["at"]) for attempt, sent in self.requests.items()
                       if sent.get("key") in keys and attempt in by_attempt)
        for began, _ in times:
            within = sum(1 for sent_at, ran_at in times if began <= sent_at and ran_at <= began + LIMIT_WINDOW)
            if within > allowed:
                self.breach("limits", f"{within} requests of {name} ran within {LIMIT_WINDOW} s, {allowed:.0f} may")
                return

    def check_request_limits(self, limited):
        """Counts the arrivals while the endpoint named one limit, whichever entries sent them."""
        ends = [since for since, _ in limited.limits[1:]] + [float("inf")]
        for (since, per_second), until in zip(limited.limits, ends):
            if per_second is None:
                continue
            allowed = REQUEST_LIMIT_RATIO * REQUEST_LIMIT_WINDOW * per_second + REQUEST_LIMIT_SLACK
            times = [at for at in limited.arrivals if since + REQUEST_LIMIT_SETTLE <= at < until]
            most = max((sum(1 for at in times if began <= at < began + REQUEST_LIMIT_WINDOW) for began in times), default=0)
            if most > allowed:
                self.breach("request limits", f"{limited.incarnation} named {per_second} a second and got {most} in {REQUEST_LIMIT_WINDOW} s, {allowed:.0f} may")

    def check_cuts(self):
        """Where nothing else strikes, clients of entries that are cut off are served through the others."""
        def in_cut(sent, entry):
            return any(cut.entry is entry and cut.began + CUT_SETTLE <= sent["at"] < cut.ended for cut in self.partition.cuts)

        def failed(tries):
            return sum(1 for sent in tries if sent["status"] is None or sent["status"] >= 500)
        during = [sent for sent in self.requests.values() if sent["how"] != "left" and any(in_cut(sent, entry) for entry in self.entries)]
        at_cut = [sent for sent in during if in_cut(sent, sent["entry"])]
        others = [sent for sent in during if not in_cut(sent, sent["entry"])]
        served = 1 - failed(at_cut) / max(len(at_cut), 1)
        served_by_others = 1 - failed(others) / max(len(others), 1)
        if served < CUT_SERVED_RATIO * served_by_others and failed(at_cut) > CUT_FAILURES + CUT_FAILURE_SHARE * len(at_cut):
            self.breach("cuts", f"{failed(at_cut)} of {len(at_cut)} first tries at entries that were cut off failed, {failed(others)} of {len(others)} at others")

    def check_prompts(self):
        self.prompts.arrivals = [run["at"] for run in self.runs if self.requests.get(run["attempt"], {}).get("is_bad")]
        sound = [(sent["at"], sent["status"] == 200) for sent in self.requests.values()
                 if "/stream/" in sent["prefix"] and not sent.get("is_bad") and not sent.get("resumes") and sent["how"] != "left"
                 and sent["key"] not in LIMITED_KEYS and sent["key"] in HOLDERS]
        for rule, what in self.prompts.breaches(sound, lambda at: all(self.is_calm(entry, at) for entry in self.entries)):
            self.breach(rule, what)

    def check_planned_stop(self, sent, by_attempt):
        """Where only planned stops strike, what was passed on is answered."""
        entry = sent["entry"]
        was_passed_on = sent["attempt"] in by_attempt
        is_cut = sent["how"] in ("closed", "cut") and was_passed_on
        if self.planned_only and is_cut and entry.killed_at is None:
            self.breach("planned stop", f"{sent['attempt']} of {sent['prefix']} at {entry.name} ended as {sent['how']}")

    # Faults.

    def schedule(self):
        planned = [self.stop_entry, self.leave, self.change, self.hang_up]
        harsh = planned + [self.kill_entry, self.freeze_entry, self.cut_store, self.store_fault, self.endpoint_fault,
                           self.crash_endpoint, self.reset_store, self.compact, self.kill_many, self.cut_endpoints, self.start_endpoint_again,
                           self.strike_series]
        self.kind = self.random.choice(["planned", "planned", "harsh", "harsh", "harsh", "harsh", "cuts"])
        # Beside the bad part nothing strikes that would excuse entries.
        if fleet.seeded(self.arguments.seed, "kind").random() < 0.25:
            self.kind = "prompts"
        term = fleet.seeded(self.arguments.seed, "terms").random()
        if term < 0.15 or 0.25 <= term < 0.4:
            self.kind = "silence" if term < 0.15 else "restore"
        self.kind = self.arguments.only or self.kind
        self.planned_only = self.kind == "planned"
        if self.kind == "silence":
            self.deadline = silence.DEADLINE
            self.arguments.endpoints = max(self.arguments.endpoints, silence.ENDPOINTS)
            self.arguments.callers = max(self.arguments.callers, silence.CALLERS)
            random = fleet.seeded(self.arguments.seed, "load")
            self.pace = random.choice(silence.PACES)
            self.settings = {"retryRatio": random.choice([0.05, 0.1, 0.2]), "retrySlack": random.choice([10, 50])}
            return
        if self.kind == "copies":
            self.arguments.endpoints = copies.ENDPOINTS
            self.arguments.callers = max(self.arguments.callers, copies.CALLERS)
            if fleet.seeded(self.arguments.seed, "beside copies").random() >= copies.BESIDE_SHARE:
                return
        if self.kind == "restore":
            self.restores = restore.Restores(self, self.arguments.seed)
            self.arguments.seconds = max(self.arguments.seconds, restore.SECONDS)
            return
        beside_copies = planned + [self.kill_entry, self.freeze_entry, self.cut_store, self.store_fault, self.strike_series, self.kill_many]
        kinds = {"planned": planned, "harsh": harsh, "copies": beside_copies, "cuts": [self.cut_endpoints], "prompts": [self.hang_up, self.change]}[self.kind]
        at = 1.0
        while at < self.arguments.seconds - 2:
            self.faults.append((at, self.random.choice(kinds)))
            at += self.random.uniform(0.2, 2.0)

    async def strike(self):
        began = time.monotonic()
        running = []
        for at, fault in self.faults:
            await asyncio.sleep(max(0, began + at - time.monotonic()))
            if self.arguments.verbose:
                print(f"{at:6.2f} {fault.__name__}")
            running.append(asyncio.ensure_future(fault()))
        await asyncio.gather(*running)

    async def name_limits(self):
        """Some endpoints name limits, of which a few change or end, beside all other faults."""
        if self.kind in ("cuts", "prompts", "silence", "restore", "copies"):
            return
        random = fleet.seeded(self.arguments.seed, "limits")
        await asyncio.sleep(0.5)
        self.limited = random.sample(self.endpoints, max(2, len(self.endpoints) // 4))
        for limited in self.limited:
            limited.name_limit(random.choice([0, 0.5, 1.0, 2.0, 3.7]))
        await asyncio.sleep(self.arguments.seconds * random.uniform(0.5, 0.8))
        for limited in self.limited:
            if random.random() < 0.3:
                limited.name_limit(random.choice([None, 0.5, 3.0]))

    def pick(self):
        return self.random.choice(self.entries)

    async def stop_entry(self):
        entry = self.pick()
        if not entry.alive() or entry.term_at:
            return
        entry.stop()
        await asyncio.wait_for(entry.process.wait(), 10)
        await entry.start()

    async def kill_entry(self):
        entry = self.pick()
        entry.kill()
        entry.disturb(1.0)
        await asyncio.sleep(self.random.uniform(0.1, 3))
        await self.revive(entry)

    async def kill_many(self):
        chosen = self.random.sample(self.entries, 4)
        for entry in chosen:
            entry.kill()
            entry.disturb(1.0)
        await asyncio.sleep(0.5)
        for entry in chosen:
            await self.revive(entry)

    async def revive(self, entry):
        if not entry.alive():
            entry.disturb(1.0)
            await entry.start()

    async def freeze_entry(self):
        entry = self.pick()
        entry.disturb(3.0)
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 2.5))
        entry.signal(signal.SIGCONT)

    async def hang_up(self):
        self.pick().signal(signal.SIGHUP)

    async def cut_store(self):
        entry = self.pick()
        seconds = self.random.uniform(0.5, 4)
        entry.disturb(seconds)
        entry.store_proxy.mode = self.random.choice(["silent", "up", "down", "refuse", "slow"])
        await asyncio.sleep(seconds)
        entry.store_proxy.mode = None

    async def reset_store(self):
        for entry in self.entries:
            entry.disturb(0.1)
            entry.store_proxy.reset_all()

    async def cut_endpoints(self):
        """Cuts one entry of each zone or a single one off from all endpoints, which is no excuse for them."""
        mode = self.random.choice(partition.MODES)
        seconds = self.random.uniform(6, 9) if self.kind == "cuts" else self.random.uniform(1, 5)
        zones = list(ZONES) if self.random.random() < 0.5 else [self.random.choice(list(ZONES))]
        chosen = [self.random.choice([entry for entry in self.entries if entry.zone == zone]) for zone in zones]
        already = {cut.entry for cut in self.partition.open_cuts()}
        if len(already) + len(chosen) <= len(self.entries) / 2:
            await asyncio.gather(*(self.partition.cut(entry, mode, seconds) for entry in chosen if entry not in already))

    async def store_fault(self):
        seconds = self.random.uniform(0.5, 4)
        self.store.trouble(seconds)
        kind = self.random.choice(["silent", "busy", "reset", "lapse", "slow", "lost"])
        if kind == "slow":
            self.store.delay = 0.25
        elif kind == "lost":
            self.store.lost = 0.4
        else:
            self.store.down = kind
        await asyncio.sleep(seconds)
        self.store.down, self.store.delay, self.store.lost = None, 0.002, 0.0

    async def compact(self):
        self.store.trouble(0.5)
        self.store.compact()

    async def change(self):
        self.version += self.random.choice([1, 2, 5])
        self.store.put("op/config", configuration(self.version, self.random.choice([2500, 3000])))

    async def leave(self):
        leaving = self.random.choice([found for found in self.endpoints if found.left_at is None])
        await self.add_endpoint(leaving.service, leaving.zone)
        leaving.leave()
        await asyncio.sleep(6)
        self.endpoints.remove(leaving)
        await leaving.end()

    async def endpoint_fault(self):
        struck = self.random.choice(self.endpoints)
        struck.fault = self.random.choice(["refuse", "hang", "lose", "cut", "extra"])
        struck.fault_share = self.random.choice([0.1, 0.5, 1.0])
        await asyncio.sleep(self.random.uniform(0.5, 3))
        struck.fault = None

    async def crash_endpoint(self):
        crashed = self.random.choice([found for found in self.endpoints if found.left_at is None])
        self.endpoints.remove(crashed)
        await crashed.end()
        await self.add_endpoint(crashed.service, crashed.zone)

    async def start_endpoint_again(self):
        """An endpoint crashes and starts again under its name and address, often at another version."""
        struck = self.random.choice([found for found in self.endpoints if found.left_at is None and not found.is_down])
        version = self.random.choice(self.versions) if struck.service == "model" else "v1"
        await struck.start_again(version, self.random.uniform(0.05, 1.5), self.random.choice([0, 0, 0.3]))

    async def strike_series(self):
        """Several faults follow each other within a second and overlap."""
        kinds = [self.kill_entry, self.stop_entry, self.hang_up, self.change, self.freeze_entry, self.crash_endpoint, self.start_endpoint_again, self.store_fault]
        chosen = [self.random.choice(kinds) for _ in range(self.random.randint(3, 6))]
        running = []
        for fault in chosen:
            running.append(asyncio.ensure_future(fault()))
            await asyncio.sleep(self.random.uniform(0.01, 0.3))
        await asyncio.gather(*running)

    # The whole run.

    async def run(self):
        self.schedule()
        try:
            await self.start()
            until = time.monotonic() + self.arguments.seconds
            callers = [self.caller(number, until) for number in range(self.arguments.callers)]
            terms = []
            if self.kind == "silence":
                random = fleet.seeded(self.arguments.seed, "silence")
                terms = [silence.strike(self, random), silence.change(self, fleet.seeded(self.arguments.seed, "configurations"))]
            if self.kind == "copies":
                random = fleet.seeded(self.arguments.seed, "copies")
                copies.begin(self, random)
                terms = [copies.strike(self, random, until)]
            if self.restores:
                terms = self.restores.tasks(until)
            await asyncio.gather(self.strike(), self.name_limits(), self.send_bad_prompts(), *terms, *callers)
            await asyncio.sleep(0.5)
            self.check_end()
        finally:
            for task in list(self.spawned):
                task.cancel()
            for entry in self.entries:
                await entry.end()
        answered = sum(count for how, count in self.counts.items() if str(how).startswith("2"))
        if answered * 4 < sum(self.counts.values()):
            self.breach("service", f"only {answered} of {sum(self.counts.values())} requests were answered")
        print(f"seed {self.arguments.seed}: {self.kind}, {len(self.faults)} faults, {sum(self.counts.values())} requests, "
              f"{answered} answered, {len(self.breaches)} broken; {dict(self.counts)}; streams {dict(self.streams.counts)} of {self.versions}; "
              f"{len(self.prompts.crashes)} crashes by prompts, {sum(found.copies.sent for found in self.endpoints if found.copies)} copies of refusals" + (f"; {dict(self.restores.counts)}" if self.restores else ""))
        if self.breaches or self.arguments.keep:
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder)
        return 1 if self.breaches else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--binary", default="build/bin/catkinwingd")
    parser.add_argument("--second-binary", help="binary of every second entry, such as another release (default: the same)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--entries", type=int, default=2, help="entries of each zone")
    parser.add_argument("--endpoints", type=int, default=2, help="endpoints of each service in each zone")
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--only", choices=["silence", "restore", "copies"], help="strike with this kind of trouble instead of one drawn by the seed")
    parser.add_argument("--keep", action="store_true")
    parser.add_argument("--verbose", action="store_true")
    return asyncio.run(Soak(parser.parse_args()).run())


if __name__ == "__main__":
    sys.exit(main())
