"""Endpoints that send refusals a second time and start again under new incarnations at their addresses, and what must hold of
requests meanwhile."""
import asyncio
import time

# Few endpoints, so that a request that was refused often comes back to the same connection.
ENDPOINTS = 1
CALLERS = 24
# When the copy of a refusal is sent: before the answer to the same request, before whichever answer is next, after a while on
# the idle connection, or in one piece with the refusal.
WHEN = ["same", "next", "idle", "at once"]
REFUSED_SHARE = 0.3
# Share of the runs in which entries are stopped, killed, frozen and cut off beside it. Answers may be lost there.
BESIDE_SHARE = 0.5


class Copies:
    """The refusals of one endpoint that are still to be sent again, by connection."""

    def __init__(self, random):
        self.random = random
        self.when = random.choice(WHEN)
        self.owed = {}
        # Connections whose request is being answered. A copy in between would be part of that answer.
        self.busy = set()
        self.sent = 0

    def refuse(self, attempt, refusal, writer):
        writer.write(refusal)
        if self.when == "at once":
            self.repeat(refusal, writer)
        elif self.when == "idle":
            asyncio.get_running_loop().call_later(self.random.uniform(0.001, 0.08), self.repeat_if_idle, refusal, writer)
        else:
            self.owed.setdefault(writer, []).append((attempt, refusal))

    def repeat(self, refusal, writer):
        if not writer.is_closing():
            self.sent += 1
            writer.write(refusal)

    def repeat_if_idle(self, refusal, writer):
        if writer not in self.busy:
            self.repeat(refusal, writer)

    def before_answer(self, attempt, writer):
        """Sends the copies that come before the answer to this request."""
        later = []
        for refused, refusal in self.owed.pop(writer, []):
            if self.when == "next" or refused == attempt:
                self.repeat(refusal, writer)
            else:
                later.append((refused, refusal))
        if later:
            self.owed[writer] = later

    def forget(self, writer):
        self.busy.discard(writer)
        self.owed.pop(writer, None)


def begin(soak, random):
    for endpoint in soak.endpoints:
        endpoint.copies = Copies(random)
        endpoint.is_unframed = False
        endpoint.fault, endpoint.fault_share = "refuse", random.choice([0, REFUSED_SHARE])


async def strike(soak, random, until):
    """One endpoint after another starts again under a new incarnation; the registration of the old one stays for a while."""
    while time.monotonic() < until - 1:
        await asyncio.sleep(random.uniform(0.2, 0.8))
        soak.number += 1
        soak.spawn(random.choice(soak.endpoints).start_as(f"i-{soak.number}", random.uniform(0.5, 2.0)))


def breaches(requests, by_attempt):
    """Where nothing but copies strikes, every request gets its endpoint's answer or a refusal."""
    for sent in requests:
        is_answered = sent["status"] in (200, 401, 403, 408, 421, 429, 503) and sent["how"] == str(sent["status"])
        if not is_answered and sent["how"] not in ("left", "cut by the caller"):
            yield "copies", f"{sent['attempt']} of {sent['prefix']} at {sent['entry'].name} ended as {sent['how']}, run {len(by_attempt.get(sent['attempt'], []))} times"
