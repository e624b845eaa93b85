"""Partitions between entries and all endpoints. All of them share one machine, so the process that
owns the other end of a connection tells which entry it is from."""
import asyncio
import os
import time

import wire

# Connections hang and deliver later, or are reset. New ones are accepted first, since only the one who
# connects tells the entry: that is harder than a partition, in which no connection stands.
MODES = ("hang", "reset")


def ports_of(pid):
    """Returns the local TCP ports of a process."""
    try:
        links = [os.readlink(f"/proc/{pid}/fd/{name}") for name in os.listdir(f"/proc/{pid}/fd")]
    except OSError:
        return set()
    inodes = {link[len("socket:["):-1] for link in links if link.startswith("socket:[")}
    with open("/proc/net/tcp") as file:
        rows = [line.split() for line in file.readlines()[1:]]
    return {int(row[1].rsplit(":", 1)[1], 16) for row in rows if row[9] in inodes}


class Cut:
    def __init__(self, entry, mode):
        self.entry, self.mode = entry, mode
        self.began, self.ended = time.monotonic(), None
        self.healed = asyncio.Event()


class Partition:
    def __init__(self):
        self.cuts = []

    def open_cuts(self):
        return [cut for cut in self.cuts if cut.ended is None]

    def cut_of(self, port):
        """Returns the cut that the connection from a port of this machine is in."""
        for cut in self.open_cuts():
            if cut.entry.alive() and port in ports_of(cut.entry.process.pid):
                return cut
        return None

    async def passes(self, writer):
        """Waits while the connection hangs. Returns whether it lives on, and whether it hung."""
        peer = writer.get_extra_info("peername")
        cut = self.cut_of(peer[1]) if peer else None
        if cut is None:
            return True, False
        if cut.mode == "hang":
            await cut.healed.wait()
            return True, True
        wire.reset(writer)
        return False, False

    async def cut(self, entry, mode, seconds):
        cut = Cut(entry, mode)
        self.cuts.append(cut)
        await asyncio.sleep(seconds)
        cut.ended = time.monotonic()
        cut.healed.set()
