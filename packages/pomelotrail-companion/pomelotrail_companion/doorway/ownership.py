"""Tells balancers which flows the backend server holds."""

from collections.abc import Callable
from datetime import UTC, datetime, timedelta

import msgspec

from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import Mark, Packet, PacketCodec
from pomelotrail_core.offers import Lookup, LookupMiss, LookupReply, Owner, encode

from .const import LOADING_TIME, LONGEST_FLOW, PROBE_INTERVAL, SWEEP_INTERVAL
from .flow_book import FlowBook
from .outage_news import OutageNews


class Probe(msgspec.Struct, frozen=True):
    """A packet of an unknown flow that the backend server was given."""

    at: timedelta
    balancer: Address
    packet: Packet


class Ownership:
    """Answers for the flows of one backend server.

    What the book holds is certain. Of other flows, a process that is younger than
    the longest flow and than its backend server lets that server answer: it is given
    one packet, a *probe*, and either returns it or goes on with the flow.
    """

    def __init__(
        self,
        service: str,
        is_first_start: bool,
        process_started: datetime,
        book: FlowBook,
        codec: PacketCodec,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        send_message: SendDatagram,
        give: Callable[[Packet], None],
    ) -> None:
        """Answer balancers by ``send_message`` and probe by ``give``."""
        self._service = service
        self._knows_all_flows = is_first_start
        self._book = book
        self._codec = codec
        self._clock = clock
        self._log = log
        self._process_started = process_started
        self._counters = counters
        self._send_message = send_message
        self._give = give
        self._started = clock.monotonic()
        self.outages = OutageNews(clock)
        self._probes: dict[bytes, Probe] = {}

    def note_server_start(self, started_ms: int) -> None:
        """Take when the backend server started, by the same VM's time of day.

        All its flows came in by this process if it started no earlier, or so little
        earlier that another process could not have been loaded before this one.

        Load pattern answered: after a power loss, every open flow of the service is
        looked up at every companion. Letting the backend servers answer takes six
        messages for each, which is more than slow links and processors carry.
        """
        if self._knows_all_flows or not started_ms:
            return
        started = datetime.fromtimestamp(started_ms / 1000, UTC)
        if self._process_started - started > LOADING_TIME:
            return
        self._knows_all_flows = True
        self._log.write("ownership", "knows_all_flows", server_started=str(started))

    def answer(self, question: Lookup, balancer: Address) -> None:
        """Answer a lookup.

        A question about a server of another service is about an earlier one at this
        address, which holds nothing any more.
        """
        self.outages.note(question.unsettled_ms)
        self.note_server_start(question.server_started_ms)
        is_own = question.service == self._service
        owned = []
        unsure = []
        for place, flow in enumerate(question.flows):
            booked = self._book.get(flow)
            if booked is not None and booked.is_open:
                owned.append(place)
            elif is_own and (booked is not None or not self._knows_flows()):
                unsure.append(place)
        reply = LookupReply(
            question.number, tuple(owned), tuple(unsure), self.outages.unsettled_ms
        )
        self._send_message(encode(reply), balancer)

    def receive_unknown(self, packet: Packet, balancer: Address) -> None:
        """Let the backend server answer for a flow, or deny it."""
        if self._knows_flows():
            self.deny(packet, packet.mark, balancer)
            return
        now = self._clock.monotonic()
        flow = packet.caller_flow
        probe = self._probes.get(flow)
        if probe is not None and now - probe.at < PROBE_INTERVAL:
            return
        self._probes[flow] = Probe(now, balancer, packet)
        self._give(packet)
        self._counters.add("probes")

    def receive_returned(self, packet: Packet) -> None:
        """Deny a flow whose probe the backend server returned."""
        probe = self._probes.pop(packet.caller_flow, None)
        if probe is not None:
            self.deny(packet, probe.packet.mark, probe.balancer)

    def claim(self, flow: bytes) -> Probe | None:
        """Tell the balancer of a probe that the server holds its flow; return it."""
        probe = self._probes.pop(flow, None)
        if probe is not None:
            self._send_message(encode(Owner(flow)), probe.balancer)
        return probe

    def deny(self, packet: Packet, mark: int, balancer: Address) -> None:
        """Tell a balancer that the backend server doesn't hold a flow."""
        data = self._codec.without_label(packet) if mark == Mark.OWNED else b""
        miss = LookupMiss(packet.caller_flow, data, self.outages.unsettled_ms)
        self._send_message(encode(miss), balancer)

    def sweep(self, now: timedelta) -> None:
        """Forget probes that nobody answered."""
        old = [k for k, v in self._probes.items() if now - v.at >= SWEEP_INTERVAL]
        for flow in old:
            del self._probes[flow]

    def _knows_flows(self) -> bool:
        """Tell whether no flow can be older than this process."""
        age = self._clock.monotonic() - self._started
        return self._knows_all_flows or age >= LONGEST_FLOW
