#!/usr/bin/env python3
"""Drives entries as separate processes through their interfaces."""
import http.client
import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "proofs"))
from deployment import KEYS, MODEL, SERVICE, Deployment, sha256  # noqa: E402
from fleet import Fleet, call, free_port, wait_for  # noqa: E402


def authorization(team="roaming", **headers):
    return {"Authorization": f"Bearer {KEYS[team]}", **headers}


def chat(marker="m-1", stream=False, tokens=4, model=MODEL):
    return {"model": model, "stream": stream, "max_tokens": tokens, "messages": [{"role": "user", "content": f"marker={marker} hello"}]}


def raw_exchange(address, data, is_half_closed=False):
    """Sends bytes and returns all that comes back."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=20) as connection:
        connection.sendall(data)
        if is_half_closed:
            connection.shutdown(socket.SHUT_WR)
        received = b""
        while True:
            piece = connection.recv(65536)
            if not piece:
                return received
            received += piece


class E2eTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment(tempfile.mkdtemp(prefix="catkinwing-e2e-"))
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()
        cls.fleet = cls.deployment.fleet
        cls.entry = "entry-north-a-1"
        cls.address = cls.fleet.processes[cls.entry].address

    def chat(self, body, **headers):
        return call(self.address, "POST", "/v1/chat/completions", body, authorization(**headers))

    def runs_of(self, marker):
        return [line for line in self.deployment.executions() if line.get("marker") == marker and line["event"] == "started"]

    # Callers

    def test_chat_and_stream(self):
        status, headers, text = self.chat(chat("m-chat"))
        self.assertEqual(status, 200)
        self.assertIn("m-chat", text)
        self.assertTrue(headers["Catkinwing-Request-Id"])
        status, headers, text = self.chat(chat("m-stream", stream=True))
        self.assertEqual((status, headers["Content-Type"].split(";")[0]), (200, "text/event-stream"))
        self.assertTrue(text.rstrip().endswith("data: [DONE]"))

    def test_models_and_entries(self):
        status, _, text = call(self.address, "GET", "/v1/models", headers=authorization())
        self.assertEqual([model["id"] for model in json.loads(text)["data"]], [MODEL])
        status, _, text = call(self.address, "GET", f"/v1/entries?model={MODEL}", headers=authorization("resident"))
        regions = {entry["region"] for entry in json.loads(text)["entries"]}
        self.assertEqual((status, regions), (200, {"north"}))

    def test_sessions_are_steered_to_one_entry_by_all(self):
        firsts = set()
        for name in ("entry-north-a-1", "entry-north-a-2", "entry-north-b-1"):
            _, _, text = call(self.fleet.processes[name].address, "GET", f"/v1/entries?model={MODEL}&session=s7", headers=authorization())
            firsts.add(json.loads(text)["entries"][0]["name"])
        self.assertEqual(len(firsts), 1)

    def test_http2_in_clear_text(self):
        result = subprocess.run(["curl", "-sS", "--http2-prior-knowledge", "-w", "%{http_version}", "-H", f"Authorization: Bearer {KEYS['roaming']}",
                                 "-d", json.dumps(chat("m-h2", stream=True)), f"http://{self.address}/v1/chat/completions"], capture_output=True, text=True)
        self.assertIn("m-h2", result.stdout)
        self.assertTrue(result.stdout.endswith("2"), result)

    def test_services_with_any_method(self):
        for method in ("GET", "PUT", "DELETE", "PATCH"):
            status, _, text = call(self.address, method, f"/services/{SERVICE}/items/7?marker=m-{method}", headers=authorization())
            self.assertEqual((status, json.loads(text)["method"]), (200, method))

    def test_a_caller_that_goes_frees_the_engine(self):
        host, port = self.address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        connection.request("POST", "/v1/chat/completions", json.dumps(chat("m-gone", stream=True, tokens=2000)), authorization(**{"Catkinwing-Class": "long"}))
        connection.getresponse().read(10)
        connection.close()
        wait_for(lambda: any(line.get("marker") == "m-gone" and line["event"] in ("cancelled", "cut") for line in self.deployment.executions()),
                 "the engine to see the cancel")

    # Bad input

    def assert_refused(self, status, answer):
        self.assertEqual(answer[0], status, answer[2])
        self.assertEqual(answer[1]["Catkinwing-Outcome"], "not-run")
        self.assertEqual(json.loads(answer[2])["error"]["outcome"], "not-run")

    def test_bad_requests_are_refused_with_their_outcome(self):
        self.assert_refused(400, self.chat(b"{not json"))
        self.assert_refused(400, self.chat({"model": MODEL}))
        self.assert_refused(404, self.chat(chat(model="unknown")))
        self.assert_refused(413, self.chat(b'{"model":"' + b"x" * 1_100_000 + b'"}'))
        self.assert_refused(400, self.chat(chat(), **{"Catkinwing-Class": "none"}))
        self.assert_refused(400, self.chat(chat(), **{"Catkinwing-Timeout-Ms": "soon"}))
        self.assert_refused(401, call(self.address, "POST", "/v1/chat/completions", chat()))
        self.assert_refused(401, call(self.address, "POST", "/v1/chat/completions", chat(), {"Authorization": "Bearer wrong"}))
        self.assert_refused(404, call(self.address, "GET", "/services/none/x", headers=authorization()))
        self.assert_refused(404, call(self.address, "GET", "/nowhere", headers=authorization()))
        self.assert_refused(405, call(self.address, "GET", "/v1/chat/completions", headers=authorization()))

    def test_broken_http_leaves_others_unharmed(self):
        for data in (b"\x00\x01garbage\r\n\r\n", b"GET / HTTP/1.1\r\n" + b"X: " + b"y" * 200_000 + b"\r\n\r\n", b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{"):
            try:
                raw_exchange(self.address, data, is_half_closed=True)
            except ConnectionError:
                pass
        self.assertEqual(self.chat(chat("m-after"))[0], 200)

    def test_half_closed_callers_get_their_answer_or_a_close(self):
        body = json.dumps(chat("m-half")).encode()
        head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {KEYS['roaming']}\r\nContent-Length: {len(body)}\r\n\r\n"
        answer = raw_exchange(self.address, head.encode() + body, is_half_closed=True)
        self.assertTrue(not answer or b"m-half" in answer)
        self.assertEqual(self.chat(chat("m-after-half"))[0], 200)

    # Residency

    def test_callers_outside_are_sent_inside(self):
        outside = self.fleet.processes["entry-south-a-1"].address
        host, port = outside.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        connection.request("POST", "/v1/chat/completions", "{this is never parsed", authorization("resident"))
        self.addCleanup(connection.close)
        answer = connection.getresponse()
        self.assertEqual((answer.status, answer.headers["Catkinwing-Outcome"]), (307, "not-run"))
        inside = {f"http://{process.address}/v1/chat/completions" for name, process in self.fleet.processes.items() if name.startswith("entry-north")}
        self.assertIn(answer.headers["Location"], inside)

    # Idempotency

    def test_repeats_get_the_first_answer_from_any_entry(self):
        answers = set()
        for name in ("entry-north-a-1", "entry-north-a-2", "entry-north-b-1", "entry-south-a-1"):
            status, _, text = call(self.fleet.processes[name].address, "POST", f"/services/{SERVICE}/items?marker=m-once", {"a": 1}, authorization(**{"Idempotency-Key": "once"}))
            self.assertEqual(status, 200, text)
            answers.add(text)
        self.assertEqual((len(answers), len(self.runs_of("m-once"))), (1, 1))
        status, _, text = call(self.address, "POST", f"/services/{SERVICE}/items?marker=m-once", {"a": 2}, authorization(**{"Idempotency-Key": "once"}))
        self.assertEqual((status, json.loads(text)["error"]["code"]), (422, "key_reused"))

    def ledger_of(self, name):
        status, _, text = self.fleet.operator_call(name, "GET", "/v1/status")
        self.assertEqual(status, 200, text)
        return json.loads(text)["platform"]["ledger"]

    def test_claims_go_through_the_coordinators_of_the_region(self):
        before = self.ledger_of(self.entry)
        for number in range(30):
            headers = authorization(**{"Idempotency-Key": f"forwarded-{number}"})
            status, _, text = call(self.address, "POST", f"/services/{SERVICE}/items?marker=m-forwarded-{number}", {}, headers)
            self.assertEqual(status, 200, text)
            self.assertEqual(len(self.runs_of(f"m-forwarded-{number}")), 1)
        after = self.ledger_of(self.entry)
        difference = {name: after[name] - before[name] for name in after}
        self.assertEqual(difference["won"], 30, difference)
        # Two of the region's three entries coordinate most of the shards. A slow
        # one may fail a claim, which is then recorded by its own entry.
        self.assertGreater(difference["forwarded"], difference["forwards_failed"], difference)

    def test_the_store_away(self):
        """Keyed requests are refused as not run; issued keys and others go on."""
        status, _, text = call(self.address, "POST", "/v1/idempotency-keys", headers=authorization())
        self.assertEqual(status, 201)
        issued = json.loads(text)["idempotency_key"]
        self.fleet.set_standin_faults("store", {"down": True})
        try:
            headers = authorization(**{"Idempotency-Key": "in-outage"})
            answer = call(self.address, "POST", f"/services/{SERVICE}/items?marker=m-outage", {}, headers)
            self.assert_refused(503, answer)
            self.assertTrue(answer[1]["Retry-After"])
            self.assertEqual(self.chat(chat("m-unkeyed"))[0], 200)
            texts = set()
            for name in (self.entry, "entry-north-a-2"):
                status, _, text = call(self.fleet.processes[name].address, "POST", f"/services/{SERVICE}/items?marker=m-issued", {}, authorization(**{"Idempotency-Key": issued}))
                self.assertEqual(status, 200, text)
                texts.add(text)
            self.assertEqual((len(texts), len(self.runs_of("m-issued")), self.runs_of("m-outage")), (1, 1, []))
        finally:
            self.fleet.set_standin_faults("store", {})

    # Operators

    def test_operators_race_and_reach_only_their_subtree(self):
        path = "/v1/config/teams/resident"
        _, headers, text = self.fleet.operator_call(self.entry, "GET", path)
        document, revision = json.loads(text), headers["Catkinwing-Revision"]
        write = {"Catkinwing-Revision": revision, "Catkinwing-Write-Id": "w1"}
        status, _, text = self.fleet.operator_call(self.entry, "PUT", path, {**document, "share": 5}, write)
        self.assertEqual(status, 200, text)
        accepted = json.loads(text)["revision"]
        status, _, text = self.fleet.operator_call("entry-south-a-1", "PUT", path, {**document, "share": 5}, write)
        self.assertEqual((status, json.loads(text)["revision"]), (200, accepted))
        status, _, text = self.fleet.operator_call("entry-south-a-1", "PUT", path, {**document, "share": 9}, {**write, "Catkinwing-Write-Id": "w2"})
        self.assertEqual((status, json.loads(text)["difference"][0]["pointer"]), (412, "/share"))
        status, _, text = self.fleet.operator_call(self.entry, "PUT", path, {**document, "share": -1, "colour": "red"}, {**write, "Catkinwing-Write-Id": "w3"})
        self.assertEqual((status, {fault["pointer"] for fault in json.loads(text)["faults"]}), (422, {"/share", "/colour"}))
        for name in self.deployment.entries:
            wait_for(lambda: int(self.fleet.operator_call(name, "GET", path)[1]["Catkinwing-Revision"]) == accepted, f"{name} to have it in force", 13)

    def test_a_team_token_reaches_its_own_document_alone(self):
        path = "/v1/config/teams/roaming"
        _, headers, text = self.fleet.operator_call(self.entry, "GET", path)
        document = {**json.loads(text), "operatorTokens": [{"name": "own", "sha256": sha256("roaming-operator")}]}
        status, _, text = self.fleet.operator_call(self.entry, "PUT", path, document, {"Catkinwing-Revision": headers["Catkinwing-Revision"], "Catkinwing-Write-Id": "token"})
        self.assertEqual(status, 200, text)
        operators = self.fleet.processes[self.entry].operators
        token = {"Authorization": "Bearer roaming-operator"}
        self.assertEqual(call(operators, "GET", path, headers=token)[0], 200)
        for other in ("/v1/config/teams/resident", "/v1/config/global", "/v1/status", "/v1/service-levels"):
            self.assertEqual(call(operators, "GET", other, headers=token)[0], 403)
        self.assertEqual(call(operators, "GET", path)[0], 401)

    def test_reports(self):
        self.chat(chat("m-report"))
        question = json.dumps({"team": "roaming", "model": MODEL})
        explanation = json.loads(self.fleet.ctl("explain", question, entries=[self.entry]).stdout)
        self.assertEqual((explanation["verdict"], len(explanation["candidates"])), ("placed", 2))
        self.assertIn("endpoint engine-north-a-1", self.fleet.ctl("status", entries=[self.entry]).stdout)
        burn = self.fleet.ctl("report", "burn", "--format", "json", entries=list(self.deployment.entries))
        self.assertEqual(json.loads(burn.stdout)["missing"], [])
        self.assertIn("<svg", self.fleet.ctl("report", "burn", "--format", "html", entries=[self.entry]).stdout)
        missing = self.fleet.ctl("report", "burn", "--entry", f"127.0.0.1:{free_port()}", entries=[self.entry], check=False)
        self.assertEqual(missing.returncode, 1)
        self.assertIn("did not answer", missing.stdout)

    def test_metrics_hold_no_secret(self):
        _, _, text = call(self.fleet.processes[self.entry].operators, "GET", "/metrics")
        logs = "".join(process.log.read_text() for process in self.fleet.processes.values())
        self.assertIn("catkinwing_requests_total", text)
        for secret in KEYS.values():
            self.assertNotIn(secret, text + logs)

    # Members and endpoints

    def test_a_leaving_endpoint_gets_nothing_new_though_the_list_lags(self):
        name = "engine-south-a-1"
        entry = "entry-south-a-1"
        self.fleet.set_standin_faults(name, {"leaving": True})
        try:
            wait_for(lambda: any(endpoint["name"] == name and endpoint["state"] == "leaving" for endpoint in self.fleet.status(entry)["endpoints"]),
                     "the entry to see it leaving", 10)
            for number in range(20):
                status, _, text = call(self.fleet.processes[entry].address, "POST", "/v1/chat/completions", chat(f"m-leaving-{number}"), authorization())
                self.assertEqual(status, 200, text)
            markers = {line.get("marker", "") for line in self.fleet.executions(name) if line["event"] == "started"}
            self.assertFalse([marker for marker in markers if marker.startswith("m-leaving-")])
        finally:
            self.fleet.set_standin_faults(name, {})
            self.fleet.processes[name].kill()
            self.fleet.restart(name)

    def test_a_new_entry_starts_in_an_outage_from_its_peers(self):
        self.fleet.set_standin_faults("store", {"down": True})
        self.fleet.set_standin_faults("directory", {"down": True})
        try:
            name = "entry-north-b-1"
            self.fleet.processes[name].kill()
            process = self.fleet.restart(name)
            wait_for(lambda: call(process.operators, "GET", "/readyz")[0] == 200, "the entry to get its configuration from peers")
            self.assertEqual(call(process.address, "POST", "/v1/chat/completions", chat("m-born"), authorization())[0], 200)
        finally:
            self.fleet.set_standin_faults("store", {})
            self.fleet.set_standin_faults("directory", {})

    def test_an_entry_needs_no_directory(self):
        listen = {kind: f"127.0.0.1:{free_port()}" for kind in ("callers", "peers", "operators")}
        settings = {"name": "entry-alone", "region": "north", "availabilityZone": "north-c", "listen": listen, "store": [self.fleet.processes["store"].address]}
        process = self.fleet.start_entry(settings)
        wait_for(lambda: call(process.operators, "GET", "/readyz")[0] == 200, "the entry to be ready")
        self.assertEqual(process.stop(), 0)

    def test_a_planned_stop_finishes_queue_and_streams(self):
        name = "entry-south-a-2"
        process = self.fleet.processes[name]
        commands = [["curl", "-sS", "--no-buffer", "-H", f"Authorization: Bearer {KEYS['roaming']}", "-H", "Catkinwing-Class: long",
                     "-d", json.dumps(chat(f"m-stop-{number}", stream=True, tokens=300)), f"http://{process.address}/v1/chat/completions"] for number in range(20)]
        callers = [subprocess.Popen(command, stdout=subprocess.PIPE, text=True) for command in commands]
        wait_for(lambda: self.fleet.status(name)["requests"]["running"] == len(callers), "all requests to be in progress", 10)
        process.signal(15)
        wait_for(lambda: call(process.operators, "GET", "/readyz")[0] == 503, "the entry to drain", 10)
        process.signal(15)
        status, headers, text = call(process.address, "POST", "/v1/chat/completions", chat("m-late"), authorization())
        self.assertEqual((status, headers["Catkinwing-Outcome"], json.loads(text)["error"]["code"]), (503, "not-run", "draining"))
        self.assertIn("http://", headers["Catkinwing-Entries"])
        for caller in callers:
            output, _ = caller.communicate(timeout=60)
            self.assertTrue(output.rstrip().endswith("data: [DONE]"), output[-300:])
        self.assertEqual(process.popen.wait(timeout=30), 0)
        self.fleet.restart(name)


if __name__ == "__main__":
    unittest.main(verbosity=2)
