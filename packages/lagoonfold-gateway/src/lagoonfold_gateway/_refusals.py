"""HTTP answers to refused requests."""

from lagoonfold import PROBLEM_TYPES_BY_KIND, Refusal
from lagoonfold_io import HttpResponse


def refusal_response(refusal: Refusal) -> HttpResponse:
    """Return the HTTP answer for a refusal."""
    headers = [("content-type", "text/plain")]
    if refusal.retry_after_s > 0:
        headers.append(("retry-after", f"{refusal.retry_after_s:.3f}"))
    body = f"{refusal.kind.value}: {refusal.detail}\n".encode()
    status = PROBLEM_TYPES_BY_KIND[refusal.kind].status
    return HttpResponse(status=status, headers=tuple(headers), body=body)
