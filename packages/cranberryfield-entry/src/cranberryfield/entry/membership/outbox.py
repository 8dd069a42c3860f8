"""What is still to be passed on to the neighbours, in batches."""

from cranberryfield.core.ids import NodeId

__all__ = ["BATCH_ITEMS", "Outbox"]

#: Records in one message; the rest waits for the next.
BATCH_ITEMS = 200


class Outbox:
    """Names of changed records and from whom each was heard.

    A record that changes again before it is sent is sent once.
    """

    def __init__(self):
        self._urgent: dict[str, frozenset[NodeId]] = {}
        self._normal: dict[str, frozenset[NodeId]] = {}

    def add(self, item: str, heard_from: NodeId | None, urgent: bool = False) -> None:
        """Note a changed record.

        Parameters
        ----------
        item : str
            Its name.
        heard_from : NodeId or None
            The neighbour that needs no copy; None for a change made here.
        urgent : bool
            Whether it goes before what is waiting.
        """
        needs_no_copy = frozenset() if heard_from is None else frozenset({heard_from})
        self._normal.pop(item, None)
        self._urgent.pop(item, None)
        queue = self._urgent if urgent else self._normal
        queue[item] = needs_no_copy

    def take_batch(self) -> list[tuple[str, frozenset[NodeId]]]:
        """Remove and return the oldest names and who needs no copy of each."""
        batch = []
        for queue in (self._urgent, self._normal):
            for name in list(queue)[: BATCH_ITEMS - len(batch)]:
                batch.append((name, queue.pop(name)))
        return batch
