"""The rate controller: limits each client account's calls to its rate over the whole fleet.

Reads the cell `config` and writes no cell; the lenders and borrowers are its own state. The
instance where a call arrives admits it by `RateLimiter.admit`.
"""

from lagoonfold_node._rates._handlers import HasRates
from lagoonfold_node._rates._lenders import AccountOwners, Lenders, LendingRight
from lagoonfold_node._rates._rate_limiter import RateLimiter

__all__ = ["AccountOwners", "HasRates", "Lenders", "LendingRight", "RateLimiter"]
