"""The small deployment that the proofs run on: two regions, three zones."""
import hashlib
import itertools
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import Fleet, free_port, wait_for  # noqa: E402

OPERATOR_TOKEN = "proofs-operator"
KEYS = {"roaming": "roaming-key", "resident": "resident-key"}
RESIDENT_REGION = "north"
MODEL = "answers"
SERVICE = "bookings"
STREAM_TOKENS = 12

ZONES = {
    "north-a": {"region": "north", "entries": 2, "engines": 2, "services": 1},
    "north-b": {"region": "north", "entries": 1, "engines": 1, "services": 0},
    "south-a": {"region": "south", "entries": 2, "engines": 2, "services": 1},
}


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def region_document(region, endpoints, all_zones):
    zones = [{"name": zone} for zone, facts in all_zones.items() if facts["region"] == region]
    others = sorted({facts["region"] for facts in all_zones.values()} - {region})
    links = [{"to": other, "oneWayLatency": "5ms"} for other in others]
    return {"availabilityZones": zones, "links": links, "endpoints": endpoints}


def team_document(name, residency, models):
    document = {
        "share": 1,
        "keys": [{"name": "proofs", "sha256": sha256(KEYS[name])}],
        "models": models,
        "services": [{"name": SERVICE, "idempotentMethods": ["GET"]}],
        "classes": [
            {"name": "short", "timeout": "8s", "shortRequest": True, "priority": 2, "expectedOutputTokens": STREAM_TOKENS},
            {"name": "long", "timeout": "20s", "expectedOutputTokens": 100},
        ],
        "defaultClass": "short",
        "limits": {"maximumInFlight": 200, "maximumQueued": 200, "maximumPerCaller": 200},
    }
    if residency:
        document["residency"] = {"regions": residency}
    return document


class Deployment:
    """Stand-ins and entries on free ports, with their configuration applied."""

    def __init__(self, folder, seed=1, zones=None):
        self.fleet = Fleet(folder)
        self.fleet.operator_token = OPERATOR_TOKEN
        self.folder = pathlib.Path(folder)
        self.seed = seed
        self.zones = zones or ZONES
        self.endpoints = {}
        self.entries = {}
        self.documents = {}

    def start(self):
        store = self.fleet.start_standin("store", "store")
        directory = self.fleet.start_standin("directory", "directory", arguments=["--lag", "1s"])
        self._start_endpoints()
        self._write_documents()
        self._start_entries(store, directory)
        first = next(iter(self.entries))
        self.fleet.ctl("apply", self.folder / "config", entries=[first])
        self.fleet.wait_ready(self.entries)
        wait_for(self._zones_know_each_other, "the zones to know each other", 60)

    def models_of(self, zone):
        """Returns the models that the zone's engines hold."""
        return [MODEL]

    def more_settings(self, name):
        """Returns settings of an entry beyond the usual ones."""
        return {}

    def stop(self):
        self.fleet.stop_all()

    def region_of(self, zone):
        return self.zones[zone]["region"]

    def entry_addresses(self):
        return {name: self.fleet.processes[name].address for name in self.entries}

    def executions(self):
        """Returns every line that the endpoints logged, with its endpoint's region."""
        for name, facts in self.endpoints.items():
            for line in self.fleet.executions(name):
                yield {**line, "endpoint": name, "region": facts["region"], "kind": facts["kind"]}

    def _start_endpoints(self):
        for zone, facts in self.zones.items():
            for kind, count in (("engine", facts["engines"]), ("service", facts["services"])):
                for number in range(1, count + 1):
                    name = f"{kind}-{zone}-{number}"
                    self.endpoints[name] = {"zone": zone, "region": facts["region"], "kind": kind}
                    self._start_endpoint(name, kind)

    def _start_endpoint(self, name, kind):
        address = f"127.0.0.1:{free_port()}"
        arguments = ["--seed", self.seed]
        if kind == "engine":
            arguments += ["--slots", 8, "--models", ",".join(self.models_of(self.endpoints[name]["zone"])), "--decode-tokens-per-second", 200, "--load-lag", "200ms"]
        else:
            arguments += ["--delay", "20ms"]
        self.endpoints[name]["address"] = self.fleet.start_standin(kind, name, address, arguments)

    def _endpoint_document(self, name, facts):
        document = {"name": name, "availabilityZone": facts["zone"], "address": facts["address"], "kind": facts["kind"], "slots": 8}
        if facts["kind"] == "engine":
            document |= {"models": self.models_of(facts["zone"]), "prefillTokensPerSecond": 8000, "decodeTokensPerSecond": 1600,
                         "capabilities": {"priority": True, "cancel": True, "resume": True, "cacheEvents": True}}
        else:
            document["service"] = SERVICE
        return document

    def _write_documents(self):
        models = sorted({model for zone in self.zones for model in self.models_of(zone)})
        self.documents = {
            "global": {"slowStart": "1s", "drainGrace": "30s"},
            "teams/roaming": team_document("roaming", None, models),
            "teams/resident": team_document("resident", [RESIDENT_REGION], models),
        }
        for model in models:
            self.documents[f"models/{model}"] = {"versions": ["1"], "sizeMegabytes": 10}
        for region in {facts["region"] for facts in self.zones.values()}:
            endpoints = [self._endpoint_document(name, facts) for name, facts in self.endpoints.items() if facts["region"] == region]
            self.documents[f"regions/{region}"] = region_document(region, endpoints, self.zones)
        for path, document in self.documents.items():
            file = self.folder / "config" / f"{path}.json"
            file.parent.mkdir(parents=True, exist_ok=True)
            file.write_text(json.dumps(document, indent=2))

    def _start_entries(self, store, directory):
        listeners = {}
        for zone, facts in self.zones.items():
            for number in range(1, facts["entries"] + 1):
                name = f"entry-{zone}-{number}"
                self.entries[name] = {"zone": zone, "region": facts["region"]}
                listeners[name] = {kind: f"127.0.0.1:{free_port()}" for kind in ("callers", "peers", "operators")}
        seeds = [addresses["peers"] for addresses in listeners.values()]
        for name, facts in self.entries.items():
            self.fleet.start_entry({
                "name": name, "region": facts["region"], "availabilityZone": facts["zone"], "listen": listeners[name],
                "store": [store], "directory": [directory], "peerSeeds": seeds, "testFaults": True,
                "operatorTokens": [{"name": "proofs", "sha256": sha256(OPERATOR_TOKEN)}],
                **self.more_settings(name),
            })

    def _zones_know_each_other(self):
        for name, facts in self.entries.items():
            reachable = {zone["zone"] for zone in self.fleet.status(name)["zones"] if zone["reachable"] and zone["entries"]}
            if reachable | {facts["zone"]} != set(self.zones):
                return False
        return True


def unique_names(prefix):
    """Yields names that never repeat in a run."""
    return (f"{prefix}{number}" for number in itertools.count(1))
