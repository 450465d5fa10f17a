"""Flow ownership replies to balancers."""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import Mark, Packet, PacketCodec
from pomelotrail_core.offers import (
    Lookup,
    LookupMiss,
    LookupReply,
    Owner,
    ShortLookupReply,
    encode,
)

from .const import PROBE_INTERVAL, SWEEP_INTERVAL
from .outage_tracker import OutageTracker
from .server_flows import ServerFlows


class Probe(msgspec.Struct, frozen=True):
    """A packet of an unknown flow that was sent to the backend server.

    ``balancer`` is told the owner, ``deny_to`` a denial.
    """

    sent: timedelta
    balancer: Address
    deny_to: Address
    packet: Packet


class Ownership:
    """Report to balancers which flows the backend server owns.

    Tracked flows are certain. For other flows, a process that started less than the
    maximum flow duration ago lets the server decide: it sends one packet, a *probe*,
    which the server either returns or handles as part of the flow. The start times of
    server and process aren't compared, since the time of day may jump in between.
    """

    def __init__(
        self,
        service: str,
        is_first_start: bool,
        max_flow_duration: timedelta,
        flows: ServerFlows,
        codec: PacketCodec,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        send_message: SendDatagram,
        forward: Callable[[Packet], None],
    ) -> None:
        """Reply to balancers with ``send_message`` and send probes with ``forward``."""
        self._service = service
        self._accepted_all_flows = is_first_start
        self._flows = flows
        self._codec = codec
        self._clock = clock
        self._log = log
        self._max_flow_duration = max_flow_duration
        self._counters = counters
        self._send_message = send_message
        self._forward = forward
        self._started = clock.monotonic()
        self.outages = OutageTracker(clock)
        self._probes: dict[bytes, Probe] = {}

    def answer_lookup(self, lookup: Lookup, balancer: Address) -> None:
        """Reply to a lookup.

        A lookup for another service refers to an earlier server at this address, whose
        flows have ended.
        """
        self.outages.record(lookup.unsettled_ms, lookup.era)
        is_own = lookup.service == self._service
        owned = []
        unsure = []
        served = []
        accepted = []
        for index, flow in enumerate(lookup.flows):
            entry = self._flows.get(flow)
            if entry is not None and entry.is_open:
                owned.append(index)
            elif is_own and (entry is not None or not self._has_all_flows()):
                unsure.append(index)
                if entry is not None and entry.initial_sequence is not None:
                    accepted.append(index)
                if self._flows.has_address_of(flow):
                    served.append(index)
        fields = (
            lookup.number,
            tuple(owned),
            tuple(unsure),
            self.outages.missing_entry_grace_ms,
            tuple(served),
        )
        reply = (
            LookupReply(*fields, tuple(accepted))
            if accepted
            else ShortLookupReply(*fields)
        )
        self._send_message(encode(reply), balancer)

    def handle_unknown_flow(
        self, packet: Packet, balancer: Address, deny_to: Address
    ) -> None:
        """Probe the backend server for a flow that isn't tracked, or deny ownership.

        Another flow between the same addresses may be tracked.
        """
        if self._has_all_flows():
            self.deny(packet, packet.mark, deny_to)
            return
        now = self._clock.monotonic()
        flow = packet.caller_flow
        probe = self._probes.get(flow)
        if probe is not None and now - probe.sent < PROBE_INTERVAL:
            return
        self._probes[flow] = Probe(now, balancer, deny_to, packet)
        self._forward(packet)
        self._counters.add("probes")

    def is_probing(self, flow: bytes) -> bool:
        """Return whether the server's reply to a probe of a flow is awaited."""
        return flow in self._probes

    def handle_returned_probe(self, packet: Packet) -> None:
        """Deny ownership of a flow whose probe the backend server returned."""
        probe = self._probes.pop(packet.caller_flow, None)
        if probe is not None:
            self.deny(packet, probe.packet.mark, probe.deny_to)

    def confirm_owner(self, flow: bytes) -> Probe | None:
        """Confirm ownership to the balancer of a probe and return the probe."""
        probe = self._probes.pop(flow, None)
        if probe is not None:
            self._send_message(encode(Owner(flow)), probe.balancer)
        return probe

    def deny(self, packet: Packet, mark: int, receiver: Address) -> None:
        """Report that the backend server doesn't own a flow.

        The receiver is the balancer, or the companion that collects denials for it.
        """
        data = self._codec.without_label(packet) if mark == Mark.OWNED else b""
        miss = LookupMiss(packet.caller_flow, data, self.outages.missing_entry_grace_ms)
        self._send_message(encode(miss), receiver)

    def sweep(self, now: timedelta) -> None:
        """Drop expired probes."""
        old = [k for k, v in self._probes.items() if now - v.sent >= SWEEP_INTERVAL]
        for flow in old:
            del self._probes[flow]

    def _has_all_flows(self) -> bool:
        """Return whether all flows of the server are tracked."""
        now = self._clock.monotonic()
        if self._flows.may_lack_open_flows(now):
            return False
        age = now - self._started
        return self._accepted_all_flows or age >= self._max_flow_duration
