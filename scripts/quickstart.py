#!/usr/bin/env python3
"""Starts two regions of an example and sends one request of each kind."""
import argparse
import json
import sys
import tempfile

from example import Example
from fleet import call, wait_for
from platform_path import PlatformPath

REGIONS = ["caldas", "antioquia"]
TEAM_KEY = "manizales-fitters-key"
PORTAL_KEY = "manizales-families-key"


def authorization(key):
    return {"Authorization": f"Bearer {key}"}


def chat(marker, stream):
    return {"model": "fitting", "stream": stream, "max_tokens": 6,
            "messages": [{"role": "user", "content": f"marker={marker} Which size fits a foot of 192 mm?"}]}


def show(what, status, text):
    print(f"\n== {what}: status {status}")
    print(text.strip())


def stream_chat(address):
    status, _, text = call(address, "POST", "/v1/chat/completions", chat("streamed", True), authorization(TEAM_KEY))
    show("streaming chat request", status, text)
    assert status == 200 and "streamed" in text and text.rstrip().endswith("data: [DONE]"), "the stream is not whole"


def call_service(address):
    status, headers, text = call(address, "POST", "/services/portal/appointments", {"child": 7}, authorization(PORTAL_KEY))
    show("plain-service call", status, text)
    assert status == 200 and json.loads(text)["method"] == "POST", "the service did not answer"


def forwarded_chat(deployment, address):
    """Takes the region's engines away, so that the other region must serve."""
    fleet = deployment.fleet
    engines = [endpoint["name"] for endpoint in deployment.regions["caldas"]["endpoints"] if endpoint["kind"] == "engine"]
    for engine in engines:
        fleet.set_standin_faults(engine, {"leaving": True})

    def served_elsewhere():
        status, headers, text = call(address, "POST", "/v1/chat/completions", chat("forwarded", False), authorization(TEAM_KEY))
        if status != 200:
            return None
        request = headers["Catkinwing-Request-Id"]
        others = [endpoint["name"] for endpoint in deployment.regions["antioquia"]["endpoints"]]
        runs = [line for name in others for line in fleet.executions(name) if line.get("request_id") == request]
        return (status, text) if runs else None

    status, text = wait_for(served_elsewhere, "a request to be served by the other region", 30)
    show("chat request forwarded to the other region", status, text)
    # An engine that was leaving comes back only as a new start of it.
    for engine in engines:
        fleet.processes[engine].stop()
        fleet.restart(engine)


def served_by_routes(folder):
    """Shows the shape in which the users' platform runs an entry."""
    path = PlatformPath(folder)
    try:
        path.start()
        entry = path.resolve()
        show(f"directory of the platform's shape names {entry}; plain request", *path.ask(entry, "/orders/7"))
        status, text = path.ask(entry, "/stories/7")
        show("stream through the same entry", status, text)
        assert status == 200 and text.count("data: ") == 4, "the stream is not whole"
    finally:
        path.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="leave everything running and print the addresses")
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="catkinwing-quickstart-")
    deployment = Example("manizales", folder, REGIONS)
    keeps = False
    try:
        deployment.start()
        address = deployment.caller_address("caldas")
        stream_chat(address)
        call_service(address)
        forwarded_chat(deployment, address)
        served_by_routes(f"{folder}/platform")
        keeps = arguments.keep
        if keeps:
            print(json.dumps(deployment.addresses(), indent=2))
            print("process ids:", *[process.popen.pid for process in deployment.fleet.processes.values()])
            print(f"operator token: {deployment.fleet.operator_token}; caller's key: {TEAM_KEY}; logs: {folder}")
        print("\nquickstart: ok", flush=True)
        return 0
    finally:
        if not keeps:
            deployment.stop()


sys.exit(main())
