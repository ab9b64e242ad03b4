"""Ways of sharing a server's rate limit among daemons, in simulated time.

Run as ``python -m benches.sharing``. Nothing depends on the machine: arrivals come from fixed seeds.
"""

from benches.common import print_table, run
from standins.limit_sharing import Demand, Simulation, Way, allowed

DAEMONS = (8, 200)
RATES = (0.25, 1.0, 4.0, 16.0)
SECONDS = 60.0


def ways(churn: bool) -> None:
    """Print the worst window and the used part of the limit, for each way and load."""
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
    run({"steady": lambda: ways(False), "replaced": lambda: ways(True)})
