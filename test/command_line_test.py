#!/usr/bin/env python3
"""Tests the programs through their command lines."""
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "scripts"))
from fleet import BUILD, ROOT  # noqa: E402


def run(program, *arguments):
    return subprocess.run([str(BUILD / "bin" / program), *map(str, arguments)], capture_output=True, text=True, timeout=60)


class CommandLineTest(unittest.TestCase):
    def test_help_and_version(self):
        for program in ("catkinwingd", "catkinwingctl", "catkinwing-replay"):
            self.assertEqual(run(program, "--help").returncode, 0)
            self.assertIn(program, run(program, "--version").stdout)

    def test_wrong_use(self):
        for arguments in (["catkinwingd"], ["catkinwingd", "--colour"], ["catkinwingd", "--config", "a", "b"], ["catkinwingctl"],
                          ["catkinwingctl", "dance", "--entry", "127.0.0.1:1"], ["catkinwingctl", "status"], ["catkinwingctl", "status", "--entry", "localhost:1"],
                          ["catkinwing-replay"]):
            result = run(*arguments)
            self.assertEqual(result.returncode, 2, (arguments, result))
            self.assertIn("--help", result.stderr)

    def test_examples_are_valid(self):
        for folder in sorted((ROOT / "examples").glob("*/config")):
            result = run("catkinwingctl", "validate", folder)
            self.assertEqual((result.returncode, result.stderr), (0, ""))
        for file in sorted((ROOT / "examples").glob("*/entries/*.json")):
            self.assertEqual(run("catkinwingd", "--config", file, "--check").returncode, 0)

    def test_every_fault_of_a_file_is_reported(self):
        example = json.loads((ROOT / "examples/manizales/entries/caldas-a-1.json").read_text())
        broken = {**example, "colour": "red", "store": ["nowhere"], "limits": {"maximumConnections": -1}}
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(json.dumps(broken))
            file.flush()
            for result in (run("catkinwingd", "--config", file.name, "--check"), run("catkinwingctl", "validate", file.name)):
                self.assertEqual(result.returncode, 1)
                for pointer in ("/colour", "/store/0", "/limits/maximumConnections"):
                    self.assertIn(f"{pointer}: ", result.stderr)

    def test_a_configuration_of_routes_is_checked_before_it_is_sent(self):
        route = {"name": "r1", "host": "a.example", "prefix": "/p/", "kind": "idempotent", "timeout_ms": 3000, "service": "app", "attempts": 2}
        workspace = {"name": "fitters", "api_keys": ["secret-1"], "unit": "tokens", "rate_per_s": 100, "burst": 100, "plain_tokens": 10}
        current = {"version": 7, "routes": [route], "services": [{"name": "app", "max_conns": 10}], "tenants": [workspace]}
        changed = {**current, "version": 8, "tenants": [{**workspace, "api_keys": ["secret-2"]}]}
        broken = {**changed, "version": 7, "routes": [route, {**route, "name": "r2", "latency_target_ms": 9000}]}
        with tempfile.TemporaryDirectory() as folder:
            files = {name: pathlib.Path(folder, name + ".json") for name in ("current", "changed", "broken", "garbage")}
            for name, document in (("current", current), ("changed", changed), ("broken", broken)):
                files[name].write_text(json.dumps(document))
            files["garbage"].write_text("{")
            sound = run("catkinwingctl", "check", files["changed"], "--against", files["current"])
            self.assertEqual(sound.returncode, 0, sound)
            self.assertIn("+ /tenants/0/api_keys/0", sound.stdout)
            self.assertIn("0 findings, 2 changes", sound.stdout)
            self.assertNotIn("secret", sound.stdout)
            result = run("catkinwingctl", "check", files["broken"], "--against", files["current"], "--format", "json")
            self.assertEqual(result.returncode, 1)
            report = json.loads(result.stdout)
            self.assertEqual([(finding["kind"], finding["subject"]) for finding in report["findings"]],
                             [("never_matches", "route r2"), ("contradiction", "route r2"), ("error", "version")])
            self.assertTrue(report["changes"])
            self.assertIn("error: /:", run("catkinwingctl", "check", files["garbage"]).stdout)
            self.assertEqual(run("catkinwingctl", "check", files["garbage"]).returncode, 1)
            self.assertEqual(run("catkinwingctl", "check", files["current"], "--against", files["garbage"]).returncode, 1)
        self.assertEqual(run("catkinwingctl", "check").returncode, 2)
        self.assertEqual(run("catkinwingctl", "check", "/nonexistent").returncode, 1)

    def test_the_story_of_a_request_is_joined_from_several_logs(self):
        first = [{"event": "request_ended", "request": "a1", "time_ms": 1120, "route": "r", "version": 7, "outcome": "completed", "reason": "",
                  "status": 200, "took_ms": 120, "forwarded": False, "attempts": 2, "to": "10.0.0.2:7", "why": "refused_here"},
                 {"event": "attempt_failed", "request": "a1", "time_ms": 1003, "attempt": 1, "to": "i-1", "region": "north", "why": "least_work_of_two",
                  "verdict": "not-run", "status": 503, "took_ms": 3, "detail": ""},
                 {"event": "request_ended", "request": "b2", "time_ms": 900}]
        second = {"event": "request_ended", "request": "a1", "time_ms": 1060, "forwarded": True, "status": 200}
        with tempfile.TemporaryDirectory() as folder:
            one, other = pathlib.Path(folder, "one.log"), pathlib.Path(folder, "other.log")
            one.write_text("not json\n" + "".join(f"12:00 entry-1 {json.dumps(line)}\n" for line in first))
            other.write_text(json.dumps(second) + "\n")
            result = run("catkinwingctl", "explain-request", "a1", one, other)
            self.assertEqual(result.returncode, 0)
            lines = result.stdout.splitlines()
            self.assertEqual(len(lines), 3)
            self.assertIn("attempt 1 to i-1 in north (least_work_of_two) came to not-run", lines[0])
            self.assertIn("forwarded request", lines[1])
            self.assertIn("the last to 10.0.0.2:7 (refused_here)", lines[2])
            self.assertEqual(run("catkinwingctl", "explain-request", "c3", one).returncode, 1)
            self.assertEqual(run("catkinwingctl", "explain-request", "a1").returncode, 2)

    def test_files_that_are_not_there(self):
        self.assertEqual(run("catkinwingd", "--config", "/nonexistent").returncode, 1)
        self.assertEqual(run("catkinwingctl", "validate", "/nonexistent").returncode, 1)
        self.assertEqual(run("catkinwingctl", "status", "--entry", "127.0.0.1:1", "--token", "x").returncode, 1)


if __name__ == "__main__":
    unittest.main()
