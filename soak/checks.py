"""What must hold, judged by what callers and backend servers saw."""

from collections import Counter

from pomelotrail_core.endpoint import unpack_address
from pomelotrail_core.flows import flow_text

from .const import (
    COLD_FACTOR,
    COLD_NOTICE_S,
    COLD_PER_S,
    COLD_SLACK,
    COLD_TIME_S,
    MOVING_PORT,
    PORTS,
)
from .ends import Reply, SoakCaller
from .world import Side, World


class Checks:
    """Collects what broke, one line each."""

    def __init__(self, world: World) -> None:
        """Watch a world."""
        self._world = world
        self._checked: Counter[int] = Counter()
        self._ran: Counter[bytes] = Counter()
        self._seen: Counter[int] = Counter()
        self.broken: list[str] = []
        self.replies: Counter[str] = Counter()
        self.flows = 0

    def note_reply(self, caller: SoakCaller, reply: Reply, must_answer: bool) -> None:
        """Judge how a request ended."""
        self.replies[reply.value] += 1
        flow = flow_text(caller.flow)
        if reply is Reply.WRONG:
            self._break(f"answer of another request on {flow}")
        is_held = self._world.holds(caller.flow, caller.expected)
        if reply is Reply.RESET and is_held:
            self._break(f"reset of living flow {flow}")
        if reply is Reply.SILENT and must_answer and is_held:
            self._break(f"no answer on living flow {flow}")

    def note_refused(self, must_open: bool) -> None:
        """Judge a flow that was not opened."""
        self.replies["not opened"] += 1
        if must_open:
            self._break("flow not opened after recovery")

    def look(self) -> None:
        """Judge what backend servers saw since the last look."""
        for side in self._world.sides:
            self._check_runs(side)
            new = side.server.opened[self._checked[side.index] :]
            self._checked[side.index] += len(new)
            for _, packet in new:
                self._check_service(side, unpack_address(packet.receiver)[1])
            self._check_cold(side)

    def check_no_openings(self, since: float, sides: list[Side], why: str) -> None:
        """Judge that servers got no openings since a moment."""
        for side in sides:
            late = [moment for moment, _ in side.server.opened if moment > since]
            if late:
                after = max(late) - since
                name = side.identity
                self._break(
                    f"{why}: {len(late)} openings at {name}, {after:.1f} s late"
                )

    def check_moving_route(self, since: float) -> None:
        """Judge that the moving route's flows go to its service since a moment."""
        for side in self._world.sides:
            if side.server.service == self._world.moving:
                continue
            ports = [
                unpack_address(packet.receiver)[1]
                for moment, packet in side.server.opened
                if moment > since
            ]
            if MOVING_PORT in ports:
                self._break(f"configuration not in force: {side.identity}")

    def _check_runs(self, side: Side) -> None:
        """Each request runs once at most, at a server of its service."""
        ran = side.server.executed_requests
        for content in ran[self._seen[side.index] :]:
            self._ran[content] += 1
            if self._ran[content] > 1:
                self._break(f"request ran twice: {content.decode()}")
        self._seen[side.index] = len(ran)

    def _check_service(self, side: Side, port: int) -> None:
        """A fixed route leads to its own service."""
        if port != MOVING_PORT and PORTS[side.server.service] != port:
            self._break(f"opening of port {port} at {side.server.service}")

    def _check_cold(self, side: Side) -> None:
        """A cold server gets no more in any second than it bears."""
        if side.cold_since is None:
            return
        first = side.cold_since + COLD_NOTICE_S
        last = side.cold_since + COLD_TIME_S
        moments = [m for m, _ in side.server.opened if first <= m < last]
        limit = COLD_PER_S * COLD_FACTOR + COLD_SLACK
        most = max((_within_a_second(moments, each) for each in moments), default=0)
        if most > limit:
            self._break(f"cold server {side.identity} got {most} in a second")
            side.cold_since = None

    def _break(self, text: str) -> None:
        """Record what broke."""
        self.broken.append(f"{self._world.now:.2f} {text}")


def _within_a_second(moments: list[float], since: float) -> int:
    """Return how many moments lie in the second that begins with one."""
    return sum(since <= each < since + 1.0 for each in moments)
