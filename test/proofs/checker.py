"""Holds what callers were told against what endpoints executed."""
import collections
import json

from deployment import RESIDENT_REGION, STREAM_TOKENS

CHECKS = ("double executions", "wrong answers", "partial answers told as whole", "not run that ran",
          "residency breaches", "configuration reversals", "cut by a planned stop")


def answer_markers(text):
    """Returns the markers that stand in an answer, in whatever form it has."""
    words = text.replace('"', " ").replace("\\", " ").replace(",", " ").split()
    return {word.removeprefix("marker=") for word in words if word.removeprefix("marker=").startswith("m-")}


def stream_events(text):
    return [line.removeprefix("data: ") for line in text.splitlines() if line.startswith("data: ")]


def is_whole(record):
    """Tells whether a successful answer holds all that the endpoint said."""
    if record.kind == "stream":
        events = stream_events(record.text)
        if not events or events[-1] != "[DONE]":
            return False
        contents = [event for event in events[:-1] if json.loads(event)["choices"][0]["delta"].get("content")]
        return len(contents) == STREAM_TOKENS
    document = json.loads(record.text)
    if record.kind == "chat":
        return len(document["choices"][0]["message"]["content"].split()) == STREAM_TOKENS
    return document["service"] != ""


def is_told_whole(record):
    """Tells whether the caller had to take the answer for a whole one."""
    if record.status != 200 or not record.is_complete:
        return False
    return record.kind != "stream" or "[DONE]" in record.text


class Checker:
    """Counts what is broken; keeps the first few of each."""

    KEPT = 3

    def __init__(self):
        self.counts = collections.Counter({check: 0 for check in CHECKS})
        self.examples = collections.defaultdict(list)

    def note(self, check, example):
        self.counts[check] += 1
        if len(self.examples[check]) < self.KEPT:
            self.examples[check].append(str(example))

    def is_clean(self):
        return not any(self.counts.values())

    def check(self, records, executions):
        started = [line for line in executions if line["event"] == "started"]
        self._check_executions(records, started)
        self._check_answers(records)
        self._check_not_run(records, started)
        self._check_residency(records, started)

    def _check_executions(self, records, started):
        kinds = {record.marker: record.kind for record in records}
        counts = collections.Counter(line["marker"] for line in started)
        for marker, count in counts.items():
            if kinds.get(marker) in ("keyed", "book") and count > 1:
                self.note("double executions", [line for line in started if line["marker"] == marker])

    def _check_answers(self, records):
        for record in records:
            if not is_told_whole(record):
                continue
            if answer_markers(record.text) != {record.marker}:
                self.note("wrong answers", record)
            elif not is_whole(record):
                self.note("partial answers told as whole", record)

    def _check_not_run(self, records, started):
        by_request = collections.defaultdict(list)
        for line in started:
            by_request[line["request_id"]].append(line)
        for record in records:
            # A caller's request is known by its id; a repeat of a key has another.
            if record.outcome == "not-run" and record.request_id in by_request:
                self.note("not run that ran", (record, by_request[record.request_id]))

    def _check_residency(self, records, started):
        teams = {record.marker: record.team for record in records}
        for line in started:
            if teams.get(line["marker"]) == "resident" and line["region"] != RESIDENT_REGION:
                self.note("residency breaches", line)

    def check_revisions(self, samples):
        """Takes samples: (entry and its run, path) -> revisions in the order seen."""
        for place, revisions in samples.items():
            if any(later < earlier for earlier, later in zip(revisions, revisions[1:])):
                self.note("configuration reversals", (place, revisions))

    def check_planned_stop(self, records, entry, stopped_at, exit_code):
        if exit_code != 0:
            self.note("cut by a planned stop", f"{entry} exited with {exit_code}")
        for record in records:
            is_in_progress = record.entry == entry and record.sent_at < stopped_at < record.ended_at
            if is_in_progress and record.lost:
                self.note("cut by a planned stop", record)
