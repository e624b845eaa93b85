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
