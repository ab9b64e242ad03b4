"""The configuration that the operator of the stand-in writes to the store."""

from collections.abc import Sequence
from typing import Any

LAYERS = 12
EVENTS = 12
EVENT_SECONDS = 0.02
KEY = "a-key"
GROUP = "clinic"
MODEL, PLAIN = "model-service", "plain-service"
HOST_NAME = "site.example"
MAX_ATTEMPTS = 2
"""Servers on which a request may run, by its route."""


def configuration(version: int, keys: tuple[str, ...], changes: dict[str, Any]) -> dict[str, Any]:
    """Make a configuration with a streamed, a repeatable, a non-repeatable and a public route.

    :param version: its version.
    :param keys: the API keys of its only tenant.
    :param changes: entries to change in every route.
    """
    common = {
        "host": HOST_NAME,
        "timeoutMs": 1500,
        "sloMs": 300,
        "priority": 1,
        "maxAttempts": MAX_ATTEMPTS,
        **changes,
    }
    stream = {"resumable": True, "gap_aim_ms": 200, "timeoutMs": 5000, **changes}
    engine = {
        "slots": 8,
        "kvCapacity": 1000,
        "kvTokenBytes": 12e6,
        "step_ms": 1.0,
        "read_per_s": 10000.0,
        "models": [{"name": "m", "load_s": 0.1}],
        "loads_at_once": 4,
        "layers": LAYERS,
        "layer_mb": 1000.0,
        "kinds": [{"name": "card", "mb": 14000.0, "pace": 1.0, "read_x": 1.0}],
    }
    return {
        "version": version,
        "routes": [
            {**common, "name": "s", "pathPrefix": "/stream/", "kind": "stream", "service": MODEL, **stream},
            {**common, "name": "r", "pathPrefix": "/safe/", "kind": "safe", "service": PLAIN},
            {**common, "name": "o", "pathPrefix": "/once/", "kind": "unsafe", "service": PLAIN},
            {
                **common,
                "name": "p",
                "pathPrefix": "/open/",
                "kind": "safe",
                "service": PLAIN,
                "public": True,
            },
        ],
        "services": [{"name": MODEL, "engine": engine}, {"name": PLAIN, "maxConns": 100}],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 10000,
            "headerTimeoutMs": 700,
            "idleTimeoutMs": 5000,
        },
        "tenants": [{"name": GROUP, "apiKeys": list(keys), "priority": 1}],
    }


def with_urgencies(document: dict[str, Any], urgencies: Sequence[int]) -> dict[str, Any]:
    """Return a configuration with a streamed route of the model for each urgency, and little cache memory.

    The cache of a server that holds half of the layers has room for two requests of 50 tokens, so that few
    callers ask for more than all servers can run.

    :param document: a configuration by :func:`configuration`.
    :param urgencies: urgencies as on the wire, 0 is the most urgent; the path prefix of a route ends in it.
    """
    routes = document["routes"]
    stream = next(route for route in routes if route["service"] == MODEL)
    added = [
        {**stream, "name": f"s{urgency}", "pathPrefix": f"/stream{urgency}/", "priority": urgency}
        for urgency in urgencies
    ]
    engine = {**document["services"][0]["engine"], "kvCapacity": 100, "kvTokenBytes": 120e6}
    services = [{**document["services"][0], "engine": engine}, *document["services"][1:]]
    # The priority of a tenant would override that of the routes.
    tenants = [{name: tenant[name] for name in ("name", "apiKeys")} for tenant in document["tenants"]]
    return {**document, "routes": [*routes, *added], "services": services, "tenants": tenants}
