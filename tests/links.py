"""A daemon's links to the backend servers and to other daemons that have no fault."""

import random
from typing import Any

from bayglade.fleet import Fleet
from bayglade.forwarding import Forwarding
from bayglade.ids import MemberId
from bayglade.metrics import Metrics
from bayglade.reachability import Reachability


def sound_links() -> dict[str, Any]:
    """Return the parts of a relay's context that deal with links."""
    metrics, rng = Metrics(None), random.Random(1)
    reachability = Reachability(Fleet(), lambda server: True, metrics, rng)
    forwarding = Forwarding(
        MemberId("d0"),
        reachability.is_isolated,
        dict,
        lambda: None,
        lambda: 0,
        lambda message: None,
        metrics,
        rng,
    )
    return {"reachability": reachability, "forwarding": forwarding}
