#!/usr/bin/env python3
"""Tests scripts/failed-tests on a log as ctest prints it for tests that run at once."""
import pathlib
import subprocess
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parents[1] / "scripts" / "failed-tests"

LOG = """\
      Start 1: Http.a
1/4 Test #2: Http.a test ......   Passed    0.17 sec
      Start 3: Http.a test (of two)
2/4 Test #1: Http.a ...........***Failed    0.07 sec
the output of a
      Start 4: Http.b
3/4 Test #3: Http.a test (of two) ......***Timeout  30.00 sec
the output of the second
4/4 Test #4: Http.b ...........***Exception: SegFault  0.01 sec

25% tests passed, 3 tests failed out of 4

Total Test time (real) =   0.50 sec

The following tests FAILED:
	  1 - Http.a (Failed)
	  3 - Http.a test (of two) (Timeout)
	  4 - Http.b (SEGFAULT)
Errors while running CTest
"""


class FailedTestsTest(unittest.TestCase):
    def run_script(self, *arguments):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as log:
            log.write(LOG)
            log.flush()
            command = [SCRIPT] + [log.name if argument == "LOG" else argument for argument in arguments]
            return subprocess.run(command, check=True, capture_output=True, text=True).stdout

    def test_names(self):
        self.assertEqual(self.run_script("LOG").splitlines(), ["Http.a", "Http.a test (of two)", "Http.b"])

    def test_output_of_a_failed_test_and_of_no_other(self):
        self.assertEqual(
            self.run_script("--output", "LOG", "Http.a").splitlines(),
            ["2/4 Test #1: Http.a ...........***Failed    0.07 sec", "the output of a"],
        )
        self.assertEqual(
            self.run_script("--output", "LOG", "Http.a test (of two)").splitlines()[1:], ["the output of the second"]
        )


if __name__ == "__main__":
    unittest.main()
