"""Finds the route of a request and picks a service of the route."""

from collections import defaultdict
from collections.abc import Iterable

from lagoonfold._rendezvous import weighted_score
from lagoonfold.forwarding._documents import ForwardRoute, WeightedService


class RouteTable:
    """The routes of one version of the configuration, found by host and longest prefix.

    table = RouteTable(config.routes)
    route = table.find("api.example", "/drafts/42")
    """

    def __init__(self, routes: Iterable[ForwardRoute]) -> None:
        self._routes_by_host: dict[str, list[ForwardRoute]] = defaultdict(list)
        for route in routes:
            self._routes_by_host[route.host].append(route)
        for routes_of_host in self._routes_by_host.values():
            routes_of_host.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route of the longest matching prefix, None if none matches.

        `host` may include a port and upper-case letters.
        """
        hostname = host.rsplit(":", 1)[0].lower()
        for route in self._routes_by_host.get(hostname, ()):
            if path.startswith(route.prefix):
                return route
        return None


def pick_service(targets: tuple[WeightedService, ...], key: str) -> str:
    """Return one of a route's services for a request or a stream, the same one at every instance.

    The keys are spread in proportion to the services' weights.
    """
    if len(targets) == 1:
        return targets[0].service
    return max(
        targets, key=lambda target: weighted_score(key, target.service, target.weight)
    ).service
