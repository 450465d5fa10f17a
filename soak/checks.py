"""Checks invariants by what callers and backend servers observe."""

from collections import Counter

from pomelotrail_core.endpoint import unpack_address
from pomelotrail_core.flows import flow_text

from .const import (
    COLD_BUDGET_FACTOR,
    COLD_BUDGET_SLACK,
    COLD_DURATION_S,
    COLD_FLOWS_PER_S,
    COLD_PROPAGATION_S,
    MOVING_PORT,
    PORTS,
)
from .endpoints import RequestResult, SoakCaller
from .fleet import SoakFleet
from .vms import BackendVM


class InvariantChecker:
    """Collects violations of invariants, one line each."""

    def __init__(self, fleet: SoakFleet) -> None:
        """Initialize with the fleet to check."""
        self._fleet = fleet
        self._checked_opening_packets: Counter[int] = Counter()
        self._execution_counts: Counter[bytes] = Counter()
        self._checked_executions: Counter[int] = Counter()
        self._refused_requests: set[bytes] = set()
        self.violations: list[str] = []
        self.result_counts: Counter[str] = Counter()
        self.opened_flows = 0

    def check_request(
        self, caller: SoakCaller, result: RequestResult, must_answer: bool
    ) -> None:
        """Check the result of a request."""
        self.result_counts[result.value] += 1
        flow = flow_text(caller.flow)
        if result is RequestResult.WRONG:
            self._record_violation(f"answer of another request on {flow}")
        is_open = self._fleet.has_flow(caller.flow, caller.expected_sequence)
        if result is RequestResult.RESET and is_open:
            self._record_violation(f"reset of living flow {flow}")
        if result is RequestResult.SILENT and must_answer and is_open:
            self._record_violation(f"no answer on living flow {flow}")

    def check_unopened_flow(self, must_open: bool) -> None:
        """Check whether a flow was allowed to stay unopened."""
        self.result_counts["not opened"] += 1
        if must_open:
            self._record_violation("flow not opened after recovery")

    def check_served(self, port: int, result: RequestResult | None) -> None:
        """Check that a request on a new flow was answered."""
        if result is not RequestResult.ANSWERED:
            outcome = "not opened" if result is None else result.value
            self._record_violation(f"request of port {port} in calm: {outcome}")

    def check_refused_flow(self, request: bytes) -> None:
        """Check from now on that the request of a refused flow never runs."""
        self.result_counts["refused"] += 1
        self._refused_requests.add(request)

    def check_servers(self) -> None:
        """Check what backend servers received since the last check."""
        for vm in self._fleet.backend_vms:
            self._check_executions(vm)
            new_packets = vm.server.opening_packets[
                self._checked_opening_packets[vm.index] :
            ]
            self._checked_opening_packets[vm.index] += len(new_packets)
            for _, packet in new_packets:
                self._check_service(vm, unpack_address(packet.receiver)[1])
            self._check_cold_budget(vm)

    def check_no_opening_packets(
        self, after: float, vms: list[BackendVM], reason: str
    ) -> None:
        """Check that servers received no opening packets after a point in time."""
        for vm in vms:
            late = [time for time, _ in vm.server.opening_packets if time > after]
            if late:
                late_s = max(late) - after
                name = vm.server_id
                self._record_violation(
                    f"{reason}: {len(late)} openings at {name}, {late_s:.1f} s late"
                )

    def check_moving_route(self, after: float) -> None:
        """Check that flows of the moving route opened at its service after a time."""
        for vm in self._fleet.backend_vms:
            if vm.server.service == self._fleet.moving_route_service:
                continue
            ports = [
                unpack_address(packet.receiver)[1]
                for time, packet in vm.server.opening_packets
                if time > after
            ]
            if MOVING_PORT in ports:
                self._record_violation(f"configuration not in force: {vm.server_id}")

    def _check_executions(self, vm: BackendVM) -> None:
        """Check that each request is executed at most once."""
        executed = vm.server.executed_requests
        for content in executed[self._checked_executions[vm.index] :]:
            self._execution_counts[content] += 1
            if self._execution_counts[content] > 1:
                self._record_violation(f"request ran twice: {content.decode()}")
            if content in self._refused_requests:
                self._record_violation(f"refused request ran: {content.decode()}")
        self._checked_executions[vm.index] = len(executed)

    def _check_service(self, vm: BackendVM, port: int) -> None:
        """Check that flows of a fixed route open at the service of the route."""
        if port != MOVING_PORT and PORTS[vm.server.service] != port:
            self._record_violation(f"opening of port {port} at {vm.server.service}")

    def _check_cold_budget(self, vm: BackendVM) -> None:
        """Check that a cold server gets no more flows a second than its budget."""
        if vm.cold_since is None:
            return
        start = vm.cold_since + COLD_PROPAGATION_S
        end = vm.cold_since + COLD_DURATION_S
        times = [time for time, _ in vm.server.opening_packets if start <= time < end]
        limit = COLD_FLOWS_PER_S * COLD_BUDGET_FACTOR + COLD_BUDGET_SLACK
        highest = max(
            (_count_within_a_second(times, second) for second in times), default=0
        )
        if highest > limit:
            self._record_violation(
                f"cold server {vm.server_id} got {highest} in a second"
            )
            vm.cold_since = None

    def _record_violation(self, text: str) -> None:
        """Record a violation with its time."""
        self.violations.append(f"{self._fleet.now:.2f} {text}")


def _count_within_a_second(times: list[float], start: float) -> int:
    """Return the number of times in the second that begins at ``start``."""
    return sum(start <= time < start + 1.0 for time in times)
