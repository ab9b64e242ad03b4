"""Small stand-ins for the systems around the daemons, for demo, tests and bench."""

import warnings

# The library says at import that it only mends bugs by now (docs/design/clashes.md).
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
