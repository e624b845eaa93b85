#!/usr/bin/env python3
"""Shows that the checker finds each kind of breach, and passes what is right."""
import json
import unittest

from callers import Record
from checker import Checker
from deployment import STREAM_TOKENS


def chat_text(marker, tokens=STREAM_TOKENS):
    content = " ".join([marker] + ["word"] * (tokens - 1))
    return json.dumps({"choices": [{"message": {"content": content}}]})


def stream_text(marker, tokens=STREAM_TOKENS, is_ended=True):
    words = [marker] + ["word"] * (tokens - 1)
    events = [json.dumps({"choices": [{"delta": {"content": f" {word}"}}]}) for word in words]
    if is_ended:
        events.append("[DONE]")
    return "".join(f"data: {event}\n\n" for event in events)


def whole(kind, marker, text, team="roaming"):
    return Record(marker, team, kind, "entry", status=200, text=text, is_complete=True, request_id=f"r-{marker}")


def run_of(marker, region="north", request_id=None):
    return {"event": "started", "marker": marker, "region": region, "request_id": request_id or f"r-{marker}"}


class CheckerTest(unittest.TestCase):
    def count(self, check, records, executions=()):
        checker = Checker()
        checker.check(records, list(executions))
        total = sum(checker.counts.values())
        self.assertEqual(total, checker.counts[check], checker.counts)
        return total

    def test_right_answers_pass(self):
        records = [whole("chat", "m-1", chat_text("m-1")), whole("stream", "m-2", stream_text("m-2"), "resident")]
        self.assertEqual(self.count("wrong answers", records, [run_of("m-1"), run_of("m-2")]), 0)

    def test_double_execution(self):
        record = whole("keyed", "m-1", json.dumps({"service": "s", "marker": "m-1"}))
        self.assertEqual(self.count("double executions", [record], [run_of("m-1"), run_of("m-1", request_id="other")]), 1)

    def test_repeated_reads_are_no_breach(self):
        record = whole("read", "m-1", json.dumps({"service": "s", "marker": "m-1"}))
        self.assertEqual(self.count("double executions", [record], [run_of("m-1"), run_of("m-1")]), 0)

    def test_wrong_answer(self):
        self.assertEqual(self.count("wrong answers", [whole("chat", "m-1", chat_text("m-2"))]), 1)

    def test_two_answers_in_one(self):
        text = stream_text("m-1", is_ended=False) + stream_text("m-2")
        self.assertEqual(self.count("wrong answers", [whole("stream", "m-1", text)]), 1)

    def test_short_stream_told_as_whole(self):
        record = whole("stream", "m-1", stream_text("m-1", tokens=5))
        self.assertEqual(self.count("partial answers told as whole", [record]), 1)

    def test_broken_stream_is_no_breach(self):
        record = whole("stream", "m-1", stream_text("m-1", tokens=5, is_ended=False))
        self.assertEqual(self.count("partial answers told as whole", [record]), 0)

    def test_not_run_that_ran(self):
        record = Record("m-1", "roaming", "book", "entry", status=503, outcome="not-run", request_id="r-m-1", is_complete=True)
        self.assertEqual(self.count("not run that ran", [record], [run_of("m-1")]), 1)

    def test_residency_breach(self):
        record = whole("chat", "m-1", chat_text("m-1"), "resident")
        self.assertEqual(self.count("residency breaches", [record], [run_of("m-1", region="south")]), 1)

    def test_revision_that_goes_back(self):
        checker = Checker()
        checker.check_revisions({("entry", 1, "global"): [1, 3, 3, 4], ("other", 1, "global"): [1, 3, 2]})
        self.assertEqual(checker.counts["configuration reversals"], 1)

    def test_request_cut_by_a_planned_stop(self):
        checker = Checker()
        cut = Record("m-1", "roaming", "chat", "entry", lost="reset", sent_at=1, ended_at=3)
        late = Record("m-2", "roaming", "chat", "entry", lost="refused", sent_at=2.5, ended_at=3)
        checker.check_planned_stop([cut, late], "entry", 2, 0)
        self.assertEqual(checker.counts["cut by a planned stop"], 1)


if __name__ == "__main__":
    unittest.main()
