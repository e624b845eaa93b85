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

    def test_files_that_are_not_there(self):
        self.assertEqual(run("catkinwingd", "--config", "/nonexistent").returncode, 1)
        self.assertEqual(run("catkinwingctl", "validate", "/nonexistent").returncode, 1)
        self.assertEqual(run("catkinwingctl", "status", "--entry", "127.0.0.1:1", "--token", "x").returncode, 1)


if __name__ == "__main__":
    unittest.main()
