"""Randomized soak test: real daemon processes under injected faults, with checks of their guarantees.

See ``docs/design/soak.md``; run with ``make soak SEED=... SECONDS=...``.
"""
