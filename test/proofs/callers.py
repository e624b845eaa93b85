"""Callers that send requests and write down exactly what they were told."""
import dataclasses
import http.client
import json
import random
import threading

from deployment import KEYS, MODEL, SERVICE, STREAM_TOKENS

CALL_SECONDS = 40


@dataclasses.dataclass
class Record:
    """One call and what the caller was told of it."""

    marker: str
    team: str
    kind: str
    entry: str
    key: str = ""
    status: int = 0
    outcome: str = ""
    request_id: str = ""
    text: str = ""
    # The connection ended as a whole answer does.
    is_complete: bool = False
    # Why there is no whole answer, if it was the connection.
    lost: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0


def chat_body(marker, stream):
    return json.dumps({"model": MODEL, "stream": stream, "max_tokens": STREAM_TOKENS,
                       "messages": [{"role": "user", "content": f"marker={marker} " + "context " * 40}]})


def request_of(record):
    """Returns method, path and body of a record's call."""
    if record.kind in ("chat", "stream"):
        return "POST", "/v1/chat/completions", chat_body(record.marker, record.kind == "stream")
    if record.kind == "read":
        return "GET", f"/services/{SERVICE}/items?marker={record.marker}", None
    return "POST", f"/services/{SERVICE}/items?marker={record.marker}", json.dumps({"marker": record.marker})


def send(record, address, clock):
    """Sends a record's call and fills in what came back."""
    method, path, body = request_of(record)
    headers = {"Authorization": f"Bearer {KEYS[record.team]}", "Content-Type": "application/json"}
    if record.key:
        headers["Idempotency-Key"] = record.key
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=CALL_SECONDS)
    record.sent_at = clock()
    try:
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        record.status = answer.status
        record.outcome = answer.headers.get("Catkinwing-Outcome", "")
        record.request_id = answer.headers.get("Catkinwing-Request-Id", "")
        record.text = read_all(answer)
        record.is_complete = True
    except (OSError, http.client.HTTPException) as fault:
        record.lost = f"{type(fault).__name__}: {fault}"
        partial = getattr(fault, "partial", b"")
        record.text += partial.decode(errors="replace") if isinstance(partial, bytes) else ""
    finally:
        record.ended_at = clock()
        connection.close()
    return record


def read_all(answer):
    """Reads a body; one that is cut raises IncompleteRead."""
    return answer.read().decode(errors="replace")


class Callers:
    """Threads that call for as long as a run goes on."""

    KINDS = ("chat", "stream", "stream", "keyed", "keyed", "book", "read")

    def __init__(self, addresses, regions, seed, names, clock, threads=8):
        self.addresses = addresses
        self.regions = regions
        self.names = names
        self.clock = clock
        self.records = []
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._randoms = [random.Random(f"{seed}/{number}") for number in range(threads)]
        self._threads = [threading.Thread(target=self._run, args=(source,), daemon=True) for source in self._randoms]

    def start(self):
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _next_marker(self):
        with self._lock:
            return next(self.names)

    def _note(self, record):
        with self._lock:
            self.records.append(record)

    def _pick_entry(self, source, team):
        """Resident callers use their own region's entries, as steering tells them."""
        names = [name for name in self.addresses if team != "resident" or self.regions[name] == "north" or source.random() < 0.1]
        return source.choice(names)

    def _run(self, source):
        while not self._stop.is_set():
            kind = source.choice(self.KINDS)
            team = source.choice(("roaming", "resident"))
            marker = self._next_marker()
            key = f"key-{marker}" if kind == "keyed" else ""
            calls = source.choice((1, 2, 3)) if kind == "keyed" else 1
            for _ in range(calls):
                entry = self._pick_entry(source, team)
                record = Record(marker, team, kind, entry, key)
                self._note(send(record, self.addresses[entry], self.clock))
                if record.lost:
                    self._stop.wait(0.02)
