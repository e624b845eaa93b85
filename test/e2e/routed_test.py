"""An entry of the users' platform as a process, beside stand-ins that are processes."""
import fcntl
import http.client
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import BUILD, call, wait_for
import platform_path
from platform_path import HOST, PlatformPath


class BrokenEndpoint:
    """An endpoint that answers each request with bytes of the test's choice."""

    def __init__(self):
        self.answer = b""
        self.leaves_body_unread = False
        self.requests = 0
        # Connections aren't ended as long as it isn't set.
        self.may_end = threading.Event()
        self.may_end.set()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection:
            self.answer_request(connection)

    def answer_request(self, connection):
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(2048) or b"\r\n\r\n"
        head, _, body = received.partition(b"\r\n\r\n")
        fields = {name.lower(): value.strip() for name, _, value in (line.partition(b":") for line in head.split(b"\r\n"))}
        left = 0 if self.leaves_body_unread else int(fields.get(b"content-length", 0)) - len(body)
        while left > 0:
            left -= len(connection.recv(left)) or left
        self.requests += 1
        connection.sendall(self.answer.replace(b"{id}", fields.get(b"attempt-id", b"")))
        self.may_end.wait(timeout=60)
        if self.leaves_body_unread:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def close(self):
        self.may_end.set()
        self.listener.close()


class RoutedTest(unittest.TestCase):
    def start(self, **options):
        path = PlatformPath(tempfile.mkdtemp(prefix="catkinwing-routed-"), **options)
        self.addCleanup(path.stop)
        path.start()
        return path

    def test_a_reader_of_the_logs_that_stops_reading_stops_nothing(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        # The smallest pipe that the kernel makes: about fifteen lines.
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        path = self.start(entry_output=writer)
        os.close(writer)
        for number in range(100):
            self.assertEqual(path.ask(path.addresses["callers"], f"/nowhere/{number}")[0], 404)
        self.assertEqual(path.ask(path.addresses["callers"], "/orders/1")[0], 200)

        # Once it reads again, it is told how much it missed.
        def reports_loss():
            call(path.addresses["callers"], "POST", "/nowhere/late", b"", {"Host": HOST})
            lines = os.read(reader, 4096).decode().splitlines()
            return any(json.loads(line)["event"] == "log_lines_dropped" and "reason" in json.loads(line) for line in lines)

        wait_for(reports_loss, "the loss to be reported")

    def test_what_is_open_at_sigterm_is_answered_and_what_comes_late_is_told_so(self):
        path = self.start(order_delay="1s")
        entry = path.addresses["callers"]
        answers = []
        slow = threading.Thread(target=lambda: answers.append(path.ask(entry, "/orders/slow")))
        kept = http.client.HTTPConnection(*entry.split(":"))
        self.addCleanup(kept.close)
        kept.connect()
        slow.start()
        wait_for(lambda: path.fleet.executions("orders-1"), "the order to run")
        path.entry.signal(signal.SIGTERM)
        wait_for(lambda: "draining" in path.entry.log.read_text(), "the entry to drain")
        kept.request("POST", "/orders/late", headers={"Host": HOST, "Attempt-Id": "late-1"})
        late = kept.getresponse()
        self.assertIn(late.status, (200, 503))
        if late.status == 503:
            self.assertIsNotNone(late.headers["Retry-After"])
        slow.join()
        self.assertEqual(answers[0][0], 200)
        self.assertEqual(path.entry.popen.wait(timeout=30), 0)

    def test_limits_of_endpoints_are_shown_to_operators(self):
        path = self.start(request_limit="0.25")
        entry = path.addresses["callers"]
        self.assertEqual(path.ask(entry, "/orders/1")[0], 200)
        self.assertEqual(path.ask(entry, "/orders/2")[0], 503)
        limits = [str(BUILD / "bin/catkinwingctl"), "limits", "--entry", path.addresses["operators"]]
        line = "endpoint orders-1 of orders: limit 0.25 a second, share 0.25, 0 other holders"
        # The entry has no share until its registration has come back from the store.
        wait_for(lambda: line in subprocess.run(limits, capture_output=True, text=True, check=True).stdout, "the entry's share")
        metrics = call(path.addresses["operators"], "GET", "/metrics")[2]
        self.assertIn('{name="endpoint_limits_in_force"} 1', metrics)

    def test_broken_answers_reach_no_client(self):
        path = self.start()
        endpoint = BrokenEndpoint()
        self.addCleanup(endpoint.close)
        path.write("servers/broken-1", path.registration("broken", endpoint.address))
        configuration = platform_path.configuration()
        configuration["version"] = 2
        configuration["services"].append({"name": "broken", "max_conns": 50})
        configuration["routes"].append({**configuration["routes"][0], "name": "broken", "prefix": "/broken/", "service": "broken"})
        path.write("op/config", configuration)
        entry = path.addresses["callers"]
        marks = b"Attempt-Id: {id}\r\nReply-Seal: seal\r\n"
        fields = marks + b"Content-Length: 6\r\n"
        endpoint.answer = b"HTTP/1.1 200 OK\r\n" + fields + b"\r\nsound!"
        wait_for(lambda: path.ask(entry, "/broken/0") == (200, "sound!"), "the endpoint to be used")

        def check_withheld(answer, body=b"{}"):
            endpoint.answer = answer
            before = endpoint.requests

            # Entries refuse some of the requests for endpoints that always fail.
            def status():
                self.assertEqual(path.ask(entry, "/orders/1")[0], 200)
                status = call(entry, "POST", "/broken/1", body, {"Host": HOST, "Attempt-Id": "broken-1"})[0]
                return status if status != 503 else None

            self.assertEqual(wait_for(status, "the endpoint to be asked"), 502, answer)
            self.assertEqual(endpoint.requests, before + 1)

        for status in (b"000", b"099", b"600", b"999"):
            check_withheld(b"HTTP/1.1 " + status + b" Status\r\n" + fields + b"\r\nbroken")
        for name in (b"x y", b"x\x01", b"Content-Length "):
            check_withheld(b"HTTP/1.1 200 OK\r\n" + fields + name + b": 3\r\n\r\nbroken")
        for cut in (b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\n" + marks + b"Content-Length: 0\r\n"):
            check_withheld(cut)
        endpoint.leaves_body_unread = True
        check_withheld(b"HTTP/1.1 200 OK\r\n" + marks + b"\r\npart", b"x" * 900_000)

    def test_streams_of_an_entry_that_ends_look_cut(self):
        """Guards against the kernel, which ends the connections of a process in an orderly way."""
        for ending in (signal.SIGKILL, signal.SIGTERM):
            with self.subTest(signal=ending):
                self.check_streams_look_cut(ending)

    def check_streams_look_cut(self, ending):
        path = self.start()
        endpoint = BrokenEndpoint()
        self.addCleanup(endpoint.close)
        endpoint.may_end.clear()
        endpoint.answer = (b"HTTP/1.1 206 Part\r\nAttempt-Id: {id}\r\nReply-Seal: seal\r\nContent-Type: text/event-stream\r\n"
                           b"Transfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n")
        path.write("servers/stories-1", path.registration("stories", endpoint.address))
        wait_for(lambda: self.first_event(path, b"1.1"), "the endpoint to be used")
        streams = {version: self.first_event(path, version) for version in (b"1.0", b"1.1")}
        path.entry.signal(ending)
        path.entry.popen.wait(timeout=30)
        client, _ = streams[b"1.0"]
        with self.assertRaises(ConnectionResetError):
            client.recv(1024)
        client, received = streams[b"1.1"]
        self.assertIn(b"chunked", received.lower())
        self.assertEqual(client.recv(1024), b"")

    def first_event(self, path, version):
        """Returns a connection on which the first event of a stream has come, and what came; None if the request was refused."""
        client = socket.create_connection(path.addresses["callers"].split(":"), timeout=10)
        self.addCleanup(client.close)
        client.sendall(b"POST /stories/1 HTTP/%s\r\nHost: %s\r\nAttempt-Id: %d\r\nContent-Length: 0\r\n\r\n" % (version, HOST.encode(), client.fileno()))
        received = b""
        while b"data: one" not in received:
            part = client.recv(1024)
            received += part
            if not part or b" 503 " in received or b"Content-Length" in received:
                return None
        return client, received

    def test_odd_registrations_end_no_process(self):
        path = self.start()
        sound = path.registration("orders", "127.0.0.1:80")
        values = ["[" * 100_000 + "]" * 100_000, '{"service":' * 50_000, "", "null", "\xff", json.dumps({**sound, "addr": "127.0.0.1:99999"}),
                  json.dumps(sound)[:-1] + ', "slots": 1e999}', json.dumps(sound)[:-1] + ', "seq": 99999999999999999999999}']
        for prefix in ("servers/", "catkinwing/entries/", "catkinwing/"):
            for number, value in enumerate(values):
                path.write_text(f"{prefix}odd-{number}", value)
        for number in range(20):
            self.assertEqual(path.ask(path.addresses["callers"], f"/stories/{number}")[0], 200)
        # A process that starts reads all of them at once.
        path.entry.signal(signal.SIGTERM)
        self.assertEqual(path.entry.popen.wait(timeout=30), 0)
        path.start_entry()
        for number in range(20):
            self.assertEqual(path.ask(path.addresses["callers"], f"/stories/{number}")[0], 200)
        self.assertTrue(path.entry.is_running())


if __name__ == "__main__":
    unittest.main()
