"""Just enough HTTP/1.1 over asyncio streams for the soak's own sides."""
import asyncio
import socket
import struct


class Closed(Exception):
    """The other side closed, or broke off, before the message was whole."""


async def read_head(reader):
    """Returns the first line and the fields, names in lower case."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed from error
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def chunks(reader, fields):
    """Yields the pieces of a body as they arrive; raises Closed if it is cut."""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return
                yield piece[:-2]
        elif "content-length" in fields:
            left = int(fields["content-length"])
            while left > 0:
                piece = await reader.read(min(left, 65536))
                if not piece:
                    raise Closed
                left -= len(piece)
                yield piece
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Closed from error


async def read_body(reader, fields):
    body = b""
    async for piece in chunks(reader, fields):
        body += piece
    return body


def response(status, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def request(method, target, fields, body=b""):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes the connection by a reset. An orderly end would complete an answer with neither a length nor chunks."""
    connection = writer.get_extra_info("socket")
    if connection and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def serve(handler, port=0):
    """Serves connections on loopback; handler(reader, writer) may raise Closed."""

    async def run(reader, writer):
        try:
            await handler(reader, writer)
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(run, "127.0.0.1", port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]
