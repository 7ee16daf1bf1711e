"""The cost of calls, and the limits of a program's budget."""

import msgspec


class Cost(msgspec.Struct, frozen=True, array_like=True):
    """Tokens, calls and money, in millionths of the deployment's currency unit."""

    tokens: int = 0
    calls: int = 0
    cost_micros: int = 0

    def __add__(self, other: "Cost") -> "Cost":
        return Cost(
            self.tokens + other.tokens,
            self.calls + other.calls,
            self.cost_micros + other.cost_micros,
        )

    def __sub__(self, other: "Cost") -> "Cost":
        return Cost(
            self.tokens - other.tokens,
            self.calls - other.calls,
            self.cost_micros - other.cost_micros,
        )


NO_COST = Cost()


class ProgramLimits(msgspec.Struct, frozen=True, array_like=True):
    """The most that a program may use; `wall_s` counts seconds from its creation."""

    tokens: int
    calls: int
    cost_micros: int
    wall_s: float

    def exceeded_by(self, cost: Cost) -> str | None:
        """Return the name of the first limit that the cost exceeds, or None."""
        if cost.tokens > self.tokens:
            return "tokens"
        if cost.calls > self.calls:
            return "calls"
        if cost.cost_micros > self.cost_micros:
            return "cost_micros"
        return None
