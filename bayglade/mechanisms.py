"""Routing mechanisms that can be switched off to measure their effect.

All are on unless the ``without`` setting of a gateway lists them; see
``benches/ablation.py``.
"""

from enum import Enum


class Mechanism(Enum):
    """A routing mechanism; the value is its name in the settings."""

    PAIRS = "pairs"
    """Two servers of the same kind hold the same layers where memory allows."""

    CROSSING = "crossing"
    """A path may use stages of several halls if no hall has a complete one."""

    SPILL = "spill"
    """Other halls are considered before the daemon's own hall is full."""

    CROWDING = "crowding"
    """The cost of a stage rises with the fill level of its KV cache."""

    WAITING = "waiting"
    """A request that finds no free capacity waits for it, as long as its caller does."""

    BEGUN_WAIT = "begun_wait"
    """A stream that has delivered events waits for capacity and for a retry until its deadline."""

    LEAVE_DEAD = "leave_dead"
    """When a later stage dies, a stream keeps its first stage and is rerouted instead of sent anew."""

    LEAVE_SLOW = "leave_slow"
    """Streams are rerouted off stages that have become slow."""

    LEAVE_PLANNED = "leave_planned"
    """Streams are rerouted off stages with a planned shutdown, before it happens."""

    TURNS = "turns"
    """The check of a stalled stream probes a few stages of its path, in rotation, rather than all."""

    PATIENCE = "patience"
    """The time after which a stalled stream is checked is learned from previous streams."""

    LENDING = "lending"
    """Unused retry budget of a hall is lent to the daemon that needs it."""

    WARM = "warm"
    """First stages to which an idle connection is open are preferred."""

    FORWARDING = "forwarding"
    """A daemon that reaches no server has its calls served through another daemon."""

    WITHDRAWAL = "withdrawal"
    """A daemon that reaches no server, nor a daemon that does, is not ready."""

    CHANCE = "chance"
    """The costs of stages get random jitter, so that daemons don't all choose the same one."""


DisabledMechanisms = frozenset[Mechanism]
"""The set of mechanisms that are switched off."""
