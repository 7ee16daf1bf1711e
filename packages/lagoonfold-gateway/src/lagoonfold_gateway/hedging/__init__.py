"""Second attempts of requests whose first one is late (hedges).

`AttemptRace` runs attempts side by side until one of them is accepted; `Hedger` decides when a
request gets a second one and finds its replica.
"""

from lagoonfold_gateway.hedging._hedger import Hedger
from lagoonfold_gateway.hedging._race import AttemptRace, Claim

__all__ = ["AttemptRace", "Claim", "Hedger"]
