#!/usr/bin/env python3
"""Tests what scripts and tests share to start processes."""
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "scripts"))
from fleet import free_port  # noqa: E402


def connection_ports():
    """Returns the lowest and the highest port that the system gives to connections."""
    return map(int, pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split())


class FreePortTest(unittest.TestCase):
    """A process that is started later must still find its port free."""

    def setUp(self):
        self.ports = [free_port() for _ in range(1000)]

    def test_no_port_is_given_twice(self):
        self.assertEqual(len(set(self.ports)), len(self.ports))

    def test_no_port_is_one_that_the_system_gives_to_connections(self):
        lowest, highest = connection_ports()
        self.assertEqual([port for port in self.ports if lowest <= port <= highest], [])


if __name__ == "__main__":
    unittest.main()
