#!/usr/bin/env python3
"""Checks the options, exit codes, start line and end of catkinwing-standin."""
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest
import urllib.request

PROGRAM = sys.argv.pop(1)
TIMEOUT = 30


def run(*arguments):
    return subprocess.run([PROGRAM, *arguments], capture_output=True, text=True, timeout=TIMEOUT)


class Standin:
    """A stand-in that runs until the end of the block."""

    def __init__(self, *arguments):
        self.process = subprocess.Popen([PROGRAM, *arguments, "--listen", "127.0.0.1:0"], stdout=subprocess.PIPE, text=True)
        self.address = self.process.stdout.readline().split()[1]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.process.kill()
        self.process.wait(TIMEOUT)
        self.process.stdout.close()

    def call(self, path, body=None, method=None, headers=None):
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(f"http://{self.address}{path}", data, headers or {}, method=method)
        with urllib.request.urlopen(request, timeout=TIMEOUT) as answer:
            return json.load(answer)

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(TIMEOUT)


class CommandLineTest(unittest.TestCase):
    def test_help_and_version_succeed(self):
        self.assertRegex(run("--version").stdout, r"^catkinwing-standin \d+\.\d+\.\d+\n$")
        self.assertIn("directory", run("--help").stdout)
        for kind in ("store", "directory", "weights", "engine", "service", "raw", "platform-store", "platform-endpoint"):
            result = run(kind, "--help")
            self.assertEqual(result.returncode, 0)
            self.assertIn("--listen", result.stdout)

    def test_wrong_usage_exits_with_2(self):
        for arguments in (
            [],
            ["unknown"],
            ["store"],
            ["store", "--listen", "localhost:1"],
            ["store", "--listen", "127.0.0.1:0", "--slots", "3"],
            ["store", "--listen", "127.0.0.1:0", "extra"],
            ["store", "--listen", "127.0.0.1:0", "--seed", "x"],
            ["engine", "--listen", "127.0.0.1:0", "--slots", "0"],
            ["engine", "--listen", "127.0.0.1:0", "--event-gap-rate", "2"],
            ["directory", "--listen", "127.0.0.1:0", "--lag", "5"],
            ["raw", "--listen", "127.0.0.1:0"],
        ):
            with self.subTest(arguments=arguments):
                result = run(*arguments)
                self.assertEqual(result.returncode, 2)
                self.assertIn("catkinwing-standin: ", result.stderr)
                self.assertEqual(result.stdout, "")

    def test_failure_exits_with_1(self):
        with Standin("service") as first:
            self.assertEqual(run("service", "--listen", first.address).returncode, 1)
        self.assertEqual(run("service", "--listen", "127.0.0.1:0", "--log", "/nonexistent/log").returncode, 1)
        self.assertEqual(run("raw", "--listen", "127.0.0.1:0", "--answer", "/nonexistent").returncode, 1)

    def test_every_kind_starts_and_ends_cleanly(self):
        for kind in ("store", "directory", "weights", "engine", "service", "platform-store", "platform-endpoint"):
            with self.subTest(kind=kind), Standin(kind) as standin:
                self.assertEqual(standin.call("/standin/counters")["total"], 0)
                self.assertEqual(standin.stop(), 0)

    def test_an_open_stream_does_not_hold_up_the_end(self):
        with Standin("engine") as standin:
            body = json.dumps({"prompt": "x", "stream": True, "max_tokens": 100000}).encode()
            with urllib.request.urlopen(f"http://{standin.address}/v1/completions", body, timeout=TIMEOUT) as stream:
                self.assertTrue(stream.readline().startswith(b"data: "))
                self.assertEqual(standin.stop(), 0)

    def test_the_log_tells_of_executions_and_survives_a_kill(self):
        with tempfile.TemporaryDirectory() as folder:
            log = pathlib.Path(folder, "log")
            with Standin("service", "--name", "bookings", "--log", str(log)) as standin:
                headers = {"Catkinwing-Request-Id": "r-1", "Catkinwing-Team": "t", "Idempotency-Key": "k"}
                answer = standin.call("/b?marker=VALLE-1", {}, headers=headers)
                self.assertEqual(answer["service"], "bookings")
                standin.process.kill()
            lines = [json.loads(line) for line in log.read_text().splitlines()]
            self.assertEqual([line["event"] for line in lines], ["received", "started", "finished"])
            started = lines[1]
            self.assertEqual(started["request_id"], "r-1")
            self.assertEqual(started["idempotency_key"], "k")
            self.assertEqual(started["marker"], "VALLE-1")
            self.assertEqual(started["method"], "POST")

    def test_faults_are_set_and_read(self):
        with Standin("service") as standin:
            standin.call("/standin/faults", {"refuse": {"times": 1}}, "PUT")
            self.assertEqual(standin.call("/standin/faults")["refuse"]["times"], 1)
            with self.assertRaises(urllib.error.HTTPError) as refused:
                standin.call("/a", {})
            with refused.exception as error:
                self.assertEqual(error.code, 503)
                self.assertEqual(error.headers["Catkinwing-Executed"], "false")
            self.assertEqual(standin.call("/a", {})["execution"], 1)

    def test_the_raw_kind_answers_with_its_file(self):
        with tempfile.TemporaryDirectory() as folder:
            answer = pathlib.Path(folder, "answer")
            answer.write_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}stray")
            with Standin("raw", "--answer", str(answer), "--close") as standin:
                self.assertEqual(standin.call("/"), {})
                self.assertEqual(standin.stop(), 0)


unittest.main()
