"""A crowd of clients that send more than they should and keep their connections open."""
import selectors
import socket
import ssl
import struct
import time

PIECE_BYTES = 64 << 10


def head(path, *fields):
    return "\r\n".join([f"POST {path} HTTP/1.1", *fields, "", ""]).encode()


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class Client:
    """One connection that sends what a form yields, as far as the peer takes it."""

    def __init__(self, address, pieces, tls=None):
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), timeout=20)
        if tls:
            self.socket = tls.wrap_socket(self.socket, server_hostname=host)
        self.socket.setblocking(False)
        self.pieces = pieces
        self.unsent = memoryview(b"")
        self.has_ended = False

    def advance(self):
        """Sends some bytes; returns whether any were taken."""
        try:
            if not self.unsent:
                self.unsent = memoryview(next(self.pieces))
            taken = self.socket.send(self.unsent)
            self.unsent = self.unsent[taken:]
            return taken > 0
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return False
        except (StopIteration, OSError):
            self.has_ended = True
            return False

    def close(self):
        self.socket.close()

    def reset(self):
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


class Http2Client(Client):
    """Fills the windows of many streams, or opens streams with large heads and never reads."""

    def __init__(self, address, fields, stream_bytes, streams=90, tls=None):
        super().__init__(address, iter(()), tls)
        self.windows = {0: 65535}
        self.initial_window = 65535
        self.received = b""
        self.never_reads = stream_bytes == 0
        self.pieces = self.frames(fields, stream_bytes, streams)

    @staticmethod
    def frame(kind, flags, stream, payload=b""):
        return struct.pack(">I", len(payload))[1:] + struct.pack(">BBI", kind, flags, stream) + payload

    def frames(self, fields, stream_bytes, streams):
        yield b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + self.frame(4, 0, 0)
        ends_stream = 0 if stream_bytes else 1
        for stream in range(1, 2 * streams, 2):
            self.windows[stream] = None
            yield self.frame(1, 4 | ends_stream, stream, fields)
        left = {stream: stream_bytes for stream in self.windows if stream and stream_bytes}
        while left:
            for stream in list(left):
                window = self.initial_window if self.windows[stream] is None else self.windows[stream]
                size = min(left[stream], window, self.windows[0], 16384)
                if size <= 0:
                    continue
                self.windows[0] -= size
                self.windows[stream] = window - size
                left[stream] -= size
                if not left[stream]:
                    del left[stream]
                yield self.frame(0, 0, stream, bytes(size))
            # Stands for a turn in which no window was open.
            yield b""

    def advance(self):
        if not self.never_reads:
            self.read_frames()
        return super().advance()

    def read_frames(self):
        try:
            self.received += self.socket.recv(PIECE_BYTES)
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return
        except OSError:
            self.has_ended = True
            return
        while len(self.received) >= 9:
            size = int.from_bytes(self.received[:3], "big")
            if len(self.received) < 9 + size:
                return
            kind, flags, stream = struct.unpack(">BBI", self.received[3:9])
            payload = self.received[9:9 + size]
            self.received = self.received[9 + size:]
            if kind == 8:
                window = self.initial_window if self.windows.get(stream) is None else self.windows[stream]
                self.windows[stream] = window + int.from_bytes(payload, "big")
            if kind == 4 and not flags:
                for at in range(0, size, 6):
                    name, value = struct.unpack(">HI", payload[at:at + 6])
                    if name == 4:
                        self.initial_window = value


class Crowd:
    """Sends until nobody has got further for a while, and then stays open until it is closed."""
    QUIET_SECONDS = 2
    MOST_SECONDS = 20

    def __init__(self, observe):
        """observe() is called now and then while the crowd sends."""
        self.clients = []
        self.observe = observe

    def join(self, client):
        self.clients.append(client)

    def send(self):
        started = moved_at = observed_at = time.monotonic()
        sending = selectors.DefaultSelector()
        for client in self.clients:
            sending.register(client.socket, selectors.EVENT_WRITE, client)
        while sending.get_map() and time.monotonic() - moved_at < self.QUIET_SECONDS and time.monotonic() - started < self.MOST_SECONDS:
            for key, _ in sending.select(timeout=0.1):
                client = key.data
                if client.advance():
                    moved_at = time.monotonic()
                if client.has_ended:
                    sending.unregister(client.socket)
            if time.monotonic() - observed_at > 0.1:
                self.observe()
                observed_at = time.monotonic()
        sending.close()

    def close(self):
        for client in self.clients:
            client.socket.close()
        self.clients = []
