"""A daemon's links to the backend servers and to other daemons that have no fault."""

import random
from typing import Any

from bayglade.fleet import Fleet
from bayglade.forwarding import forwarding_off
from bayglade.metrics import Metrics
from bayglade.reachability import Reachability
from bayglade.stall_timeouts import StallTimeouts


def sound_links() -> dict[str, Any]:
    """Return the parts of a relay's context that deal with links and their delays."""
    metrics, rng = Metrics(None), random.Random(1)
    reachability = Reachability(Fleet(), lambda server: True, metrics, rng)
    forwarding = forwarding_off(reachability.is_isolated, metrics, rng)
    return {"reachability": reachability, "forwarding": forwarding, "stall_timeouts": StallTimeouts()}
