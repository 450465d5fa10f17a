"""Interface of the caller edge, independent of the wire protocol."""

import abc
import enum

from pomelotrail_core.routing import ForwardedPacket


class PacketVerdict(enum.Enum):
    """Outcome of offering a packet to the edge."""

    HANDLED = "taken"
    OPENING = "opening"
    UNKNOWN = "unknown"
    MALFORMED = "malformed"


class CallerEdge(abc.ABC):
    """Terminates the flows of callers."""

    @property
    @abc.abstractmethod
    def flow_count(self) -> int:
        """Return the number of open flows."""

    @abc.abstractmethod
    def handle_packet(self, packet: ForwardedPacket) -> PacketVerdict:
        """Handle a packet of a known flow, or classify any other packet."""

    @abc.abstractmethod
    def classify(self, packet: ForwardedPacket) -> PacketVerdict:
        """Classify a packet of an unknown flow."""

    @abc.abstractmethod
    def open_flow(self, packet: ForwardedPacket) -> bool:
        """Open a new flow; return False if the packet can't open one."""

    @abc.abstractmethod
    def refuse(self, packet: ForwardedPacket) -> None:
        """Refuse the flow of an opening packet and notify the caller."""

    @property
    @abc.abstractmethod
    def busy_flow_count(self) -> int:
        """Return the number of flows with an incomplete answer."""

    @abc.abstractmethod
    def announce_leaving(self) -> None:
        """Tell callers to open their next flow at another companion."""

    @abc.abstractmethod
    def resume(self) -> None:
        """Stop announcing to new flows that the companion is leaving."""

    @abc.abstractmethod
    def refuse_requests(self) -> None:
        """Reject new requests; running requests are still answered."""

    @abc.abstractmethod
    def close_idle(self) -> None:
        """Close the flows whose answers are complete."""

    @abc.abstractmethod
    def close_all(self, reason: str) -> None:
        """Close every flow and send the reason to its caller."""
