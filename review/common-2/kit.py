"""Stand-ins for the cases of the second review: the platform's store, servers, clients, and the
entries as real processes with a way to the store that a case can cut. Loopback addresses only."""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A script may take 120 seconds.
MAX_SECONDS = 116
# A page of a listing has at most about so many items or bytes.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ZONES = {"sala-manizales": "caldas", "sala-medellin": "antioquia", "sala-cali": "valle"}
# The bounds of the sheet of the small deployment (pasitos).
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 5000, "ack_ms": 6000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8,
          "lost_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "skew_max_ms": 8000, "budget_ratio": 0.2, "budget_window_s": 10,
          "budget_slack": 54, "cold_over": 1.5, "cold_slack": 3, "evacuate_ms": 5000, "recover_s": 12, "pass_ms": 600, "reuse_window_s": 10, "ttl_max_s": 5}


class CannotRun(Exception):
    """The case couldn't run; nothing is known of the rule."""


class Closed(Exception):
    """The other side closed, or broke off, before the message was whole."""


# HTTP/1.1, as much as the cases need.

async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Closed from error
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def pieces_of(reader, fields):
    """Yields the pieces of a body as they arrive; raises Closed if it is cut."""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return
                yield piece[:-2]
        left = int(fields.get("content-length", 0))
        while left > 0:
            piece = await reader.read(min(left, 65536))
            if not piece:
                raise Closed
            left -= len(piece)
            yield piece
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Closed from error


async def read_body(reader, fields):
    return b"".join([piece async for piece in pieces_of(reader, fields)])


def response(status, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields]
    return "\r\n".join(lines + [f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


def request(method, target, fields=(), body=b""):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines + ["", ""]).encode("latin-1") + body


def reset(writer):
    """Closes a connection by a reset."""
    connection = writer.get_extra_info("socket")
    if connection and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def serve(handler, host="127.0.0.1", port=0):
    async def run(reader, writer):
        try:
            await handler(reader, writer)
        except (Closed, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(run, host, port, limit=1 << 22, backlog=512)
    return server, server.sockets[0].getsockname()[1]


async def exchange(address, data, timeout):
    """Sends a request on a connection of its own. Returns status, fields and body; None if no whole answer came."""
    host, port = address.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        try:
            writer.write(data)
            line, fields = await read_head(reader)
            return int(line.split(" ")[1]), fields, await read_body(reader, fields)
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (Closed, ConnectionError, OSError, asyncio.TimeoutError):
        return None


async def until(condition, what, timeout=15.0):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise CannotRun(f"no {what} within {timeout:.0f} s")


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.4f}  {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Store:
    """The platform's store, as the pages describe it."""

    def __init__(self, history_s=20):
        self.revision = 1
        self.items = {}
        self.history = []
        self.history_s = history_s
        self.first = 1
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()

    async def start(self):
        self.server, self.port = await serve(self.handle)
        self.expiry = asyncio.ensure_future(self.expire())

    def put(self, key, value, lease=0):
        self.revision += 1
        made = self.items[key]["created_rev"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value.encode()).decode(), "revision": self.revision, "created_rev": made, "lease": lease}
        self.items[key] = item
        self.note(item)
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.history.append((time.monotonic(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    def keys(self, prefix):
        return sorted(key for key in self.items if key.startswith(prefix))

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [lease for lease, (end, _) in self.leases.items() if end < now]:
                self.end_lease(lease)
            while self.history and now - self.history[0][0] > self.history_s:
                self.first = self.history.pop(0)[1]["revision"] + 1

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def handle(self, reader, writer):
        while True:
            line, fields = await read_head(reader)
            body = await read_body(reader, fields)
            method, target, _ = line.split(" ")
            await asyncio.sleep(0.004)
            status, answer = await self.call(method, target, body)
            writer.write(response(status, [("Content-Type", "application/json")], json.dumps(answer).encode()))
            await writer.drain()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        asked = {name: values[0] for name, values in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        sent = json.loads(body) if body else {}
        if path == "/kv-key":
            item = self.items.get(asked["key"])
            return (200, {**item, "current_rev": self.revision}) if item else (404, {"current_rev": self.revision})
        if path == "/kv-range":
            keys = [key for key in self.keys(asked["prefix"]) if key > asked.get("after", "")]
            page, size = [], 0
            for key in keys[:PAGE_ITEMS]:
                if page and size >= PAGE_BYTES:
                    break
                page.append(self.items[key])
                size += len(self.items[key]["value"])
            return 200, {"items": page, "truncated": len(keys) > len(page), "current_rev": self.revision}
        if path == "/kv-watch":
            return await self.watch(asked["prefix"], int(asked["after"]), int(asked["wait_ms"]) / 1000)
        if path == "/kv-txn":
            return self.transact(sent)
        if path == "/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + sent["ttl_ms"] / 1000, sent["ttl_ms"])
            return 200, {"lease": self.next_lease, "ttl_ms": sent["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            span = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + span / 1000, span)
            return 200, {"ttl_ms": span}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            if after + 1 < self.first:
                return 410, {}
            events = [event for _, event in self.history if event["revision"] > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, sent):
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


class Way:
    """A proxy between one entry and the store. Cut, it holds back all bytes and new connections, as a partition does."""

    def __init__(self, target):
        self.target = target
        self.is_cut = False
        self.writers = set()

    async def start(self):
        self.server, self.port = await serve(self.carry)

    def cut(self):
        self.is_cut = True

    def heal(self):
        """What was held back is lost, since both sides have reset their connections by then."""
        self.is_cut = False
        for writer in list(self.writers):
            reset(writer)

    async def carry(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.is_cut:
                await asyncio.sleep(0.02)
            there, back = await asyncio.open_connection("127.0.0.1", self.target)
            self.writers.add(back)
            await asyncio.gather(self.pump(reader, back), self.pump(there, writer))
            self.writers.discard(back)
        finally:
            self.writers.discard(writer)

    async def pump(self, reader, writer):
        try:
            while True:
                piece = await reader.read(65536)
                while self.is_cut:
                    await asyncio.sleep(0.02)
                if not piece:
                    break
                writer.write(piece)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()


def render(template, fields):
    """Fills in the template of the settings as the platform does."""

    def look_up(name, scopes):
        for scope in scopes:
            if name == ".":
                return scope.get(".", fields)
            value = scope
            for part in name.split("."):
                value = value[int(part)] if isinstance(value, list) and part.isdigit() and int(part) < len(value) else value.get(part) if isinstance(value, dict) else None
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def fill(text, scopes):
        while True:
            section = re.search(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", text, re.S)
            if not section:
                break
            kind, name, inner = section.groups()
            value = look_up(name, scopes)
            rows = []
            if kind == "^":
                rows = [inner] if not value else []
            elif isinstance(value, list):
                rows = [fill(inner.replace("{{,}}", "," if i + 1 < len(value) else ""), [{".": row, "@": i, **(row if isinstance(row, dict) else {})}] + scopes) for i, row in enumerate(value)]
            elif value:
                rows = [fill(inner, scopes)]
            text = text[:section.start()] + "".join(rows) + text[section.end():]

        def place(match):
            value = look_up(match.group(1), scopes)
            if match.group(2):
                return json.dumps(value)
            return "" if value is None else json.dumps(value) if isinstance(value, dict) else ",".join(map(str, value)) if isinstance(value, list) else str(value)

        return re.sub(r"\{\{([\w.@]+)(\|json)?\}\}", place, text)

    return fill(template, [fields])


def loopback():
    return f"127.{random.randint(20, 250)}.{random.randint(0, 250)}.{random.randint(1, 250)}"


class Entry:
    """One process of the deploy file's role, with its own way to the store."""

    def __init__(self, name, zone, store, folder):
        self.name, self.zone, self.folder = name, zone, folder
        self.ip = loopback()
        self.way = Way(store.port)
        self.process = None
        self.store = store

    async def start(self):
        if not hasattr(self.way, "port"):
            await self.way.start()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        ports = {"front": 8144, "ready": 8140, "control": 8146, "directory": 8143}
        self.listen = {name: f"{self.ip}:{port}" for name, port in ports.items()}
        fields = {"node_name": self.name, "role": "entry", "machine_class": "edge", "ip": self.ip, "zone": self.zone, "region": ZONES[self.zone],
                  "zones": ZONES, "listen": self.listen, "internal_ports": [7660, 7675], "seeds": [], "bootstrap": True,
                  "limits": {"cpu_share": 0.25, "vcpus": 1, "ram_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
                  "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "platform"],
                  "bounds": BOUNDS, "platform": {"addr": f"127.0.0.1:{self.way.port}"}}
        with open(os.path.join(ROOT, role["template"])) as file:
            settings = render(file.read(), fields)
        json.loads(settings)
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path, "w") as file:
            file.write(settings)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CATKINWING_BOOT"] = path
        with open(os.path.join(self.folder, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(os.path.join(ROOT, role["run"]), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        await until(self.is_ready, f"ready {self.name}")

    async def is_ready(self):
        answer = await exchange(self.listen["ready"], request("GET", "/readyz", [("Host", "x")]), 1.0)
        return answer is not None and answer[0] == 200

    async def metric(self, name):
        answer = await exchange(f"{self.ip}:9464", request("GET", "/metrics", [("Host", "x")]), 2.0)
        lines = answer[2].decode().splitlines() if answer else []
        values = [float(line.split(" ")[-1]) for line in lines if line.startswith(f'catkinwing_state{{name="{name}"}}')]
        return values[0] if values else None

    def is_alive(self):
        return self.process is not None and self.process.returncode is None

    async def end(self):
        if self.is_alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Server:
    """A server: registers in the store, answers for one start of itself, and notes what arrives and what it runs."""

    def __init__(self, name, service, zone, store, record, slots=64):
        self.name, self.service, self.zone, self.store, self.record, self.slots = name, service, zone, store, record, slots
        self.ip = loopback()
        self.seq = 1
        self.warmup_ms = 0
        self.state = "ready"
        # Attempt-Id and time of each request that it ran.
        self.runs = []

    async def start(self):
        self.server, self.port = await serve(self.handle, self.ip)
        self.beat = asyncio.ensure_future(self.write_again())
        self.register()

    def register(self):
        self.store.put(f"servers/{self.name}", json.dumps({
            "service": self.service, "addr": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
            "warmup_ms": self.warmup_ms, "seq": self.seq}))

    async def write_again(self):
        while True:
            await asyncio.sleep(1.2)
            self.seq += 1
            self.register()

    async def handle(self, reader, writer):
        while True:
            line, fields = await read_head(reader)
            body = await read_body(reader, fields)
            method, target, _ = line.split(" ")
            attempt = fields.get("attempt-id", "")
            if method == "GET" and target == "/healthz":
                writer.write(response(200, [("Instance-Id", self.name), ("Cold-Ms", max(0, self.warmup_ms))]))
            elif not attempt:
                writer.write(response(400, [("Not-Executed", "1")]))
            elif fields.get("expect-instance", self.name) != self.name:
                writer.write(response(421, [("Attempt-Id", attempt), ("Not-Executed", "1")]))
            else:
                self.runs.append((attempt, time.monotonic()))
                self.record.write(f"{self.name} runs {attempt} {method} {target} after {fields.get('last-event-id', '-')}")
                if not await self.answer(attempt, fields, writer):
                    return
            await writer.drain()

    def head(self, attempt):
        return [("Attempt-Id", attempt), ("Reply-Seal", f"{self.name}.{attempt}")]

    async def answer(self, attempt, fields, writer):
        """Answers a request that runs. Returns whether the connection is kept."""
        writer.write(response(200, self.head(attempt), f"answer to {attempt}".encode()))
        return True


class Case:
    """The processes and stand-ins of one case, and the folder of its record."""

    def __init__(self, file, seed=1):
        self.folder = os.path.dirname(os.path.abspath(file))
        self.record = Record(self.folder)
        self.random = random.Random(seed)
        self.entries = []
        self.servers = []

    async def add_entry(self, name, zone):
        for _ in range(3):
            entry = Entry(name, zone, self.store, self.work)
            self.entries.append(entry)
            try:
                await entry.start()
                return entry
            except CannotRun:
                if entry.is_alive():
                    raise
                self.entries.remove(entry)
        raise CannotRun(f"{name} doesn't start")

    async def add_server(self, server):
        await server.start()
        self.servers.append(server)
        return server

    async def everyone_knows(self):
        async def know():
            counts = [(await entry.metric("endpoints"), await entry.metric("entries")) for entry in self.entries]
            return all(servers == len(self.servers) and entries == len(self.entries) for servers, entries in counts)

        await until(know, "view of all servers and entries")

    async def run(self, body):
        with tempfile.TemporaryDirectory(prefix="review-") as self.work:
            try:
                self.store = Store()
                await self.store.start()
                result = await asyncio.wait_for(body(self), MAX_SECONDS)
            except Exception as error:
                self.record.say(f"couldn't run: {error!r}")
                result = NOT_RUN
            finally:
                for entry in self.entries:
                    await entry.end()
        names = {HELD: "held", BROKEN: "broken", NOT_RUN: "couldn't run"}
        self.record.say(f"TROUBLE={int(TROUBLE)}: {names[result]}")
        self.record.file.close()
        return result


def main(file, body, seed=1):
    case = Case(file, seed)

    async def run():
        result = await case.run(body)
        # Ends the stand-ins, whatever they wait for.
        os._exit(result)

    asyncio.run(run())
