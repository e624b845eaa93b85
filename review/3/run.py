"""Requests whose framing is ambiguous carry another request in their body."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import rig as kit

REQUESTS = 10
DEADLINE_MS = 2500


def inner(number):
    """The request that is hidden in the body of another one, and that no client sends."""
    return kit.request("POST", "/bookings/hidden", kit.fields(f"inner-{number}", DEADLINE_MS), b"{}")


def two_lengths(body):
    return [("Content-Length", "2"), ("Content-Length", str(len(body)))]


def one_length(body):
    return [("Content-Length", str(len(body)))]


async def send(rig, entry, number, framing, body):
    """One request on a connection of its own; returns what came until the entry is quiet or closes."""
    head = [f"{name}: {value}" for name, value in kit.fields(f"outer-{number}", DEADLINE_MS) + framing(body)]
    reader, writer = await asyncio.open_connection(*entry.front())
    answer = b""
    try:
        writer.write(("\r\n".join(["POST /bookings/1 HTTP/1.1"] + head) + "\r\n\r\n").encode() + body)
        while piece := await asyncio.wait_for(reader.read(65536), 1):
            answer += piece
    except (asyncio.TimeoutError, ConnectionError):
        pass
    finally:
        writer.close()
    statuses = [line.split()[1].decode() for line in answer.replace(b"HTTP/1.1", b"\r\nHTTP/1.1").split(b"\r\n") if line.startswith(b"HTTP/1.1")]
    rig.note("answers", sent=f"outer-{number}", framing=framing.__name__, statuses=",".join(statuses))


async def play(rig):
    rig.configure(1, [kit.route("bookings", "/bookings/", "bookings")], [kit.service("bookings")])
    replicas = [kit.Replica(rig, "bookings", f"i-{i}") for i in (1, 2)]
    for replica in replicas:
        await replica.start()
    entry = await rig.add_entry()
    entry.start()
    await entry.await_ready()
    await asyncio.sleep(5.5)
    framing = two_lengths if kit.has_trouble() else one_length
    for number in range(REQUESTS):
        await send(rig, entry, number, framing, b"{}" + inner(number))
    runs = [attempt for replica in replicas for _, attempt, _, _ in replica.runs]
    hidden = sorted(attempt for attempt in runs if attempt.startswith("inner-"))
    outer = sum(attempt.startswith("outer-") for attempt in runs)
    rig.note("result", sent=REQUESTS, outer_runs=outer, hidden_runs=len(hidden))
    print(f"{REQUESTS} sent, {outer} of them run, {len(hidden)} hidden requests run")
    if hidden:
        return [f"UNASKED: {len(hidden)} requests ran that were smuggled inside others, such as {hidden[0]}"]
    return []


kit.main(pathlib.Path(__file__).parent, play)
