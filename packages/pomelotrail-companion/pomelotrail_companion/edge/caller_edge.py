"""The caller edge as an interface, so that decisions know no wire protocol."""

import abc
import enum

from pomelotrail_core.routing import ForwardedPacket


class PacketVerdict(enum.Enum):
    """What the edge makes of a packet."""

    TAKEN = "taken"
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
    def offer(self, packet: ForwardedPacket) -> PacketVerdict:
        """Handle a packet of a known flow; say what it is otherwise."""

    @abc.abstractmethod
    def classify(self, packet: ForwardedPacket) -> PacketVerdict:
        """Say what a packet of an unknown flow is."""

    @abc.abstractmethod
    def open_flow(self, packet: ForwardedPacket) -> bool:
        """Open a new flow; False if the packet turns out to open none."""

    @abc.abstractmethod
    def refuse(self, packet: ForwardedPacket) -> None:
        """Tell the sender of an opening packet that its flow is refused."""

    @property
    @abc.abstractmethod
    def busy_flow_count(self) -> int:
        """Return the number of flows with an answer that is not whole yet."""

    @abc.abstractmethod
    def announce_leaving(self) -> None:
        """Ask callers to open their next flow elsewhere."""

    @abc.abstractmethod
    def resume(self) -> None:
        """Keep the flows that open from now on."""

    @abc.abstractmethod
    def refuse_requests(self) -> None:
        """Process no further requests; the running ones are answered."""

    @abc.abstractmethod
    def close_idle(self) -> None:
        """Close the flows whose answers are whole."""

    @abc.abstractmethod
    def close_all(self, reason: str) -> None:
        """Close every flow, telling callers the reason."""
