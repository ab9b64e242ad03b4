"""Epochs: which history of the platform's store this daemon knows of.

A store that fails may be restored from a copy some seconds old. What it acknowledged
since the copy is lost, and versions are given out again; a new epoch begins.
"""

from collections.abc import Callable

import eventlet

from bayglade.clock import now
from bayglade.ids import UNKNOWN_EPOCH, StoreEpoch
from bayglade.logs import event


class StoreHistory:
    """The newest epoch of the store that this daemon knows of; times are monotonic seconds."""

    def __init__(self) -> None:
        self.epoch = UNKNOWN_EPOCH
        self.restored_at: float | None = None
        """When the store was found to have been restored, if it was since this daemon started."""

        self.on_restored: list[Callable[[], None]] = []
        """Told, each in a task of its own, when the store was restored."""

    def __repr__(self) -> str:
        return f"<StoreHistory epoch={self.epoch}>"

    def note(self, epoch: StoreEpoch) -> None:
        """Take in the epoch that an answer or another daemon names.

        :param epoch: the epoch; one that is not newer changes nothing.
        """
        if epoch <= self.epoch:
            return
        before, self.epoch = self.epoch, epoch
        if before == UNKNOWN_EPOCH:
            event("INFO", "store epoch", epoch=epoch)
            return
        event("WARNING", "store restored", before=before, epoch=epoch)
        self.restored_at = now()
        for tell in self.on_restored:
            eventlet.spawn_n(tell)
