"""The zones, routes, workspaces and keys of a soak, and the configuration that states them."""
import json

ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}
ROUTES = {
    "/plain/once/": ("plain", "non_idempotent", False, 1),
    "/plain/often/": ("plain", "idempotent", False, 2),
    "/stream/once/": ("model", "streaming", False, 1),
    "/stream/often/": ("model", "streaming", True, 2),
}
# Name, keys, homes and limit in requests a second of each workspace.
WORKSPACES = [
    ("wide", ["key-wide-1", "key-wide-2"], [], 0),
    ("bound", ["key-bound"], ["north"], 0),
    ("narrow", ["key-narrow"], [], 6),
]
HOLDERS = {key: name for name, keys, _, _ in WORKSPACES for key in keys}
LIMITED_KEYS = {key for _, keys, _, rate in WORKSPACES if rate for key in keys}
HOMES = {name: homes for name, _, homes, _ in WORKSPACES}
# Callers draw one of these; nobody holds the last one.
KEYS = ["key-wide-1"] * 6 + ["key-wide-2"] * 6 + ["key-bound"] * 4 + ["key-narrow"] * 5 + ["key-unknown"]


def configuration(version, timeout, random=None, probe=None):
    """With random, bounds of connections and the order of the routes are drawn anew. With probe, a plain route is added."""
    rows = {**ROUTES, **({probe: ROUTES["/plain/often/"]} if probe else {})}
    routes = [{"name": f"r{i}", "host": "soak.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout, "latency_target_ms": 500,
               "priority": 1, "service": service, "attempts": attempts, "affinity": prefix.startswith("/stream/"), "resumable": resumable, "gap_aim_ms": 300,
               "home_regions": []} for i, (prefix, (service, kind, resumable, attempts)) in enumerate(rows.items())]
    services = [{"name": name, "health_path": "/h", "max_conns": 200, "proto": "h1", "tls": False, "warmup_s": 0.0, "cold_per_s": 0.0}
                for name in ("plain", "model")]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    if random:
        random.shuffle(routes)
        for service in services:
            service["max_conns"] = random.choice([50, 100, 200])
        limits.update(header_timeout_ms=random.randint(2000, 6000), idle_timeout_ms=random.randint(2000, 15000))
    workspaces = [{"name": name, "api_keys": keys, "home_regions": homes, "rate_per_s": rate, "burst": rate} for name, keys, homes, rate in WORKSPACES]
    return json.dumps({"version": version, "routes": routes, "services": services, "limits": limits, "tenants": workspaces})
