"""A stand-in for one endpoint: a plain service or a model engine."""
import asyncio
import json
import time

import prompts
import wire

EVENTS = 6


def plain_body(attempt, incarnation):
    return f"answer to {attempt} by {incarnation}".encode()


def event(number, version):
    return f"id: {number}\ndata: piece {number} {version}\n\n".encode()


class Endpoint:
    """Registers in the store, runs requests and notes each run in its log."""

    def __init__(self, store, random, service, zone, log, name, partition=None, version="v1"):
        self.store, self.random, self.service, self.zone, self.log = store, random, service, zone, log
        self.partition = partition
        self.incarnation = name
        self.version = version
        self.state = "ready"
        self.fault = None
        self.fault_share = 0.0
        self.left_at = None
        self.registered_at = None
        self.is_registered = False
        # The last copy from which the store came back lists it although it was gone.
        self.is_in_copy = False
        self.is_down = False
        self.writers = set()
        # Times at which requests arrived, and the limits that were named: since when, and how many a second.
        self.arrivals = []
        self.limits = []
        # Answers have neither a length nor chunks, and end with their connections.
        self.is_unframed = False
        # How many times longer it works than others.
        self.pace = 1.0
        # Since when and until when it was silent.
        self.silences = []
        # The refusals that are sent a second time; None if none is.
        self.copies = None
        # Called when a request arrives whose prompt crashes the endpoint.
        self.on_bad_prompt = None

    async def start(self):
        self.server, self.port = await wire.serve(self.handle)
        self.born = int(time.time() * 1000)
        self.register()

    def key(self):
        return f"servers/{self.incarnation}"

    def record(self):
        return json.dumps({"service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": self.zone, "version": self.version, "born": self.born,
                           "slots": 8, "state": self.state, "warmup_ms": 0, "seq": 1})

    def register(self):
        self.is_registered = True
        self.registered_at = self.registered_at or time.monotonic()
        self.store.put(self.key(), self.record())

    def register_again(self):
        """Writes what the store has lost."""
        if self.is_registered and self.store.value(self.key()) != self.record():
            self.register()

    def leave(self):
        self.state = "draining"
        self.left_at = time.monotonic()
        self.register()

    def vanish(self):
        """Is gone from the store without having said that it leaves, and serves on."""
        self.left_at = time.monotonic()
        self.is_registered = False
        self.store.delete(self.key())

    def crash(self):
        """Open connections break, and new ones are refused."""
        self.server.close()
        for writer in list(self.writers):
            wire.reset(writer)

    async def start_again(self, version, down, unregistered):
        """Crashes and starts again under its name and address, perhaps at another version."""
        self.crash()
        self.is_down = True
        await asyncio.sleep(down)
        self.version = version
        self.server, _ = await wire.serve(self.handle, self.port)
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.is_down = False
        await asyncio.sleep(unregistered)
        if self.state != "gone":
            self.register()

    async def end(self):
        """Is gone at once; open connections break."""
        self.state = "gone"
        self.is_registered = False
        self.crash()
        self.store.delete(self.key())

    def name_limit(self, per_second):
        """Names a limit in each answer from now on; None ends it."""
        self.limits.append((time.monotonic(), per_second))

    def limit_fields(self):
        per_second = self.limits[-1][1] if self.limits else None
        return [] if per_second is None else [("Server-Limit", str(per_second))]

    def fall_silent(self, seconds):
        """Sends nothing for some time and goes on where it was; the system still takes connections and bytes for it."""
        self.silences.append((time.monotonic(), time.monotonic() + seconds))

    def is_silent(self):
        return bool(self.silences) and time.monotonic() < self.silences[-1][1]

    async def speaks(self):
        while self.is_silent():
            await asyncio.sleep(self.silences[-1][1] - time.monotonic())

    def strikes(self, kind):
        return self.fault == kind and self.random.random() < self.fault_share

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            lives, _ = await self.partition.passes(writer)
            while lives:
                line, fields = await wire.read_head(reader)
                body = await wire.read_body(reader, fields)
                await self.speaks()
                lives, was_held = await self.partition.passes(writer)
                if self.copies:
                    self.copies.busy.add(writer)
                lives = lives and await self.answer(line, fields, body, writer, was_held)
                if self.copies:
                    self.copies.busy.discard(writer)
        finally:
            self.writers.discard(writer)
            if self.copies:
                self.copies.forget(writer)

    async def start_as(self, incarnation, registered):
        """Starts again under a new incarnation at its address; the registration of the old one stays for some time."""
        old = self.key()
        self.incarnation = incarnation
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.register()
        await asyncio.sleep(registered)
        self.store.delete(old)

    def refuse(self, status, attempt, fields, writer):
        refusal = wire.response(status, [("Attempt-Id", attempt)] + fields)
        if self.copies:
            self.copies.refuse(attempt, refusal, writer)
        else:
            writer.write(refusal)

    async def answer(self, line, fields, body, writer, was_held):
        method, target, _ = line.split(" ")
        attempt = fields.get("attempt-id", "")
        if fields.get("expect-instance") != self.incarnation:
            self.refuse(421, attempt, [("Instance-Id", self.incarnation)], writer)
            return True
        self.arrivals.append(time.monotonic())
        if self.strikes("refuse"):
            self.refuse(503, attempt, [("Not-Executed", "1")] + self.limit_fields(), writer)
            return True
        if self.strikes("hang"):
            await asyncio.sleep(3600)
        self.log.append({"attempt": attempt, "at": time.monotonic(), "endpoint": self, "method": method, "target": target,
                         "body": body, "from": int(fields.get("last-event-id", 0)),
                         "workspace": fields.get("tenant"), "has_key": "key" in fields, "was_held": was_held})
        await asyncio.sleep(self.pace * self.random.uniform(0.005, 0.05))
        await self.speaks()
        if prompts.has_bad(fields) and self.on_bad_prompt:
            writer.write(self.stream_head([("Attempt-Id", attempt), ("Reply-Seal", f"{attempt}.{self.incarnation}")]))
            await asyncio.sleep(self.random.uniform(0, 0.05))
            self.on_bad_prompt(self)
            return False
        if self.strikes("lose"):
            wire.reset(writer)
            return False
        if self.copies:
            self.copies.before_answer(attempt, writer)
        head = [("Attempt-Id", attempt), ("Reply-Seal", f"{attempt}.{self.incarnation}")] + self.limit_fields()
        if "/stream/" in target:
            return await self.stream(head, int(fields.get("last-event-id", 0)), writer)
        if self.is_unframed:
            lines = ["HTTP/1.1 200 X"] + [f"{name}: {value}" for name, value in head] + ["", ""]
            writer.write("\r\n".join(lines).encode() + plain_body(attempt, self.incarnation))
            await writer.drain()
            return False
        whole = wire.response(200, head, plain_body(attempt, self.incarnation))
        if self.strikes("cut"):
            writer.write(whole[:-5])
            return False
        writer.write(whole + (whole if self.strikes("extra") else b""))
        await writer.drain()
        return True

    def stream_head(self, head):
        lines = ["HTTP/1.1 200 X"] + [f"{name}: {value}" for name, value in head] + ["Content-Type: text/event-stream"]
        lines += ["", ""] if self.is_unframed else ["Transfer-Encoding: chunked", "", ""]
        return "\r\n".join(lines).encode()

    def framed(self, piece):
        return piece if self.is_unframed else b"%x\r\n%s\r\n" % (len(piece), piece)

    async def stream(self, head, after, writer):
        version = self.version
        writer.write(self.stream_head(head))
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(self.pace * self.random.uniform(0.005, 0.04))
            await self.speaks()
            piece = event(number, version)
            if self.strikes("cut"):
                writer.write(piece[:4] if self.is_unframed else b"%x\r\n" % len(piece) + piece[:4])
                await writer.drain()
                # An unframed stream that ends inside an event was broken off, however it was closed.
                if not self.is_unframed or self.random.random() < 0.5:
                    wire.reset(writer)
                return False
            writer.write(self.framed(piece))
            await writer.drain()
        if self.is_unframed:
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
