"""A stream whose status is a 2xx other than 200 and that is cut off reads as whole."""
import asyncio
import collections
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import kit

HOST = "ficu95.example"
STATUSES = (200, 201, 203, 206)
EVENTS = 20
SECONDS = 12
PER_SECOND = 20
# The largest dose of the site: share = 0.6, x = 0.4, for_s = 4.0.
SHARE = 0.6
X = 0.4
FOR_S = 4.0
BEGINS_S = 4.0
CONFIGURATION = {
    "version": 4,
    "routes": [{"name": "consulta", "host": HOST, "prefix": "/consulta/", "kind": "streaming", "timeout_ms": 4000, "latency_target_ms": 1200, "gap_aim_ms": 300,
                "attempts": 1, "priority": 0, "resumable": False, "affinity": True, "service": "asesor"}],
    "services": [{"name": "asesor", "health_path": "/healthz", "max_conns": 360, "warmup_s": 0.0, "cold_per_s": 0.0}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000}}


class Engine(kit.Server):
    """Streams events in chunks. One that is hit resets a share of its streams after some events."""
    is_hit = False
    random = None
    # Number of events that it sent, by Attempt-Id.
    sent = None
    # Since when it resets streams.
    hit_at = None

    def resets(self):
        is_time = kit.TROUBLE and self.hit_at is not None and self.hit_at <= time.monotonic() < self.hit_at + FOR_S
        return is_time and self.is_hit and self.random.random() < X

    async def answer(self, attempt, fields, writer):
        status = STATUSES[int(attempt[:8], 16) % len(STATUSES)]
        stop = 3 + int(self.random.random() * 5) if self.resets() else None
        lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in self.head(attempt)] + ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(0.02)
            if number == stop and time.monotonic() < self.hit_at + FOR_S:
                self.record.write(f"{self.name} resets {attempt} before event {number}")
                kit.reset(writer)
                return False
            piece = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
            self.sent[attempt] = number
        writer.write(b"0\r\n\r\n")
        return True


async def ask(case, entry, attempt):
    """Returns the status, the number of events, and whether the answer is whole as HTTP/1.1 has it (RFC 9112, section 8)."""
    fields = [("Host", HOST), ("Attempt-Id", attempt), ("Model", "m"), ("Token-Count", "290,60"), ("Prefix-Hash", f"5c1e07a2:55,{attempt[:8]}:235"), ("Deadline-Ms", "4000")]
    host, port = entry.listen["front"].rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    status, body, is_whole, framing = 0, b"", False, ""
    try:
        writer.write(kit.request("POST", "/consulta/2f", fields, b"x" * 600))
        line, head = await kit.read_head(reader)
        status = int(line.split(" ")[1])
        if "transfer-encoding" in head or "content-length" in head:
            framing = "framed"
            async for piece in kit.pieces_of(reader, head):
                body += piece
        else:
            framing = "ends with its connection"
            while piece := await reader.read(65536):
                body += piece
        is_whole = True
    except (kit.Closed, OSError):
        pass
    writer.transport.abort()
    case.record.write(f"client got {attempt}: {status}, {framing}, {body.count(b'id: ')} events, {'whole' if is_whole else 'broken off'}")
    return attempt, status, body.count(b"id: "), is_whole


async def body(case):
    case.store.put("op/config", json.dumps(CONFIGURATION))
    entry = await case.add_entry("edge-cali-1", "sala-cali")
    for i in range(5):
        server = Engine(f"i-cali{i}", "asesor", "sala-cali", case.store, case.record)
        server.random, server.sent, server.is_hit = case.random, {}, i < 5 * SHARE
        await case.add_server(server)
    await case.everyone_knows()
    await asyncio.sleep(1)
    case.record.say("traffic begins")
    for server in case.servers:
        server.hit_at = time.monotonic() + BEGINS_S
    asked = []
    for number in range(SECONDS * PER_SECOND):
        asked.append(asyncio.ensure_future(asyncio.wait_for(ask(case, entry, f"{number:08x}7be2a35f"), 10)))
        await asyncio.sleep(1 / PER_SECOND)
    answers = await asyncio.gather(*asked)
    short = collections.Counter(status for _, status, events, is_whole in answers if 200 <= status < 300 and is_whole and events < EVENTS)
    broken = collections.Counter(status for _, status, events, is_whole in answers if not is_whole)
    for attempt, status, events, is_whole in answers:
        if 200 <= status < 300 and is_whole and events < EVENTS:
            case.record.write(f"{attempt}: {status}, {events} of {EVENTS} events, and the answer looks complete")
    case.record.say(f"streams that were cut off and look complete, by status: {dict(sorted(short.items()))}; seen to be broken off: {dict(sorted(broken.items()))}")
    return kit.BROKEN if short else kit.HELD


kit.main(__file__, body)
