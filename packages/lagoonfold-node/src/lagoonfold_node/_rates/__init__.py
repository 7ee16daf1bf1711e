"""The rate controller: admits calls within their accounts' rates over the whole fleet.

Reads the cell `config`; the lenders and borrowers are its own state. `RateLimiter.admit` is asked
at the arrival instance of each call.
"""

from lagoonfold_node._rates._handlers import HasRates
from lagoonfold_node._rates._lenders import AccountOwners, Lenders, LendingRight
from lagoonfold_node._rates._rate_limiter import RateLimiter

__all__ = ["AccountOwners", "HasRates", "Lenders", "LendingRight", "RateLimiter"]
