"""An example deployment under examples/, started on loopback."""
import json

from fleet import ROOT, Fleet, call, wait_for

EXAMPLES = ROOT / "examples"
BLOCK_TOKENS = 64


def names():
    return sorted(path.name for path in EXAMPLES.iterdir() if path.is_dir())


class Example:
    """The processes of one example."""

    def __init__(self, name, folder, regions=None):
        self.name = name
        self.fleet = Fleet(folder)
        self.fleet.operator_token = f"{name}-operator-token"
        self.config = EXAMPLES / name / "config"
        self.entries = [json.loads(path.read_text()) for path in sorted((EXAMPLES / name / "entries").glob("*.json"))]
        self.regions = {path.stem: json.loads(path.read_text()) for path in sorted((self.config / "regions").glob("*.json"))}
        if regions:
            self.entries = [entry for entry in self.entries if entry["region"] in regions]
            self.regions = {region: document for region, document in self.regions.items() if region in regions}

    def start(self):
        self._start_platform()
        for document in self.regions.values():
            for endpoint in document["endpoints"]:
                self._start_endpoint(endpoint)
        for settings in self.entries:
            self.fleet.start_entry({**settings, "testFaults": True})
        self._set_latencies()
        self.fleet.ctl("apply", self.config, entries=[self.entries[0]["name"]])
        self.fleet.wait_ready([entry["name"] for entry in self.entries])
        wait_for(self._sees_all_zones, "the zones to know each other", 60)

    def stop(self):
        self.fleet.stop_all()

    def addresses(self):
        """Returns where callers and operators find the entries."""
        return {entry["name"]: entry["listen"] for entry in self.entries}

    def caller_address(self, region):
        return next(entry["listen"]["callers"] for entry in self.entries if entry["region"] == region)

    def check(self):
        """Sends a question to each entry as the first team that has a model."""
        teams = sorted((self.config / "teams").glob("*.json"))
        team = next(path for path in teams if json.loads(path.read_text()).get("models"))
        document = json.loads(team.read_text())
        body = {"model": document["models"][0], "messages": [{"role": "user", "content": "marker=check"}], "max_tokens": 4}
        headers = {"Authorization": f"Bearer {self.name}-{team.stem}-key"}
        home = document.get("residency", {}).get("regions")
        for entry in self.entries:
            if home and entry["region"] not in home:
                continue
            status, _, text = call(entry["listen"]["callers"], "POST", "/v1/chat/completions", body, headers)
            if status != 200 or "check" not in text:
                raise RuntimeError(f"{entry['name']}: {status} {text}")

    def _start_platform(self):
        settings = self.entries[0]
        self.fleet.start_standin("store", "store", settings["store"][0])
        self.fleet.start_standin("directory", "directory", settings["directory"][0], ["--lag", "5s"])
        self.fleet.start_standin("weights", "weights", settings["weightStore"])

    def _start_endpoint(self, endpoint):
        if endpoint["kind"] == "service":
            self.fleet.start_standin("service", endpoint["name"], endpoint["address"], ["--delay", "5ms"])
            return
        slots = endpoint["slots"]
        arguments = [
            "--slots", slots,
            "--models", ",".join(endpoint["models"]),
            "--prefill-tokens-per-second", endpoint["prefillTokensPerSecond"],
            "--decode-tokens-per-second", endpoint["decodeTokensPerSecond"] / slots,
            "--cache-blocks", endpoint["cacheTokens"] // BLOCK_TOKENS,
        ]
        if endpoint.get("adapters"):
            arguments += ["--adapters", ",".join(endpoint["adapters"])]
        if endpoint.get("honoursFencing"):
            arguments.append("--honours-fencing")
        self.fleet.start_standin("engine", endpoint["name"], endpoint["address"], arguments)

    def _set_latencies(self):
        """Delays what an entry sends to entries of other zones by the round trip,
        since the way back is not delayed."""
        for sender in self.entries:
            delays = {}
            for receiver in self.entries:
                delay = 2 * self._one_way(sender, receiver)
                if delay >= 1:
                    delays[receiver["listen"]["peers"]] = round(delay)
            self.fleet.set_entry_faults(sender["name"], {"delays": delays})

    def _one_way(self, sender, receiver):
        """Returns the stated latency between two entries in milliseconds."""
        region = self.regions[sender["region"]]
        if sender["availabilityZone"] == receiver["availabilityZone"]:
            return 0
        if sender["region"] == receiver["region"]:
            return milliseconds(region["zoneLatency"])
        link = next(link for link in region["links"] if link["to"] == receiver["region"])
        return milliseconds(link["oneWayLatency"])

    def _sees_all_zones(self):
        zones = {entry["availabilityZone"] for entry in self.entries}
        for entry in self.entries:
            status = self.fleet.status(entry["name"])
            reachable = {zone["zone"] for zone in status["zones"] if zone["reachable"] and zone["entries"]}
            if reachable | {entry["availabilityZone"]} != zones:
                return False
        return True


def milliseconds(text):
    """Reads a duration of a document, such as "55ms"."""
    units = {"us": 0.001, "ms": 1, "s": 1000}
    unit = next(unit for unit in ("us", "ms", "s") if text.endswith(unit))
    return float(text[: -len(unit)]) * units[unit]
