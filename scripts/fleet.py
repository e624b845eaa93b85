"""Starts entries and stand-ins on loopback, for examples and for proofs.

A fleet is a folder of logs and settings and the processes that were started
with them. Every process is ended by stop_all(), by its own id.
"""
import json
import os
import pathlib
import random
import signal
import socket
import ssl
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build"))
# Build that every second entry runs, such as another release.
SECOND_BUILD = pathlib.Path(os.environ.get("SECOND_BUILD_DIR", BUILD))
OPERATOR_TOKEN = "example-operator-token"
START_SECONDS = 30


# Below the ports that the system gives to connections, which could take one before its owner listens.
PORTS = range(12000, 32000)
_given_ports = set()


def free_port():
    """Returns a port of loopback that nothing listens on now; each only once in a process."""
    while True:
        port = random.choice(PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as probe, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                probe.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


def wait_for(condition, what, seconds=START_SECONDS):
    """Returns the condition's first true value; fails loudly after the time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise TimeoutError(f"gave up waiting for {what}")


def call(address, method, path, body=None, headers=None, timeout=30, tls=None):
    """Sends one request, over TLS if there is an ssl context; returns (status, headers, body text)."""
    data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
    scheme = "https" if tls else "http"
    request = urllib.request.Request(f"{scheme}://{address}{path}", data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout, context=tls) as answer:
            return answer.status, answer.headers, answer.read().decode()
    except urllib.error.HTTPError as answer:
        with answer:
            return answer.code, answer.headers, answer.read().decode()


class Process:
    """A process of the fleet with its log."""

    def __init__(self, name, command, log, output=None):
        self.name = name
        self.command = command
        self.log = log
        # Descriptor that takes the output in place of the log.
        self.output = output
        self.popen = None
        self.address = None

    def start(self):
        with open(self.log, "ab") as log:
            output = log if self.output is None else self.output
            self.popen = subprocess.Popen(self.command, stdout=output, stderr=log, stdin=subprocess.DEVNULL)

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number):
        if self.is_running():
            self.popen.send_signal(number)

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.signal(signal.SIGCONT)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self, seconds=30):
        """Ends the process gracefully and returns its exit code."""
        self.thaw()
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(timeout=seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class Fleet:
    """The processes of one run."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes = {}
        self.operator_token = OPERATOR_TOKEN
        # File of the authority that signed the entries' certificates, where
        # callers and operators use TLS.
        self.authority = None

    def client_tls(self):
        """Returns the ssl context towards entries; None for plain text."""
        return ssl.create_default_context(cafile=self.authority) if self.authority else None

    def operator_call(self, name, method, path, body=None, headers=None):
        """Sends one request of an operator to an entry."""
        authorization = {"Authorization": f"Bearer {self.operator_token}"}
        return call(self.processes[name].operators, method, path, body, {**authorization, **(headers or {})}, tls=self.client_tls())

    def execution_log(self, name):
        return self.folder / f"{name}.executions.jsonl"

    def executions(self, name):
        """Returns what a stand-in logged of its executions."""
        log = self.execution_log(name)
        if not log.exists():
            return []
        lines = log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.strip()]

    def start_standin(self, kind, name, listen="127.0.0.1:0", arguments=()):
        """Starts a stand-in and returns its address."""
        command = [str(BUILD / "bin/catkinwing-standin"), kind, "--listen", listen, "--name", name,
                   "--log", str(self.execution_log(name)), *map(str, arguments)]
        process = Process(name, command, self.folder / f"{name}.log")
        return self._launch_standin(process)

    def _launch_standin(self, process):
        seen = process.log.stat().st_size if process.log.exists() else 0
        process.start()
        self.processes[process.name] = process

        def listening():
            if not process.is_running():
                raise RuntimeError(f"{process.name} ended: {process.log.read_text()}")
            for line in process.log.read_text()[seen:].splitlines():
                if line.startswith("listening "):
                    return line.split()[1]
            return None

        process.address = wait_for(listening, f"{process.name} to listen")
        return process.address

    def start_entry(self, settings):
        """Starts an entry from its settings and waits until it answers."""
        name = settings["name"]
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(settings, indent=2))
        entries = sum(hasattr(process, "operators") for process in self.processes.values())
        build = SECOND_BUILD if entries % 2 else BUILD
        process = Process(name, [str(build / "bin/catkinwingd"), "--config", str(file)], self.folder / f"{name}.log")
        process.address = settings["listen"]["callers"]
        process.operators = settings["listen"]["operators"]
        process.peers = settings["listen"]["peers"]
        return self._launch_entry(process)

    def _launch_entry(self, process):
        process.start()
        self.processes[process.name] = process

        def alive():
            if not process.is_running():
                raise RuntimeError(f"{process.name} ended: {process.log.read_text()}")
            try:
                return call(process.operators, "GET", "/healthz", timeout=2, tls=self.client_tls())[0] == 200
            except OSError:
                return False

        wait_for(alive, f"{process.name} to answer")
        return process

    def restart(self, name):
        """Starts a process that has ended again, from the same command."""
        process = self.processes[name]
        return self._launch_entry(process) if hasattr(process, "operators") else self._launch_standin(process)

    def wait_ready(self, names):
        """Waits until entries have a configuration and may be sent callers."""
        for name in names:
            operators = self.processes[name].operators
            wait_for(lambda: call(operators, "GET", "/readyz", tls=self.client_tls())[0] == 200, f"{name} to be ready")

    def set_standin_faults(self, name, faults):
        status, _, body = call(self.processes[name].address, "PUT", "/standin/faults", faults)
        if status != 200:
            raise RuntimeError(f"faults of {name}: {status} {body}")

    def set_entry_faults(self, name, faults):
        status, _, body = self.operator_call(name, "PUT", "/v1/faults", faults)
        if status != 200:
            raise RuntimeError(f"faults of {name}: {status} {body}")

    def status(self, name):
        status, _, body = self.operator_call(name, "GET", "/v1/status")
        if status != 200:
            raise RuntimeError(f"status of {name}: {status} {body}")
        return json.loads(body)

    def ctl(self, *arguments, entries=(), check=True):
        """Runs catkinwingctl against the operators' addresses of entries."""
        command = [str(BUILD / "bin/catkinwingctl"), *map(str, arguments)]
        for name in entries:
            command += ["--entry", self.processes[name].operators]
        if self.authority:
            command += ["--authority", str(self.authority)]
        environment = {**os.environ, "CATKINWING_TOKEN": self.operator_token}
        result = subprocess.run(command, capture_output=True, text=True, env=environment)
        if check and result.returncode != 0:
            raise RuntimeError(f"{' '.join(command)}: {result.stdout}{result.stderr}")
        return result

    def stop_all(self):
        for process in self.processes.values():
            process.thaw()
            process.signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.popen.wait(timeout=15)
            except subprocess.TimeoutExpired:
                process.kill()
