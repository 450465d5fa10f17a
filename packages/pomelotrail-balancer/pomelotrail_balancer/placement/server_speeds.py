"""Speeds of the backend servers beside their peers, from reported work times."""

import math
from collections.abc import Mapping
from datetime import timedelta

import msgspec

from pomelotrail_core.counters import Counters
from pomelotrail_core.event_log import EventLog

from .companion_view import CompanionView
from .const import (
    LOGGED_SPEED_CHANGE,
    MIN_SPEED,
    MIN_SPEED_PEERS,
    SPEED_KEPT_FOR,
    SPEED_REFERENCE_SHARE,
    SPEED_REFRESH_INTERVAL,
    SPEED_TOLERANCE,
    SPEED_TRUSTED_FOR,
)

_MILLISECOND = timedelta(milliseconds=1)


class _Report(msgspec.Struct):
    """The work time of a server on a route; ``started_ms`` is the server's start."""

    work: timedelta
    reported_at: timedelta
    started_ms: int | None

    def is_kept(self, companion: CompanionView, now: timedelta) -> bool:
        """Return whether the report is recent and of the server's present process."""
        is_recent = now - self.reported_at < SPEED_KEPT_FOR
        return is_recent and self.started_ms == companion.server.started_ms

    def weight(self, now: timedelta) -> float:
        """Return how much the report counts: 1 at first, and 0 when it is old."""
        left = SPEED_KEPT_FOR - (now - self.reported_at)
        return min(1.0, left / (SPEED_KEPT_FOR - SPEED_TRUSTED_FOR))


class _Evidence(msgspec.Struct):
    """What the reports of one server say, over all routes.

    ``log_ratio`` is the weighted sum of the logarithms of its work times, relative to
    those of the peers; ``newest`` is the weight of the most recent report.
    """

    log_ratio: float = 0.0
    weight: float = 0.0
    newest: float = 0.0
    reports: int = 0

    @property
    def ratio(self) -> float:
        """Return how many times as long the server works as its peers."""
        return math.exp(self.log_ratio / self.weight)

    @property
    def speed(self) -> float:
        """Return the speed, which returns to 1 as the reports age."""
        speed = min(1.0, max(MIN_SPEED, SPEED_TOLERANCE / self.ratio))
        return 1.0 - (1.0 - speed) * self.newest


class _Peers(msgspec.Struct):
    """The reports of the servers of a service by route, and their speeds below 1.

    ``logged`` has the speeds that were last logged.
    """

    reports: dict[bytes, dict[CompanionView, _Report]] = msgspec.field(
        default_factory=dict
    )
    speeds: dict[CompanionView, float] = msgspec.field(default_factory=dict)
    logged: dict[CompanionView, float] = msgspec.field(default_factory=dict)
    compared_at: timedelta | None = None


class ServerSpeeds:
    """Determines which servers of a service are slower than their peers.

    Handles this load pattern: servers of one service, with one slot each, differ in
    speed by a factor of two, and some are slowed five times for seconds. A server with
    one slot is idle or busy, so by the number of its requests a slow server gets as
    many flows as a fast one.

    Work times are compared for the same route only, since the mix of a server's routes
    changes; the speed of a server is the mean over the routes. It is at most 1, that of
    a quarter of the peers: a server that answers quickly because it fails gains
    nothing. Small differences are ignored, and so are all if a whole service slows
    down. A speed returns to 1 as its reports age, so that a server without flows is
    tried again.
    """

    def __init__(self, log: EventLog, counters: Counters) -> None:
        """Initialize without reports."""
        self._log = log
        self._counters = counters
        self._peers: dict[str, _Peers] = {}

    def record(
        self, companion: CompanionView, route: bytes, work: timedelta, now: timedelta
    ) -> None:
        """Record the recent processing time of a server on a route."""
        server = companion.server
        peers = self._peers.setdefault(server.service, _Peers())
        reports = peers.reports.setdefault(route, {})
        reports[companion] = _Report(work, now, server.started_ms)

    def slow_servers(
        self, service: str, now: timedelta
    ) -> Mapping[CompanionView, float]:
        """Return the speeds of the servers that are slower than their peers."""
        peers = self._peers.get(service)
        if peers is None:
            return {}
        compared_at = peers.compared_at
        if compared_at is None or now - compared_at >= SPEED_REFRESH_INTERVAL:
            peers.compared_at = now
            evidence = _compare(peers, now)
            peers.speeds = {
                companion: known.speed
                for companion, known in evidence.items()
                if known.speed < 1.0
            }
            self._log_changes(service, peers, evidence)
            if not peers.reports:
                del self._peers[service]
        return peers.speeds

    def _log_changes(
        self, service: str, peers: _Peers, evidence: dict[CompanionView, _Evidence]
    ) -> None:
        """Log each server whose speed has changed, and count the slow ones."""
        for companion in {**peers.logged, **peers.speeds}:
            speed = peers.speeds.get(companion, 1.0)
            logged = peers.logged.get(companion, 1.0)
            is_back = speed == 1.0 and logged < 1.0
            if not is_back and max(speed, logged) < LOGGED_SPEED_CHANGE * min(
                speed, logged
            ):
                continue
            if is_back:
                del peers.logged[companion]
            else:
                peers.logged[companion] = speed
            known = evidence.get(companion)
            self._log.write(
                "companions",
                "speed_changed",
                server=companion.server.identity,
                service=service,
                speed=round(speed, 2),
                work_ratio=round(known.ratio, 2) if known is not None else None,
                weight=round(known.newest, 2) if known is not None else 0.0,
                reports=known.reports if known is not None else 0,
                peers=len(evidence),
            )
        slow = sum(len(group.logged) for group in self._peers.values())
        self._counters.set_gauge("servers_slow", slow)


def _compare(peers: _Peers, now: timedelta) -> dict[CompanionView, _Evidence]:
    """Drop old reports and return what the others say about each server."""
    evidence: dict[CompanionView, _Evidence] = {}
    for route, known in list(peers.reports.items()):
        reports = {
            companion: report
            for companion, report in known.items()
            if report.is_kept(companion, now)
        }
        peers.reports[route] = reports
        if not reports:
            del peers.reports[route]
        if len(reports) < MIN_SPEED_PEERS:
            continue
        works = sorted(report.work for report in reports.values())
        reference = works[int(len(works) * SPEED_REFERENCE_SHARE)]
        for companion, report in reports.items():
            found = evidence.setdefault(companion, _Evidence())
            weight = report.weight(now)
            found.log_ratio += weight * math.log(report.work / reference)
            found.weight += weight
            found.newest = max(found.newest, weight)
            found.reports += 1
    return evidence
