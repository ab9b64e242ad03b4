"""Policies for sharing a server's rate limit among daemons, in a simulation.

Run as ``python -m benches.sharing``. Results do not depend on the machine; arrivals use fixed seeds.
"""

from benches.common import print_table, run
from standins.limit_sharing import Demand, Simulation, Way, allowed

DAEMONS = (8, 200)
RATES = (0.25, 1.0, 4.0, 16.0)
SECONDS = 60.0


def compare_policies(churn: bool) -> None:
    """Print the worst window and the used fraction of the limit, for each policy and load."""
    rows = []
    for daemons in DAEMONS:
        for rate in RATES:
            for demand in Demand:
                results = [Simulation(w, demand, rate, daemons, churn=churn).run(SECONDS) for w in Way]
                cells = [f"{result.worst} ({result.used:.2f})" for result in results]
                rows.append([daemons, rate, demand.name.lower(), allowed(rate), *cells])
    headers = ["daemons", "limit", "load", "allowed", *(way.name.lower() for way in Way)]
    print_table("worst 4 s (used part)" + (", daemons replaced" if churn else ""), headers, rows)


if __name__ == "__main__":
    run({"steady": lambda: compare_policies(False), "replaced": lambda: compare_policies(True)})
