"""Epochs: which history of the platform's store this daemon knows of.

A store that fails may be restored from a copy some seconds old. What it acknowledged
since the copy is lost, and versions are given out again; a new epoch begins.
"""

from bayglade.ids import UNKNOWN_EPOCH, StoreEpoch
from bayglade.logs import event


class StoreHistory:
    """The newest epoch of the store that this daemon knows of."""

    def __init__(self) -> None:
        self.epoch = UNKNOWN_EPOCH

    def __repr__(self) -> str:
        return f"<StoreHistory epoch={self.epoch}>"

    def note(self, epoch: StoreEpoch) -> None:
        """Take in the epoch that an answer or another daemon names.

        :param epoch: the epoch; one that is not newer changes nothing.
        """
        if epoch <= self.epoch:
            return
        before, self.epoch = self.epoch, epoch
        event("INFO" if before == UNKNOWN_EPOCH else "WARNING", "store epoch", before=before, epoch=epoch)
