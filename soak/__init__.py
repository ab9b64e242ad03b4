"""A randomized soak: the real daemons as processes, faults from outside, promises checked meanwhile.

See ``docs/design/soak.md``; run with ``make soak SEED=... SECONDS=...``.
"""
