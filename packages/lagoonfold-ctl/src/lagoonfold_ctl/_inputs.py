"""Validates operators' input with pydantic models and converts it to configuration documents.

To change a document, the given fields are merged over those of the existing document, and the
result is validated as a whole.
"""

from collections.abc import Mapping
from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Refusal
from lagoonfold.config import Account, ApiKey, Budget, Profile, Route, RouteKind

_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"


def _split(value: object) -> object:
    return [part for part in value.split(",") if part] if isinstance(value, str) else value


Name = Annotated[str, Field(pattern=_NAME_PATTERN)]
Names = Annotated[tuple[Name, ...], BeforeValidator(_split)]
PositiveFloat = Annotated[float, Field(gt=0, le=1e12)]
PositiveInt = Annotated[int, Field(gt=0, le=10**15)]
Count = Annotated[int, Field(ge=0, le=10**15)]


class Input(BaseModel):
    """Base class of operators' input; rejects unknown fields, infinities and NaN."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class AccountInput(Input):
    """A client account; `rate` (requests per second) and `burst` apply to all instances."""

    id: Name
    rate: PositiveFloat
    burst: PositiveInt
    weight: PositiveFloat = 1.0

    @classmethod
    def fields_of(cls, account: Account) -> dict[str, object]:
        """Return the input that gives this account."""
        return {
            "id": account.account_id,
            "rate": account.rate_per_s,
            "burst": account.burst,
            "weight": account.weight,
        }

    def to_document(self) -> Account:
        """Return the account."""
        return Account(
            account_id=self.id, rate_per_s=self.rate, burst=self.burst, weight=self.weight
        )


class RouteInput(Input):
    """A route; `timeout` is in seconds, costs are in millionths of a currency unit.

    If `idempotent` is not given, it is true for a model, since generating an answer again has no
    side effects, and false for a tool or a service.
    """

    name: Name
    kind: RouteKind
    target: Name
    idempotent: bool | None = None
    open: bool = False
    timeout: PositiveFloat = 60.0
    cost_per_call: Count = 0
    cost_per_1000_tokens: Count = 0

    @classmethod
    def fields_of(cls, route: Route) -> dict[str, object]:
        """Return the input that gives this route."""
        return {
            "name": route.name,
            "kind": route.kind,
            "target": route.target,
            "idempotent": route.is_idempotent,
            "open": route.is_open,
            "timeout": route.timeout_s,
            "cost_per_call": route.cost_micros_per_call,
            "cost_per_1000_tokens": route.cost_micros_per_1000_tokens,
        }

    def to_document(self) -> Route:
        """Return the route."""
        default = self.kind is RouteKind.MODEL
        return Route(
            name=self.name,
            kind=self.kind,
            target=self.target,
            is_idempotent=default if self.idempotent is None else self.idempotent,
            is_open=self.open,
            timeout_s=self.timeout,
            cost_micros_per_call=self.cost_per_call,
            cost_micros_per_1000_tokens=self.cost_per_1000_tokens,
        )


class ProfileInput(Input):
    """A profile; its budget applies to each program, `wall` and `max_wait` are in seconds."""

    name: Name
    accounts: Names = ()
    routes: Names = ()
    tokens: PositiveInt = 1_000_000
    calls: PositiveInt = 1_000
    cost_micros: PositiveInt = 100_000_000
    wall: PositiveFloat = 86_400.0
    max_wait: PositiveFloat = 30.0
    weight: PositiveFloat = 1.0

    @classmethod
    def fields_of(cls, profile: Profile) -> dict[str, object]:
        """Return the input that gives this profile."""
        return {
            "name": profile.name,
            "accounts": profile.account_ids,
            "routes": profile.routes,
            "tokens": profile.budget.tokens,
            "calls": profile.budget.calls,
            "cost_micros": profile.budget.cost_micros,
            "wall": profile.budget.wall_s,
            "max_wait": profile.max_wait_s,
            "weight": profile.weight,
        }

    def to_document(self) -> Profile:
        """Return the profile."""
        budget = Budget(
            tokens=self.tokens, calls=self.calls, cost_micros=self.cost_micros, wall_s=self.wall
        )
        return Profile(
            name=self.name,
            account_ids=self.accounts,
            budget=budget,
            routes=self.routes,
            max_wait_s=self.max_wait,
            weight=self.weight,
        )


class KeyInput(Input):
    """An API key, identified by its digest, with the profiles that it may use."""

    digest: str
    account: Name
    profiles: Names = ()
    label: Annotated[str, Field(max_length=120)] = ""

    @classmethod
    def fields_of(cls, key: ApiKey) -> dict[str, object]:
        """Return the input that gives this key."""
        return {
            "digest": key.digest,
            "account": key.account_id,
            "profiles": key.profile_names,
            "label": key.label,
        }

    def to_document(self) -> ApiKey:
        """Return the key."""
        return ApiKey(
            digest=self.digest,
            account_id=self.account,
            label=self.label,
            profile_names=self.profiles,
        )


M = TypeVar("M", bound=Input)


def parse_input(
    model: type[M], given: Mapping[str, object], existing: Mapping[str, object] | None = None
) -> Result[M, Refusal]:
    """Validate the given fields, merged over those of an existing document if there is one.

    A field whose value is None counts as not given. The refusal names every invalid field.
    """
    fields: dict[str, Any] = dict(existing or {})
    fields.update({name: value for name, value in given.items() if value is not None})
    try:
        return Ok(model.model_validate(fields))
    except ValidationError as error:
        faults = "; ".join(
            f"{'.'.join(str(part) for part in detail['loc'])}: {detail['msg']}"
            f" (given: {detail['input']!r})"
            for detail in error.errors(include_url=False)
        )
        return Err(Refusal(kind=ErrorKind.MALFORMED, detail=faults))
