"""Queue of changed records to send to neighbours in batches."""

from cranberryfield.core.ids import NodeId

__all__ = ["BATCH_ITEMS", "Outbox"]

#: Maximum number of records in one batch.
BATCH_ITEMS = 200


class Outbox:
    """Queue of changed record names with the neighbour each came from.

    A record that changes again before it is sent is queued only once.
    """

    def __init__(self):
        self._urgent: dict[str, frozenset[NodeId]] = {}
        self._normal: dict[str, frozenset[NodeId]] = {}

    def add(
        self, item: str, received_from: NodeId | None, urgent: bool = False
    ) -> None:
        """Enqueue a changed record.

        Parameters
        ----------
        item : str
            Name of the record, as in `ItemVersion`.
        received_from : NodeId or None
            Neighbour that sent the change and needs no copy; None for a
            change made on this node.
        urgent : bool
            Whether it is sent ahead of records that are not urgent.
        """
        excluded = frozenset() if received_from is None else frozenset({received_from})
        self._normal.pop(item, None)
        self._urgent.pop(item, None)
        queue = self._urgent if urgent else self._normal
        queue[item] = excluded

    def pop_batch(self) -> list[tuple[str, frozenset[NodeId]]]:
        """Remove and return the next names, with the neighbours that need no copy."""
        batch = []
        for queue in (self._urgent, self._normal):
            for name in list(queue)[: BATCH_ITEMS - len(batch)]:
                batch.append((name, queue.pop(name)))
        return batch
