"""Stand-ins for the platform and its replicas, and the rig that starts entries as deploy/system.toml does."""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
ZONE = "hall-a"
ZONES = [ZONE, "hall-b", "hall-c"]
REGION = "perth"
BROKE, HELD, COULD_NOT_RUN = 1, 0, 2

# A small deployment: the figures of the sheets' small sites.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 5000, "ack_ms": 6000, "catch_up_s": 4, "drain_ms": 3000,
    "grace_s": 8, "lost_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "skew_max_ms": 8000,
    "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54, "cold_over": 1.5, "cold_slack": 3,
    "evacuate_ms": 5000, "recover_s": 12, "pass_ms": 600, "reuse_window_s": 10, "ttl_max_s": 5,
}
LIMITS = {"cpu_share": 0.25, "vcpus": 1, "ram_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "platform"]
CLIENT_LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


class Closed(Exception):
    """The other side closed or broke off before the message was whole."""


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


# --- HTTP/1.1 -----------------------------------------------------------------------------------


async def read_head(reader):
    """Returns the first line and the fields, names in lower case."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed from error
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return body
                body += piece[:-2]
        return await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Closed from error


def response(status, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def request(method, target, fields, body=b""):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    connection = writer.get_extra_info("socket")
    if connection and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def serve(handler, ip, port=0):
    async def run(reader, writer):
        try:
            await handler(reader, writer)
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(run, ip, port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def draw_ip():
    """An address of the loopback range for one entry, since the port of its metrics is fixed."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


# --- The platform's store -----------------------------------------------------------------------


class Door:
    """The store as one machine sees it."""

    def __init__(self):
        self.is_silent = False
        self.connections = set()

    def fall_silent(self):
        """Calls of this machine are neither answered nor executed from now on."""
        self.is_silent = True

    def serve_again(self):
        self.is_silent = False
        for writer in list(self.connections):
            reset(writer)


class Store:
    """The key-value store, as PROTOCOL.md describes it. It answers after 4 ms and keeps 20 s of history."""

    delay = 0.004
    history_s = 20

    def __init__(self, ip):
        self.ip = ip
        self.revision = 10
        self.items = {}
        self.history = []
        self.first = self.revision + 1
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.calls = {}
        # A watch that has waited this long is cut, if a time is set.
        self.watch_time_limit = None
        self.watches_cut = 0

    async def start(self):
        self.expiry = asyncio.ensure_future(self.expire())

    async def open_door(self):
        """Returns an address of the store for one machine, so that it can turn that machine away."""
        door = Door()
        door.server, port = await serve(lambda reader, writer: self.handle(door, reader, writer), self.ip)
        door.address = f"{self.ip}:{port}"
        return door

    def put(self, key, document, lease=0):
        """Writes as operators and replicas do; the return is the acknowledgement."""
        value = document if isinstance(document, bytes) else json.dumps(document, separators=(",", ":")).encode()
        return self.write(key, base64.b64encode(value).decode(), lease)

    def write(self, key, value, lease):
        self.revision += 1
        made = self.items[key]["created_rev"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created_rev": made, "lease": lease}
        self.items[key] = item
        self.record(item)
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.record({"key": key, "revision": self.revision, "deleted": True})

    def record(self, event):
        self.history.append((time.monotonic(), event))
        self.drop_old_history()
        self.changed.set()
        self.changed = asyncio.Event()

    def drop_old_history(self):
        oldest = time.monotonic() - self.history_s
        while self.history and self.history[0][0] < oldest:
            self.first = self.history.pop(0)[1]["revision"] + 1

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            self.drop_old_history()
            for lease, (until, _) in list(self.leases.items()):
                if time.monotonic() >= until:
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def handle(self, door, reader, writer):
        door.connections.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                kind = url.path.split("/")[1]
                self.calls[kind] = self.calls.get(kind, 0) + 1
                await asyncio.sleep(self.delay)
                if door.is_silent:
                    await asyncio.sleep(3600)
                answer = await self.answer(method, url.path, query, json.loads(body) if body else {})
                if door.is_silent:
                    await asyncio.sleep(3600)
                if answer is None:
                    reset(writer)
                    return
                status, document = answer
                writer.write(response(status, [("Content-Type", "application/json")], json.dumps(document).encode()))
                await writer.drain()
        finally:
            door.connections.discard(writer)

    async def answer(self, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "current_rev": self.revision}) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
            page, size = [], 0
            for key in keys[:500]:
                page.append(self.items[key])
                size += len(self.items[key]["value"])
                if size >= 1 << 20:
                    break
            return 200, {"items": page, "truncated": len(keys) > len(page), "current_rev": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return self.transact(body)
        if path == "/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + body["ttl_ms"] / 1000, body["ttl_ms"])
            return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][1]
        if path.startswith("/kv-keep/"):
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        began = time.monotonic()
        until = began + int(query["wait_ms"]) / 1000
        while True:
            if after + 1 < self.first:
                return 410, {}
            events = [event for _, event in self.history if event["revision"] > after and event["key"].startswith(prefix)]
            if events or time.monotonic() >= until:
                return 200, {"events": events, "current_rev": self.revision}
            limit = until
            if self.watch_time_limit is not None:
                limit = min(limit, began + self.watch_time_limit)
            try:
                await asyncio.wait_for(self.changed.wait(), max(limit - time.monotonic(), 0.001))
            except asyncio.TimeoutError:
                if self.watch_time_limit is not None and time.monotonic() >= began + self.watch_time_limit:
                    self.watches_cut += 1
                    return None

    def transact(self, body):
        keys = [row["key"] for row in body["puts"]] + list(body["deletes"])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for row in body["expect"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for row in body["puts"]:
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
            self.write(row["key"], row["value"], row.get("lease", 0))
        for key in body["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}


# --- Replicas -----------------------------------------------------------------------------------


class Replica:
    """A sound replica of a plain service. Subclasses change how it reads or what it answers."""

    work_s = 0.03
    body = b"done"

    def __init__(self, rig, service, name, slots=16):
        self.rig, self.service, self.name, self.slots = rig, service, name, slots
        self.arrivals = []
        self.runs = []
        self.answered = set()
        self.state = "ready"

    async def start(self):
        self.server, self.port = await serve(self.handle, self.rig.ip)
        self.register()

    def register(self):
        record = {"service": self.service, "addr": f"{self.rig.ip}:{self.port}", "zone": ZONE, "version": "v1", "slots": self.slots,
                  "state": self.state, "warmup_ms": 0, "seq": 1}
        self.rig.store.put(f"servers/{self.name}", record)

    async def read_request_body(self, reader, fields):
        return await read_body(reader, fields)

    async def handle(self, reader, writer):
        while True:
            line, fields = await read_head(reader)
            attempt = fields.get("attempt-id", "")
            self.arrivals.append((time.monotonic(), attempt))
            body = await self.read_request_body(reader, fields)
            if fields.get("expect-instance", self.name) != self.name:
                writer.write(response(421, [("Instance-Id", self.name)]))
                continue
            self.runs.append((time.monotonic(), attempt, line, len(body)))
            self.rig.note("run", attempt=attempt, at_replica=self.name, line=line, bytes=len(body))
            await asyncio.sleep(self.work_s)
            writer.write(response(200, [("Attempt-Id", attempt), ("Reply-Seal", f"{attempt}.{self.name}")], self.body))
            await writer.drain()
            self.answered.add(attempt)


# --- Entries ------------------------------------------------------------------------------------


def render(template, values):
    """Fills in the template of the settings as DEPLOY.md describes it."""

    def look_up(name, scopes):
        for scope in reversed(scopes):
            value = scope
            for part in [] if name == "." else name.split("."):
                value = value[int(part)] if isinstance(value, list) and part.isdigit() and int(part) < len(value) else value.get(part) if isinstance(value, dict) else None
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def fill(text, scopes, is_last=True):
        def section(match):
            kind, name, inner = match.group(1), match.group(2), match.group(3)
            value = look_up(name, scopes)
            if kind == "^":
                return fill(inner, scopes) if not value else ""
            if isinstance(value, list):
                return "".join(fill(inner, scopes + [item], i + 1 == len(value)) for i, item in enumerate(value))
            return fill(inner, scopes) if value else ""

        def single(match):
            name, _, form = match.group(1).partition("|")
            if name == ",":
                return "" if is_last else ","
            value = look_up(name, scopes)
            if form == "json":
                return json.dumps(value)
            return "" if value is None else str(value)

        text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
        return re.sub(r"\{\{([^{}#^/]+)\}\}", single, text)

    return fill(template, [values])


class Entry:
    """One entry machine: the settings file, and the process by the command of the deploy file."""

    def __init__(self, rig, name, ip, zone, door):
        self.rig, self.name, self.ip, self.zone, self.door = rig, name, ip, zone, door
        self.ports = {part: free_port(ip) for part in ("front", "ready", "control", "directory", "internal")}
        self.process = None
        self.starts = 0

    def settings(self):
        ports = self.ports
        listen = {part: f"{self.ip}:{ports[part]}" for part in ("front", "ready", "control", "directory")}
        return {
            "node_name": self.name, "role": "entry", "machine_class": "edge", "serves": ["edge", "registry"], "ip": self.ip, "zone": self.zone,
            "region": REGION, "zones": {zone: REGION for zone in ZONES}, "listen": listen, "internal_ports": [ports["internal"], ports["internal"] + 1],
            "seeds": [], "bootstrap": True, "loss_counts": False, "limits": LIMITS, "data_dir": None, "discovery": "platform",
            "entry": "registry", "heartbeat_ms": 1200, "contracts": CONTRACTS, "tolerate": {"nodes": 2, "zones": 1, "regions": 1},
            "bounds": BOUNDS, "platform": {"addr": self.door.address, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
                                           "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
        }

    def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        file = self.rig.folder / f"{self.name}.settings"
        file.write_text(render((ROOT / role["template"]).read_text(), self.settings()))
        program = ROOT / role["run"].split()[0]
        if not program.exists():
            raise CannotRun(f"{role['run']} isn't built")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.rig.folder), "CATKINWING_BOOT": str(file)}
        log = open(self.rig.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([str(program)] + role["run"].split()[1:], cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True)
        self.starts += 1
        self.rig.note("entry_started", entry=self.name)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def front(self):
        return self.ip, self.ports["front"]

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ip, self.ports["ready"], "GET", "/readyz", [])
            return status == 200
        except (OSError, Closed, asyncio.TimeoutError):
            return False

    async def await_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} didn't get ready")

    def rss_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024
        except (OSError, AttributeError):
            return 0.0


class CannotRun(Exception):
    """The case couldn't be played."""


async def call(ip, port, method, target, fields, body=b"", timeout=2):
    async def go():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            host = [] if any(name == "Host" for name, _ in fields) else [("Host", f"{ip}:{port}")]
            writer.write(request(method, target, host + fields, body))
            line, head = await read_head(reader)
            return int(line.split()[1]), head, await read_body(reader, head)
        finally:
            writer.close()

    return await asyncio.wait_for(go(), timeout)


# --- The rig ------------------------------------------------------------------------------------


class Rig:
    def __init__(self, case):
        self.case = pathlib.Path(case)
        self.ip = draw_ip()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = open(self.case / "record.txt", "w")
        self.began = time.monotonic()
        self.entries = []
        self.store = Store(self.ip)

    def note(self, event, **facts):
        shown = " ".join(f"{name}={value}" for name, value in facts.items())
        self.record.write(f"{time.monotonic() - self.began:8.3f} {event} {shown}\n")

    async def add_entry(self, name="entry-1", zone=ZONE):
        entry = Entry(self, name, draw_ip(), zone, await self.store.open_door())
        self.entries.append(entry)
        return entry

    def configure(self, version, routes, services):
        document = {"version": version, "routes": routes, "services": services, "limits": CLIENT_LIMITS}
        return self.store.put("op/config", document)

    def close(self):
        for entry in self.entries:
            if entry.process and entry.process.poll() is None:
                entry.process.kill()
                entry.process.wait()
        self.record.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"kept {self.folder}")


def route(name, prefix, service, kind="non_idempotent", timeout_ms=8000, **more):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms, "latency_target_ms": 500, "priority": 1,
            "service": service, "attempts": 1, "affinity": False, "resumable": False, "home_regions": [], **more}


def service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 360, "proto": "h1", "tls": False, "warmup_s": 0.0, "cold_per_s": 0.0}


def fields(attempt, deadline_ms):
    return [("Host", HOST), ("Attempt-Id", attempt), ("Deadline-Ms", str(deadline_ms))]


def main(case, play):
    """Plays a case and exits with 1 if it returns a broken rule, 0 if it returns none, 2 if it couldn't run."""

    async def run():
        rig = Rig(case)

        def stop():
            rig.close()
            os._exit(COULD_NOT_RUN)

        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop)
        try:
            await rig.store.start()
            broken = await asyncio.wait_for(play(rig), 110)
            for line in broken:
                rig.note("BROKEN", rule=line)
                print(line)
            return BROKE if broken else HELD
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            rig.note("could_not_run", error=repr(error))
            print(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            rig.close()

    result = asyncio.run(run())
    sys.stdout.flush()
    os._exit(result)
