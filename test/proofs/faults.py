"""Faults that a schedule draws from; each is begun and later taken back."""
import json
import random
import signal
import threading
import time

STORE = "store"


class Fault:
    """One fault, named for the report, with the processes that must answer it."""

    def __init__(self, name, touches, begin, end):
        self.name = name
        self.touches = set(touches)
        self.begin = begin
        self.end = end


def kill_process(deployment, name):
    fleet = deployment.fleet
    return Fault(f"kill {name}", [name], lambda: fleet.processes[name].kill(), lambda: fleet.restart(name))


def freeze_process(deployment, name):
    process = deployment.fleet.processes[name]
    return Fault(f"freeze {name}", [name], process.freeze, process.thaw)


def standin_fault(deployment, name, faults):
    fleet = deployment.fleet
    return Fault(f"{name} {faults}", [name], lambda: fleet.set_standin_faults(name, faults), lambda: fleet.set_standin_faults(name, {}))


def entry_links(deployment, name, kind, others):
    """Breaks what an entry sends to other entries; \"blockFrom\" what it takes in."""
    fleet = deployment.fleet
    targets = others if kind == "blockFrom" else [fleet.processes[other].peers for other in others]
    return Fault(f"{name} {kind} {others}", [name], lambda: fleet.set_entry_faults(name, {kind: targets}), lambda: fleet.set_entry_faults(name, {}))


def cut_store(deployment, name):
    """Cuts one entry off from the store."""
    fleet = deployment.fleet
    address = fleet.processes[STORE].address
    return Fault(f"{name} cut from the store", [name], lambda: fleet.set_entry_faults(name, {"drop": [address]}), lambda: fleet.set_entry_faults(name, {}))


def cut_regions(deployment):
    """Cuts all entries of one region off from those of the others, both ways."""
    fleet = deployment.fleet

    def begin():
        for name, facts in deployment.entries.items():
            others = [other for other, other_facts in deployment.entries.items() if other_facts["region"] != facts["region"]]
            fleet.set_entry_faults(name, {"drop": [fleet.processes[other].peers for other in others], "blockFrom": others})

    def end():
        for name in deployment.entries:
            fleet.set_entry_faults(name, {})

    return Fault("regions cut apart", deployment.entries, begin, end)


ENGINE_FAULTS = ({"down": True}, {"cutAfterEvents": {"value": 4, "probability": 0.5}}, {"loseAnswer": {"value": True, "probability": 0.5}},
                 {"refuse": {"value": True, "probability": 0.5}}, {"leaving": True}, {"slow": 5}, {"garbage": {"value": "json", "probability": 0.3}},
                 {"cutAfterBytes": {"value": 100, "probability": 0.3}}, {"delay": "300ms"})
SERVICE_FAULTS = ({"down": True}, {"loseAnswer": {"value": True, "probability": 0.5}}, {"refuse": {"value": True, "probability": 0.5}},
                  {"delay": "300ms"}, {"cutAfterBytes": {"value": 10, "probability": 0.3}}, {"leaving": True})
STORE_FAULTS = ({"down": True}, {"loseAnswer": {"value": True, "probability": 0.5}}, {"delay": "200ms"}, {"hang": {"value": True, "probability": 0.5}},
                {"readOnly": True})
LINK_KINDS = ("refuse", "drop", "loseAnswers", "blockFrom")


def draw(deployment, source):
    """Draws one fault."""
    entries = list(deployment.entries)
    engines = [name for name, facts in deployment.endpoints.items() if facts["kind"] == "engine"]
    services = [name for name, facts in deployment.endpoints.items() if facts["kind"] == "service"]
    entry = source.choice(entries)
    others = [name for name in entries if name != entry]
    choices = (
        lambda: kill_process(deployment, entry),
        lambda: freeze_process(deployment, entry),
        lambda: kill_process(deployment, source.choice(engines)),
        lambda: freeze_process(deployment, source.choice(engines + services)),
        lambda: standin_fault(deployment, source.choice(engines), source.choice(ENGINE_FAULTS)),
        lambda: standin_fault(deployment, source.choice(services), source.choice(SERVICE_FAULTS)),
        lambda: standin_fault(deployment, STORE, source.choice(STORE_FAULTS)),
        lambda: cut_store(deployment, entry),
        lambda: entry_links(deployment, entry, source.choice(LINK_KINDS), source.sample(others, source.randint(1, len(others)))),
        lambda: cut_regions(deployment),
    )
    return source.choice(choices)()


def draw_disjoint(deployment, source, count):
    """Draws faults on different processes: a frozen one can't be told of another."""
    faults = [draw(deployment, source)]
    while len(faults) < count:
        fault = draw(deployment, source)
        if not any(fault.touches & other.touches for other in faults):
            faults.append(fault)
    return faults


def run_schedule(deployment, seed, seconds):
    """Lets one or two faults strike for some time; returns their names."""
    source = random.Random(seed)
    faults = draw_disjoint(deployment, source, source.choice((1, 1, 2)))
    begun = []
    try:
        for fault in faults:
            time.sleep(source.uniform(0.05, 0.3))
            fault.begin()
            begun.append(fault)
        time.sleep(source.uniform(0.4, 1.0) * seconds)
    finally:
        for fault in reversed(begun):
            fault.end()
    return [fault.name for fault in faults]


class Operators(threading.Thread):
    """Two operators that change the same document and race each other."""

    def __init__(self, deployment, seed, path="teams/roaming"):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.path = path
        self.accepted = []
        self._source = random.Random(f"operators/{seed}")
        self._stop_event = threading.Event()
        self._serial = 0

    def stop(self):
        self._stop_event.set()
        self.join()

    def run(self):
        while not self._stop_event.wait(self._source.uniform(0.1, 0.4)):
            writers = [threading.Thread(target=self._write, args=(name,)) for name in self._source.sample(list(self.deployment.entries), 2)]
            for writer in writers:
                writer.start()
            for writer in writers:
                writer.join()

    def _write(self, entry):
        fleet = self.deployment.fleet
        try:
            status, headers, _ = fleet.operator_call(entry, "GET", f"/v1/config/{self.path}")
            if status != 200:
                return
            self._serial += 1
            document = {**self.deployment.documents[self.path], "share": 1 + self._serial % 7}
            write = {"Catkinwing-Revision": headers["Catkinwing-Revision"], "Catkinwing-Write-Id": f"race-{entry}-{self._serial}-{time.monotonic_ns()}"}
            status, _, text = fleet.operator_call(entry, "PUT", f"/v1/config/{self.path}", document, write)
            if status == 200:
                self.accepted.append((time.monotonic(), text))
        except OSError:
            pass


class RevisionSampler(threading.Thread):
    """Reads the revisions in force at every entry, again and again."""

    def __init__(self, deployment):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.samples = {}
        self._stop_event = threading.Event()

    def stop(self):
        self._stop_event.set()
        self.join()

    def run(self):
        while not self._stop_event.wait(0.1):
            for name in self.deployment.entries:
                self._sample(name)

    def _sample(self, name):
        process = self.deployment.fleet.processes[name]
        run = process.popen.pid
        try:
            _, _, text = self.deployment.fleet.operator_call(name, "GET", "/v1/config")
            for document in json.loads(text)["documents"]:
                self.samples.setdefault((name, run, document["path"]), []).append(document["revision"])
        except (OSError, ValueError, KeyError):
            pass


def stop_gracefully(deployment, name):
    """Stops an entry as planned; returns when it was told and its exit code."""
    process = deployment.fleet.processes[name]
    told = time.monotonic()
    process.signal(signal.SIGTERM)
    return told, process.popen.wait(timeout=60)
