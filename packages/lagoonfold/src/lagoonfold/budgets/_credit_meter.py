"""The credit and the delivered tokens of one turn, at the instance that relays it."""

LOW_CREDIT_EVENTS = 6  # requests more credit this many events early, some 200 ms of a stream


class TurnCreditMeter:
    """Count the delivered tokens of one turn against its credit.

    meter = TurnCreditMeter(max_tokens=300, credit=100, tokens_per_event=10)
    meter.try_consume()    # True: the event may be delivered

    `tokens_per_event` is that of the service that serves the turn, and is set before its first
    event.
    """

    __slots__ = ("credit", "delivered_tokens", "max_tokens", "tokens_per_event")

    def __init__(self, *, max_tokens: int, credit: int, tokens_per_event: int) -> None:
        self.max_tokens = max_tokens
        self.credit = credit
        self.delivered_tokens = 0
        self.tokens_per_event = tokens_per_event

    @property
    def needs_more_credit(self) -> bool:
        """Return whether to request more credit now."""
        low_credit = LOW_CREDIT_EVENTS * self.tokens_per_event
        return self.credit < self.max_tokens and self.credit - self.delivered_tokens < low_credit

    @property
    def is_over(self) -> bool:
        """Return whether all of `max_tokens` have been delivered: no further event may come."""
        return self.delivered_tokens >= self.max_tokens

    def covers(self, events: int) -> bool:
        """Return whether the turn may have so many further events; the last one in part."""
        tokens_before_last = (events - 1) * self.tokens_per_event
        return not events or self.delivered_tokens + tokens_before_last < self.max_tokens

    def try_consume(self) -> bool:
        """Count one event to deliver; return False, without counting it, if credit is lacking.

        The last event of a turn with credit for all of its `max_tokens` may exceed it in part.
        """
        is_fully_credited = self.credit >= self.max_tokens
        if not is_fully_credited and self.delivered_tokens + self.tokens_per_event > self.credit:
            return False
        self.delivered_tokens += self.tokens_per_event
        return True
