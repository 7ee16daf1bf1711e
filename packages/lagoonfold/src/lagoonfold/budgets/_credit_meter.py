"""What one turn may hand out and has handed out, at the instance that relays it."""

LOW_CREDIT_EVENTS = 6  # asks for more this many events ahead, some 200 ms of a stream


class TurnCreditMeter:
    """Tokens of one turn against its credit.

    tally = TurnCreditMeter(max_tokens=300, credit=100, tokens_per_event=10)
    tally.try_consume()    # True: the event may go out
    """

    __slots__ = ("_tokens_per_event", "credit", "delivered_tokens", "max_tokens")

    def __init__(self, *, max_tokens: int, credit: int, tokens_per_event: int) -> None:
        self.max_tokens = max_tokens
        self.credit = credit
        self.delivered_tokens = 0
        self._tokens_per_event = tokens_per_event

    @property
    def needs_more_credit(self) -> bool:
        """Tell whether more credit should be asked for."""
        ahead = LOW_CREDIT_EVENTS * self._tokens_per_event
        return self.credit < self.max_tokens and self.credit - self.delivered_tokens < ahead

    def try_consume(self) -> bool:
        """Count one event that goes out; False, without counting it, where the credit ends.

        A turn whose most is covered is not held back: its length is its upstream's to keep.
        """
        is_covered = self.credit >= self.max_tokens
        if not is_covered and self.delivered_tokens + self._tokens_per_event > self.credit:
            return False
        self.delivered_tokens += self._tokens_per_event
        return True
