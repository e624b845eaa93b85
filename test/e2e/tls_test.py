#!/usr/bin/env python3
"""Proves TLS with separate processes: who is let in, who is refused, and how
keys are replaced."""
import http.client
import json
import pathlib
import shutil
import signal
import socket
import ssl
import subprocess
import sys
import tempfile
import unittest
import urllib.error

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "proofs"))
from certificates import Authority  # noqa: E402
from deployment import KEYS, MODEL, OPERATOR_TOKEN, Deployment, sha256  # noqa: E402
from fleet import call, free_port, wait_for  # noqa: E402

ZONES = {
    "north-a": {"region": "north", "entries": 2, "engines": 1, "services": 0},
    "south-a": {"region": "south", "entries": 1, "engines": 1, "services": 0},
}
NORTHERN_MODEL = "northern-answers"
TEAM_TOKEN = "roaming-operator-token"
LISTENERS = ("callers", "peers", "operators")
NORTH = "entry-north-a-1"
SOUTH = "entry-south-a-1"
FORWARD_PATH = "/peer/forward/v1/chat/completions"


class TlsDeployment(Deployment):
    """Two regions whose entries use TLS on all addresses."""

    def __init__(self, folder):
        super().__init__(folder, zones=ZONES)
        self.authority = Authority(self.folder / "authority", "test authority")
        self.stranger = Authority(self.folder / "stranger", "another authority")
        self.fleet.authority = self.authority.file
        self.identities = {}

    def models_of(self, zone):
        return [MODEL, NORTHERN_MODEL] if zone == "north-a" else [MODEL]

    def more_settings(self, name):
        self.install(name, self.authority.issue(name))
        files = {"certificateFile": str(self.file_of(name, "pem")), "keyFile": str(self.file_of(name, "key"))}
        authorities = self.file_of(name, "authorities")
        shutil.copy(self.authority.file, authorities)
        return {"tls": {"callers": files, "operators": files, "peers": {**files, "authorityFile": str(authorities)}}}

    def file_of(self, name, suffix):
        return self.folder / f"{name}.{suffix}"

    def install_files(self, name, identity):
        """Puts an identity where the entry's settings name it."""
        shutil.copy(identity.certificate, self.file_of(name, "pem"))
        shutil.copy(identity.key, self.file_of(name, "key"))

    def install(self, name, identity):
        """Makes an identity the entry's own."""
        self.install_files(name, identity)
        self.identities[name] = identity


def authorization(team="roaming", **headers):
    return {"Authorization": f"Bearer {KEYS[team]}", **headers}


def chat(marker, model=MODEL, **fields):
    return {"model": model, "max_tokens": 4, "messages": [{"role": "user", "content": f"marker={marker} hello"}], **fields}


def stamp(origin):
    """Returns the headers of a request that an entry forwards from the south."""
    return {
        "catkinwing-stamp": "1", "catkinwing-stamp-origin": f"{origin},1,1,south-a", "catkinwing-stamp-request": "r-1", "catkinwing-stamp-attempt": "1",
        "catkinwing-stamp-hop": "1", "catkinwing-stamp-visited": "south-a", "catkinwing-stamp-team": "roaming", "catkinwing-stamp-class": "short",
        "catkinwing-stamp-time-left-ms": "8000", "catkinwing-stamp-team-revision": "1", "catkinwing-stamp-residency": "*",
    }


def connect(address, context):
    """Returns a TLS connection whose handshake is done on this side."""
    host, port = address.rsplit(":", 1)
    plain = socket.create_connection((host, int(port)), timeout=20)
    try:
        return context.wrap_socket(plain, server_hostname=host)
    except BaseException:
        plain.close()
        raise


class TlsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory(prefix="catkinwing-tls-")
        cls.addClassCleanup(folder.cleanup)
        cls.deployment = TlsDeployment(folder.name)
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()
        cls.fleet = cls.deployment.fleet
        cls.authority = cls.deployment.authority
        cls.stranger = cls.deployment.stranger

    def address(self, name, listener="callers"):
        process = self.fleet.processes[name]
        return {"callers": process.address, "peers": process.peers, "operators": process.operators}[listener]

    def chat(self, name, body, tls=None, **headers):
        return call(self.address(name), "POST", "/v1/chat/completions", body, authorization(**headers), tls=tls or self.fleet.client_tls())

    def runs_of(self, marker):
        return [line for line in self.deployment.executions() if line.get("marker") == marker and line["event"] == "started"]

    def log_lines(self, name, event):
        lines = [json.loads(line) for line in self.fleet.processes[name].log.read_text().splitlines() if line.startswith("{")]
        return [line for line in lines if line.get("event") == event]

    # Let in

    def test_chat_over_http1(self):
        status, _, text = self.chat(NORTH, chat("m-http1"))
        self.assertEqual(status, 200, text)
        self.assertIn("m-http1", text)
        status, _, text = self.chat(NORTH, chat("m-http1-stream", stream=True))
        self.assertEqual(status, 200, text)
        self.assertTrue(text.rstrip().endswith("data: [DONE]"))

    def test_chat_over_http2(self):
        result = subprocess.run(["curl", "-sS", "--http2", "--cacert", str(self.authority.file), "-w", "%{http_version}", "-H", f"Authorization: Bearer {KEYS['roaming']}",
                                 "-d", json.dumps(chat("m-http2", stream=True)), f"https://{self.address(NORTH)}/v1/chat/completions"], capture_output=True, text=True)
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("m-http2", result.stdout)
        self.assertTrue(result.stdout.rstrip().endswith("data: [DONE]\n\n2"), result.stdout[-100:])

    def test_forward_between_regions(self):
        status, _, text = self.chat(SOUTH, chat("m-forward", NORTHERN_MODEL))
        self.assertEqual(status, 200, text)
        runs = self.runs_of("m-forward")
        self.assertEqual([run["region"] for run in runs], ["north"])
        self.assertTrue(runs[0]["from"].startswith("entry-north"), runs)

    def test_the_command_line_verifies_the_entry(self):
        self.assertIn("nothing to change", self.fleet.ctl("apply", self.deployment.folder / "config", "--path", "global", entries=[NORTH]).stdout)
        command = [self.fleet_program("catkinwingctl"), "status", "--entry", self.address(NORTH, "operators"), "--token", OPERATOR_TOKEN]
        for more in ([], ["--authority", str(self.stranger.file)]):
            result = subprocess.run(command + more, capture_output=True, text=True)
            self.assertEqual(result.returncode, 1, result.stdout)
            self.assertIn("did not answer", result.stdout + result.stderr)

    def fleet_program(self, name):
        return str(pathlib.Path(self.fleet.processes[NORTH].command[0]).parent / name)

    def test_callers_are_sent_on_to_tls_addresses(self):
        _, _, text = call(self.address(SOUTH), "GET", f"/v1/entries?model={MODEL}", headers=authorization(), tls=self.fleet.client_tls())
        urls = [entry["url"] for entry in json.loads(text)["entries"]]
        self.assertEqual(set(urls), {f"https://{self.address(name)}" for name in self.deployment.entries})
        connection = http.client.HTTPSConnection(self.address(SOUTH), timeout=20, context=self.fleet.client_tls())
        self.addCleanup(connection.close)
        connection.request("POST", "/v1/chat/completions", json.dumps(chat("m-resident")), authorization("resident"))
        answer = connection.getresponse()
        self.assertEqual(answer.status, 307)
        self.assertTrue(answer.headers["Location"].startswith("https://"), answer.headers["Location"])

    # Refused

    def test_plain_text_is_refused(self):
        body = json.dumps(chat("m-plain"))
        for listener, path in (("callers", "/v1/chat/completions"), ("peers", FORWARD_PATH), ("operators", "/metrics")):
            connection = http.client.HTTPConnection(self.address(NORTH, listener), timeout=20)
            self.addCleanup(connection.close)
            with self.assertRaises((http.client.HTTPException, ConnectionError), msg=listener):
                connection.request("POST", path, body, {**authorization(), **stamp(SOUTH)})
                connection.getresponse()
        self.assertEqual(self.runs_of("m-plain"), [])

    def send_as_peer(self, path, identity, marker, origin=SOUTH, to=NORTH):
        """Sends what an entry in the south would send to one in the north."""
        headers = {"Catkinwing-From": origin, **stamp(origin)}
        context = self.authority.client_tls(identity)
        return call(self.address(to, "peers"), "POST", path, chat(marker), headers, tls=context)

    def test_peers_need_a_certificate_of_the_authority(self):
        self.assertEqual(self.send_as_peer(FORWARD_PATH, self.authority.issue(SOUTH), "m-peer")[0], 200)
        self.assertEqual(len(self.runs_of("m-peer")), 1)
        self.assertEqual(self.send_as_peer("/peer/rpc", self.authority.issue(SOUTH), "m-peer-rpc")[0], 400)
        expired = self.authority.issue(SOUTH, days=-1)
        self.assertIn("certificate has expired", self.authority.verify(expired))
        refused = {"none": None, "stranger": self.stranger.issue(SOUTH), "expired": expired}
        for kind, identity in refused.items():
            for path in (FORWARD_PATH, "/peer/rpc"):
                with self.subTest(kind=kind, path=path):
                    with self.assertRaises((OSError, http.client.HTTPException)):
                        self.send_as_peer(path, identity, f"m-{kind}")
            with self.subTest(kind=kind):
                self.assertEqual(self.runs_of(f"m-{kind}"), [])

    def test_peers_speak_in_their_own_name_alone(self):
        identity = self.authority.issue(SOUTH)
        for path in (FORWARD_PATH, "/peer/rpc"):
            for origin in ("entry-north-a-2", ""):
                status, headers, text = self.send_as_peer(path, identity, "m-name", origin)
                self.assertEqual((status, headers["Catkinwing-Outcome"]), (403, "not-run"), text)
                self.assertEqual(json.loads(text)["error"]["code"], "wrong_name")
        self.assertEqual(self.runs_of("m-name"), [])

    def test_callers_that_do_not_trust_the_entry_fail(self):
        for listener in LISTENERS:
            with self.assertRaises(ssl.SSLCertVerificationError):
                connect(self.address(NORTH, listener), self.stranger.client_tls())
        with self.assertRaises(urllib.error.URLError):
            self.chat(NORTH, chat("m-untrusting"), tls=self.stranger.client_tls())
        self.assertEqual(self.runs_of("m-untrusting"), [])

    def test_a_team_token_reaches_its_own_document_alone(self):
        path = "/v1/config/teams/roaming"
        _, headers, text = self.fleet.operator_call(NORTH, "GET", path)
        document = {**json.loads(text), "operatorTokens": [{"name": "own", "sha256": sha256(TEAM_TOKEN)}]}
        write = {"Catkinwing-Revision": headers["Catkinwing-Revision"], "Catkinwing-Write-Id": "token"}
        status, _, text = self.fleet.operator_call(NORTH, "PUT", path, document, write)
        self.assertEqual(status, 200, text)
        token = {"Authorization": f"Bearer {TEAM_TOKEN}"}
        tls = self.fleet.client_tls()
        self.assertEqual(call(self.address(NORTH, "operators"), "GET", path, headers=token, tls=tls)[0], 200)
        for other in ("teams/resident", "global", "regions/north"):
            for method, body in (("GET", None), ("PUT", {})):
                status, _, text = call(self.address(NORTH, "operators"), method, f"/v1/config/{other}", body, {**token, **write}, tls=tls)
                self.assertEqual(status, 403, f"{method} {other}: {text}")
        self.assertEqual(call(self.address(NORTH, "operators"), "GET", path, tls=tls)[0], 401)

    # Keys replaced

    def shown_certificate(self, name, listener):
        context = self.authority.client_tls(self.authority.issue(SOUTH))
        with connect(self.address(name, listener), context) as connection:
            return connection.getpeercert(binary_form=True)

    def reload(self, name, event):
        """Has an entry read its files again and returns the line it logged."""
        before = len(self.log_lines(name, event))
        self.fleet.processes[name].signal(signal.SIGHUP)
        wait_for(lambda: len(self.log_lines(name, event)) > before, f"{name} to log {event}")
        return self.log_lines(name, event)[-1]

    def open_stream(self, name, marker, tokens):
        connection = http.client.HTTPSConnection(self.address(name), timeout=60, context=self.fleet.client_tls())
        self.addCleanup(connection.close)
        body = chat(marker, stream=True, max_tokens=tokens)
        connection.request("POST", "/v1/chat/completions", json.dumps(body), authorization(**{"Catkinwing-Class": "long"}))
        answer = connection.getresponse()
        self.assertEqual(answer.status, 200)
        return answer

    def test_new_keys_are_taken_without_cutting_a_stream(self):
        stream = self.open_stream(NORTH, "m-reload", 1500)
        begin = stream.read(10)
        old = self.deployment.identities[NORTH].der()
        new = self.authority.issue(NORTH)
        for listener in LISTENERS:
            self.assertEqual(self.shown_certificate(NORTH, listener), old)
        self.deployment.install(NORTH, new)
        self.reload(NORTH, "keys_reloaded")
        for listener in LISTENERS:
            self.assertEqual(self.shown_certificate(NORTH, listener), new.der())
        self.assertEqual(self.fleet.status(NORTH)["requests"]["running"], 1)
        text = (begin + stream.read()).decode()
        self.assertTrue(text.rstrip().endswith("data: [DONE]"), text[-300:])
        self.assertEqual(len(self.runs_of("m-reload")), 1)
        self.assertEqual(self.chat(SOUTH, chat("m-after-reload", NORTHERN_MODEL))[0], 200)

    def test_broken_files_leave_the_old_keys_in_use(self):
        name = "entry-north-a-2"
        present = self.deployment.identities[name]
        other = self.authority.issue(name)
        key, certificate = self.deployment.file_of(name, "key"), self.deployment.file_of(name, "pem")
        breaks = {
            "a key of another certificate": lambda: shutil.copy(other.key, key),
            "a key in the certificate's place": lambda: shutil.copy(other.key, certificate),
            "half a certificate": lambda: certificate.write_text(other.certificate.read_text()[:200]),
            "no file": certificate.unlink,
            "a certificate of another entry": lambda: self.deployment.install_files(name, self.authority.issue(NORTH)),
        }
        for what, damage in breaks.items():
            with self.subTest(what=what):
                damage()
                line = self.reload(name, "keys_not_reloaded")
                self.assertIn(str(self.deployment.folder), line["reason"])
                for listener in LISTENERS:
                    self.assertEqual(self.shown_certificate(name, listener), present.der())
                self.assertEqual(self.chat(name, chat("m-broken"))[0], 200)
                self.deployment.install(name, present)
        self.reload(name, "keys_reloaded")

    def test_an_authority_is_added_and_taken_away(self):
        name = "entry-north-a-2"
        authorities = self.deployment.file_of(name, "authorities")
        newcomer = self.stranger.issue(SOUTH)
        authorities.write_text(self.authority.file.read_text() + self.stranger.file.read_text())
        self.reload(name, "keys_reloaded")
        for number, identity in enumerate((newcomer, self.authority.issue(SOUTH))):
            self.assertEqual(self.send_as_peer(FORWARD_PATH, identity, f"m-added-{number}", to=name)[0], 200)
        shutil.copy(self.authority.file, authorities)
        self.reload(name, "keys_reloaded")
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.send_as_peer(FORWARD_PATH, newcomer, "m-taken-away", to=name)
        self.assertEqual(self.runs_of("m-taken-away"), [])

    def test_an_entry_does_not_start_with_the_certificate_of_another(self):
        settings = json.loads((self.deployment.folder / f"{NORTH}.json").read_text())
        settings["name"] = "entry-north-a-9"
        settings["listen"] = {listener: f"127.0.0.1:{free_port()}" for listener in LISTENERS}
        file = self.deployment.folder / "entry-north-a-9.json"
        file.write_text(json.dumps(settings))
        result = subprocess.run([self.fleet_program("catkinwingd"), "--config", str(file)], capture_output=True, text=True, timeout=20)
        self.assertEqual(result.returncode, 1, result.stderr)
        for part in ("pem", NORTH, "entry-north-a-9"):
            self.assertIn(part, result.stderr)

    # Secrets

    def secrets(self):
        """Returns all that no log and no metric may hold."""
        yield from (*KEYS.values(), OPERATOR_TOKEN, TEAM_TOKEN, "wrong-key", "PRIVATE KEY")
        for file in self.deployment.folder.rglob("*.key"):
            yield from (line for line in file.read_text().splitlines() if not line.startswith("-"))

    def test_logs_and_metrics_hold_no_secret(self):
        tls = self.fleet.client_tls()
        wrong = {"Authorization": "Bearer wrong-key"}
        self.assertEqual(self.chat(NORTH, chat("m-secret"))[0], 200)
        self.assertEqual(call(self.address(NORTH), "POST", "/v1/chat/completions", chat("m-secret"), wrong, tls=tls)[0], 401)
        self.assertEqual(call(self.address(NORTH, "operators"), "GET", "/v1/status", headers=wrong, tls=tls)[0], 401)
        shutil.copy(self.deployment.identities[SOUTH].key, self.deployment.file_of(SOUTH, "pem"))
        self.reload(SOUTH, "keys_not_reloaded")
        self.deployment.install(SOUTH, self.deployment.identities[SOUTH])
        told = [process.log.read_text() for process in self.fleet.processes.values()]
        for name in self.deployment.entries:
            status, _, text = call(self.address(name, "operators"), "GET", "/metrics", tls=tls)
            self.assertEqual((status, "catkinwing_requests_total" in text), (200, True))
            told.append(text)
        for secret in self.secrets():
            self.assertFalse(any(secret in text for text in told), f"{secret[:8]}... is told")


if __name__ == "__main__":
    unittest.main(verbosity=2)
