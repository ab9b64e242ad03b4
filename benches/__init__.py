"""Measurements: slopes for ``docs/CAPACITY.md`` and comparisons of policies."""

import warnings

# The library says at import that it only mends bugs by now (docs/design/clashes.md).
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
