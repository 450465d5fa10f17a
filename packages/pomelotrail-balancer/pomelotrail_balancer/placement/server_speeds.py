"""Speeds of the backend servers beside their peers, from reported work times."""

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


class _Peers(msgspec.Struct):
    """The reports of a service on one route, and the speeds that follow from them.

    ``logged`` has the speeds below 1 that were last logged.
    """

    reports: dict[CompanionView, _Report] = msgspec.field(default_factory=dict)
    speeds: dict[CompanionView, float] = msgspec.field(default_factory=dict)
    logged: dict[CompanionView, float] = msgspec.field(default_factory=dict)
    compared_at: timedelta | None = None


class ServerSpeeds:
    """Determines which servers of a service are slower than their peers on a route.

    Handles this load pattern: servers of one service, with one slot each, differ in
    speed by a factor of two, and some are slowed five times for seconds. A server with
    one slot is idle or busy, so by the number of its requests a slow server gets as
    many flows as a fast one.

    A speed is at most 1, that of a quarter of the peers: a server that answers quickly
    because it fails gains nothing. Small differences are ignored, and so are all if a
    whole service slows down. A speed returns to 1 as its report ages, so that a server
    without flows is tried again.
    """

    def __init__(self, log: EventLog, counters: Counters) -> None:
        """Initialize without reports."""
        self._log = log
        self._counters = counters
        self._peers: dict[tuple[str, bytes], _Peers] = {}

    def record(
        self, companion: CompanionView, route: bytes, work: timedelta, now: timedelta
    ) -> None:
        """Record the recent processing time of a server on a route."""
        server = companion.server
        peers = self._peers.setdefault((server.service, route), _Peers())
        peers.reports[companion] = _Report(work, now, server.started_ms)

    def slow_servers(
        self, service: str, route: bytes, now: timedelta
    ) -> Mapping[CompanionView, float]:
        """Return the speeds of the servers that are slower than their peers."""
        peers = self._peers.get((service, route))
        if peers is None:
            return {}
        compared_at = peers.compared_at
        if compared_at is None or now - compared_at >= SPEED_REFRESH_INTERVAL:
            peers.compared_at = now
            self._compare(peers, now)
            self._log_changes(service, peers, now)
            if not peers.reports:
                del self._peers[service, route]
        return peers.speeds

    def _compare(self, peers: _Peers, now: timedelta) -> None:
        """Drop old reports and determine the speeds from the others."""
        peers.reports = {
            companion: report
            for companion, report in peers.reports.items()
            if now - report.reported_at < SPEED_KEPT_FOR
            and report.started_ms == companion.server.started_ms
        }
        peers.speeds = {}
        if len(peers.reports) < MIN_SPEED_PEERS:
            return
        works = sorted(report.work for report in peers.reports.values())
        reference = works[int(len(works) * SPEED_REFERENCE_SHARE)] * SPEED_TOLERANCE
        for companion, report in peers.reports.items():
            if report.work > reference:
                speed = max(MIN_SPEED, reference / report.work)
                age = now - report.reported_at
                peers.speeds[companion] = _faded(speed, age)

    def _log_changes(self, service: str, peers: _Peers, now: timedelta) -> None:
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
            report = peers.reports.get(companion)
            self._log.write(
                "companions",
                "speed_changed",
                server=companion.server.identity,
                service=service,
                speed=round(speed, 2),
                work_ms=round(report.work / _MILLISECOND, 1) if report else -1,
                report_age_ms=(now - report.reported_at) // _MILLISECOND
                if report
                else -1,
                peers=len(peers.reports),
            )
        slow = {each for group in self._peers.values() for each in group.logged}
        self._counters.set_gauge("servers_slow", len(slow))


def _faded(speed: float, age: timedelta) -> float:
    """Return a speed that returns to 1 as its report ages."""
    if age <= SPEED_TRUSTED_FOR:
        return speed
    share = (age - SPEED_TRUSTED_FOR) / (SPEED_KEPT_FOR - SPEED_TRUSTED_FOR)
    return speed + (1.0 - speed) * min(1.0, share)
