"""Stand-ins for the systems around the daemons, for the demo, the tests and the benchmarks."""

import warnings

# Eventlet warns at import that it is in maintenance mode (see docs/design/clashes.md).
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
