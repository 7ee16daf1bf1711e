"""Answers `POST /explain` on the metrics port."""

import msgspec
from result import Err

from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway.explaining._explainer import Explainer
from lagoonfold_gateway.explaining._requests import parse_explain_request
from lagoonfold_io import HttpResponse
from lagoonfold_io.observe import EventLog

JSON = (("content-type", "application/json"),)

_log = EventLog("explaining")


class ExplainEndpoint:
    """Turns the bodies of requests into explanations, or into errors."""

    def __init__(self, explainer: Explainer) -> None:
        self._explainer = explainer

    def handle(self, body: bytes) -> HttpResponse:
        """Return 200 with an explanation as JSON, or 400 with all errors of the body."""
        wanted = parse_explain_request(body)
        if isinstance(wanted, Err):
            return _json_response(400, {"errors": wanted.err_value})
        try:
            explanation = self._explainer.explain(wanted.ok_value, now_s=now_s())
        except Exception as error:
            _log.error("request.explain_failed", error)
            return _json_response(500, {"errors": ["a fault of the instance; see its log"]})
        verdict, route = explanation.verdict, explanation.route
        _log.info(
            "request.explained",
            route=route.name if route is not None else None,
            outcome=verdict.outcome.value if verdict is not None else None,
        )
        return _json_response(200, explanation)


def _json_response(status: int, document: object) -> HttpResponse:
    return HttpResponse(status=status, headers=JSON, body=msgspec.json.encode(document))
