"""Benchmarks: costs by size for ``docs/CAPACITY.md``, and comparisons of policies."""

import warnings

# Eventlet warns at import that it is in maintenance mode (see docs/design/clashes.md).
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
