"""The rate controller: admits calls within their accounts' rates over the whole fleet.

Reads the cell `config`; the lenders and borrowers are its own state. `RateGate.admit` is asked
at the arrival instance of each call.
"""

from lagoonfold_node._rates._gate import RateGate
from lagoonfold_node._rates._handlers import HasRates
from lagoonfold_node._rates._lenders import AccountOwners, Lenders, Lending

__all__ = ["AccountOwners", "HasRates", "Lenders", "Lending", "RateGate"]
