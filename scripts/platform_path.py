"""One entry in the shape that the users' platform runs: routes and endpoints come
from a store, callers from a directory."""
import base64
import json

from fleet import BUILD, Fleet, Process, call, free_port, wait_for

HOST = "fitting.example"


def configuration():
    route = {"host": HOST, "timeout_ms": 3000, "latency_target_ms": 500, "attempts": 1}
    return {"version": 1, "services": [{"name": "orders", "max_conns": 50}, {"name": "stories", "max_conns": 50}],
            "routes": [{**route, "name": "orders", "prefix": "/orders/", "kind": "non_idempotent", "service": "orders"},
                       {**route, "name": "stories", "prefix": "/stories/", "kind": "streaming", "service": "stories"}]}


class PlatformPath:
    """A store, two endpoints and an entry, each a process on loopback."""

    def __init__(self, folder, entry_output=None, order_delay="0s", request_limit="", limits=None, configuration=None):
        self.entry_output = entry_output
        self.limits = limits
        self.configuration = configuration
        self.order_delay = order_delay
        self.request_limit = request_limit
        self.fleet = Fleet(folder)
        self.addresses = {name: f"127.0.0.1:{free_port()}" for name in ("callers", "peers", "operators", "readiness", "directory")}

    def start(self):
        self.store = self.fleet.start_standin("platform-store", "platform-store")
        self.write("op/config", self.configuration or configuration())
        for service, events in (("orders", 0), ("stories", 4)):
            address = self.fleet.start_standin("platform-endpoint", f"{service}-1", arguments=["--events", events, "--pause", "20ms", "--delay", self.order_delay, "--request-limit", self.request_limit])
            self.write(f"servers/{service}-1", self.registration(service, address))
        self.start_entry()

    def start_entry(self):
        listen = {name: self.addresses[name] for name in ("callers", "peers", "operators")}
        ingress = {"readiness": self.addresses["readiness"], "directory": self.addresses["directory"], "regionOfZone": {"manizales-a": "caldas"}}
        settings = {"name": "platform-entry", "region": "caldas", "availabilityZone": "manizales-a", "listen": listen, "store": [self.store], "ingress": ingress}
        if self.limits:
            settings["limits"] = self.limits
        file = self.fleet.folder / "platform-entry.json"
        file.write_text(json.dumps(settings, indent=2))
        process = Process("platform-entry", [str(BUILD / "bin/catkinwingd"), "--config", str(file)], self.fleet.folder / "platform-entry.log", self.entry_output)
        process.start()
        self.fleet.processes[process.name] = process
        self.entry = process
        wait_for(self.is_ready, "the entry to be ready")

    def is_ready(self):
        try:
            return call(self.addresses["readiness"], "GET", "/readyz", timeout=2)[0] == 200
        except OSError:
            return False

    @staticmethod
    def registration(service, address):
        return {"service": service, "addr": address, "zone": "manizales-a", "version": "v1", "slots": 8, "state": "ready", "warmup_ms": 0, "seq": 1}

    def write(self, key, document):
        """Writes a key as operators and endpoints do."""
        self.write_text(key, json.dumps(document))

    def write_text(self, key, text):
        value = base64.b64encode(text.encode("latin-1")).decode()
        status, _, text = call(self.store, "POST", "/kv-txn", {"expect": [], "puts": [{"key": key, "value": value, "lease": 0}], "deletes": []})
        if status != 200:
            raise RuntimeError(f"writing {key}: {status} {text}")

    def resolve(self):
        """Asks the directory for an entry, as callers do."""
        def answer():
            status, _, text = call(self.addresses["directory"], "GET", f"/resolve?name={HOST}&region=caldas&zone=manizales-a")
            return json.loads(text)["addrs"] if status == 200 else None

        return wait_for(answer, "the directory to name an entry")[0]

    def ask(self, entry, path):
        status, _, text = call(entry, "POST", path, {"size": 38}, {"Host": HOST, "Attempt-Id": "quickstart-1", "Deadline-Ms": "3000"})
        return status, text

    def stop(self):
        self.fleet.stop_all()
