"""Streams that callers resume at other entries, and what must hold of them."""
import collections
import dataclasses
import re

import endpoint as endpoints

# The rule allows this many streams with events of two software versions.
MAX_JOINED = 2
# From this number of resumed streams on, their share that goes on is held against that of new streams that begin.
MIN_RESUMED = 12
MIN_SHARE = 0.5
EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+) (\S+)\n\n")


def read_events(body):
    """Returns the number and the version of each whole event, and whether anything else stands between them."""
    found, end, is_clean = [], 0, True
    for match in EVENT.finditer(body):
        is_clean = is_clean and match.start() == end and match[1] == match[2]
        found.append((int(match[1]), match[3].decode()))
        end = match.end()
    return found, is_clean and EVENT.search(body, end) is None


@dataclasses.dataclass
class Stream:
    """A stream over all attempts of its caller."""

    first: str
    versions: set
    last: int = 0
    joined_within: bool = False


class Streams:
    def __init__(self):
        self.streams = []
        self.counts = collections.Counter()

    def begin(self, sent, events):
        """Records the events of a caller's first attempt; returns the stream if it has any."""
        self.counts["new"] += 1
        if not events:
            return None
        self.counts["begun"] += 1
        stream = Stream(sent["attempt"], set())
        self.streams.append(stream)
        self.add(stream, events)
        return stream

    def add(self, stream, events):
        versions = {version for _, version in events}
        stream.joined_within = stream.joined_within or len(versions) > 1
        stream.versions |= versions
        stream.last = max(stream.last, events[-1][0])

    def resumed(self, stream, events, counts):
        """Records an attempt to resume a stream. It counts if the entry is in touch and two endpoints serve."""
        if counts:
            self.counts["resumed"] += 1
            self.counts["went on"] += 1 if events else 0
        if events:
            self.add(stream, events)

    def breaches(self):
        joined = [stream for stream in self.streams if len(stream.versions) > 1]
        if len(joined) > MAX_JOINED:
            within = sum(1 for stream in joined if stream.joined_within)
            yield "versions", f"{len(joined)} streams hold events of two versions, {within} within one answer: {[stream.first for stream in joined[:5]]}"
        if self.counts["resumed"] >= MIN_RESUMED:
            begun = self.counts["begun"] / max(self.counts["new"], 1)
            went_on = self.counts["went on"] / self.counts["resumed"]
            if went_on < MIN_SHARE * begun:
                yield "resuming", f"{went_on:.2f} of {self.counts['resumed']} resumed streams went on, {begun:.2f} of {self.counts['new']} new ones began"


def is_sequence(events, after):
    """Tells whether the events are the rest of a stream, in order and whole."""
    return [number for number, _ in events] == list(range(after + 1, endpoints.EVENTS + 1))
