"""Mechanisms of deciding that can be switched off, to measure what each is worth.

All are on unless a gateway's settings list them under ``without``; see
``benches/ablation.py``.
"""

from enum import Enum


class Mechanism(Enum):
    """One way of deciding, by the name that it has in the settings."""

    PAIRS = "pairs"
    """Two servers of a kind hold the same layers where memory allows."""

    CROSSING = "crossing"
    """Stages of several halls make up a path where no hall has a whole one."""

    SPILL = "spill"
    """Other halls are compared with the own one before that is full."""

    CROWDING = "crowding"
    """A stage costs more the fuller its KV cache is."""

    WAITING = "waiting"
    """A request that finds no room waits for it, while its caller does."""

    BEGUN_WAIT = "begun_wait"
    """A stream that has begun waits for a place, and for a repeat, until its time is over."""

    LEAVE_DEAD = "leave_dead"
    """A stream keeps its first stage when one behind it is dead, instead of being sent anew."""

    LEAVE_SLOW = "leave_slow"
    """Streams are moved off stages that turned slow."""

    LEAVE_PLANNED = "leave_planned"
    """Streams are moved off stages that leave as planned, before these end."""

    TURNS = "turns"
    """A look at a stream that stands still asks few stages of its path, by turns."""

    PATIENCE = "patience"
    """How long a stream may stand still before it is looked into is learned."""

    LENDING = "lending"
    """Retries that are left in a hall go to the daemon that needs them."""

    WARM = "warm"
    """First stages to which a connection rests are preferred."""

    CHANCE = "chance"
    """Costs of stages vary by chance, so that daemons do not all choose the same one."""


Without = frozenset[Mechanism]
"""The mechanisms that are switched off."""
