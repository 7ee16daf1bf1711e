"""What one turn may hand out and has handed out, at the instance that relays it."""

LOW_CREDIT_EVENTS = 6  # asks for more this many events ahead, some 200 ms of a stream


class TurnTally:
    """Tokens of one turn against its credit.

    tally = TurnTally(most=300, credit=100, tokens_per_event=10)
    tally.hand_out()    # True: the event may go out
    """

    __slots__ = ("_tokens_per_event", "credit", "handed", "most")

    def __init__(self, *, most: int, credit: int, tokens_per_event: int) -> None:
        self.most = most
        self.credit = credit
        self.handed = 0
        self._tokens_per_event = tokens_per_event

    @property
    def is_low(self) -> bool:
        """Tell whether more credit should be asked for."""
        ahead = LOW_CREDIT_EVENTS * self._tokens_per_event
        return self.credit < self.most and self.credit - self.handed < ahead

    def hand_out(self) -> bool:
        """Count one event that goes out; False, without counting it, where the credit ends.

        A turn whose most is covered is not held back: its length is its upstream's to keep.
        """
        is_covered = self.credit >= self.most
        if not is_covered and self.handed + self._tokens_per_event > self.credit:
            return False
        self.handed += self._tokens_per_event
        return True
