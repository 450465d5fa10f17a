"""Malformed and unexpected datagrams at the ports of balancers and companions.

The decoders must ignore what they can't read, and a handler that raises must not
end its process.
"""

import asyncio
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from harness.flow_fleet import (
    CALLERS_HOST,
    FLEET_PORT,
    FROM_SERVER_PORT,
    PACKETS_PORT,
    SERVICE,
    FlowFleet,
    MemoryLogWriter,
)
from harness.virtual_time import VirtualClock, run_in_virtual_time
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import catch_errors
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.offers import (
    CollectedDenials,
    Lookup,
    LookupMiss,
    LookupReply,
    Offer,
    OfferReply,
    Outcome,
    Owner,
    Ping,
    Pong,
    Probe,
    ProbeRequest,
    decode,
    encode,
)

_NUMBERS = st.integers(-(2**63), 2**64 - 1)
_FLOW_INDEXES = st.lists(_NUMBERS, max_size=3).map(tuple)
_BYTES = st.binary(max_size=48)
_MESSAGES = st.one_of(
    st.builds(
        Offer,
        _NUMBERS,
        st.sampled_from((SERVICE, "another", "")),
        _NUMBERS,
        _NUMBERS,
        st.none() | st.floats(allow_nan=True),
        _NUMBERS,
        st.integers(0, 10_000),
        _BYTES,
        st.integers(0, 10_000),
        age_ms=st.none() | _NUMBERS,
        max_wait_ms=st.none() | _NUMBERS,
    ),
    st.builds(
        OfferReply,
        _NUMBERS,
        st.sampled_from(Outcome),
        _NUMBERS,
        _NUMBERS,
        st.floats(allow_nan=True),
        wait_ms=st.none() | st.floats(allow_nan=True),
    ),
    st.builds(Owner, _BYTES),
    st.builds(
        Lookup,
        _NUMBERS,
        st.just(SERVICE),
        st.lists(_BYTES, max_size=3).map(tuple),
        st.integers(0, 10_000),
        _NUMBERS,
    ),
    st.builds(
        LookupReply, _NUMBERS, _FLOW_INDEXES, _FLOW_INDEXES, st.integers(0, 10_000)
    ),
    st.builds(LookupMiss, _BYTES, _BYTES, st.integers(0, 10_000)),
    st.builds(
        ProbeRequest,
        _BYTES,
        _BYTES,
        st.lists(_BYTES, max_size=70).map(tuple),
        st.booleans(),
    ),
    st.builds(Probe, _BYTES, _BYTES, st.booleans()),
    st.builds(CollectedDenials, _BYTES, st.lists(_BYTES, max_size=3).map(tuple)),
    st.builds(Ping, _NUMBERS),
    st.builds(Pong, _NUMBERS, _NUMBERS, _NUMBERS, st.floats(allow_nan=True)),
)
_PORTS = (PACKETS_PORT, FLEET_PORT, FROM_SERVER_PORT)


async def async_send_hostile_datagrams(
    datagrams: list[tuple[int, bytes]],
) -> list[bytes | int | None]:
    """Send datagrams to all processes; return the answers to two later requests.

    The last value is the number of datagrams for which a handler raised.
    """
    fleet = FlowFleet(servers=2)
    fleet.network.guard_receivers(fleet.log, fleet.counters)
    caller = fleet.caller()
    await caller.async_open_and_request(b"before")
    send = fleet.network.sender(("192.0.2.99", FLEET_PORT))
    for port, data in datagrams:
        for host in (*fleet.servers, *fleet.balancer_names):
            send(data, (host, port))
    answer = await caller.async_send_request(b"after", 3)
    new_flow_answer = await fleet.caller().async_open_and_request(b"again")
    failures = fleet.counters.value("datagrams_failed")
    return [answer, new_flow_answer, failures]


class HostileDatagramTest(unittest.TestCase):
    """Malformed datagrams don't disturb the flows of callers."""

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.sampled_from(_PORTS), _BYTES | _MESSAGES.map(encode)),
            max_size=6,
        )
    )
    def test_callers_are_served(self, datagrams: list[tuple[int, bytes]]) -> None:
        """Random bytes and messages with random fields come from an unknown address."""
        served = run_in_virtual_time(async_send_hostile_datagrams(datagrams))
        self.assertEqual(served, [b"answer to after", b"answer to again", 0])

    def test_deeply_nested_message(self) -> None:
        """It is malformed like others that can't be decoded."""
        self.assertIsNone(decode(b"\x93\x05\x01" + b"\x91" * 2_000))

    def test_failure_of_a_handler(self) -> None:
        """The exception is logged and counted, and the next datagram is handled."""
        lines = MemoryLogWriter()
        log = EventLog("test", VirtualClock(), lines)
        counters = Counters()
        handled = []

        def handle(data: bytes, sender: tuple[str, int]) -> None:
            """Raise on one datagram."""
            if data == b"bad":
                raise OverflowError("no such number")
            handled.append(data)

        async def async_run() -> None:
            """Receive one datagram that raises and one that doesn't."""
            receive = catch_errors(handle, log, counters)
            receive(b"bad", (CALLERS_HOST, 1))
            receive(b"good", (CALLERS_HOST, 1))

        run_in_virtual_time(async_run())
        log.flush()
        self.assertEqual(handled, [b"good"])
        self.assertEqual(counters.value("datagrams_failed"), 1)
        self.assertIn(b"no such number", lines.content)


class ImplausibleValuesTest(unittest.TestCase):
    """A balancer's message with a value out of range is counted, not believed."""

    def test_grace_period_longer_than_any(self) -> None:
        """Balancers that ask later aren't told that entries may be missing."""

        async def async_test() -> tuple[LookupReply, int | None, int]:
            """Send two lookups with a long grace period, and a usual one."""
            fleet = FlowFleet(servers=1)
            (companion,) = fleet.servers
            replies = []
            balancer = ("192.0.2.99", FLEET_PORT)
            fleet.network.listen(balancer, lambda data, _: replies.append(decode(data)))
            send = fleet.network.sender(balancer)
            for lookup in (
                Lookup(1, SERVICE, (), unsettled_ms=10**9),
                Lookup(2, SERVICE, (), unsettled_ms=-1),
                Lookup(3, SERVICE, ()),
            ):
                send(encode(lookup), (companion, FLEET_PORT))
            await asyncio.sleep(1)
            fleet.log.flush()
            logged = fleet.lines.content.count(b"message_malformed")
            return replies[-1], fleet.counters.value("messages_malformed"), logged

        reply, malformed, logged = run_in_virtual_time(async_test())
        self.assertEqual((reply.number, reply.unsettled_ms), (3, 0))
        self.assertEqual((malformed, logged), (2, 1))

    def test_offers_out_of_range(self) -> None:
        """No field may have a value that operators and servers can't set."""
        offer = Offer(1, SERVICE, 4, 4, 2.0, 1, 250, b"")
        self.assertEqual(decode(encode(offer)), offer)
        for field, value in (
            ("limit", -1),
            ("slots", 10**7),
            ("cold_per_s", -0.5),
            ("cold_per_s", float("nan")),
            ("cold_per_s", float("inf")),
            ("priority", -1),
            ("target_ms", 10**9),
            ("unsettled_ms", 2_001),
            ("era", -1),
            ("start_per_s", -0.5),
            ("age_ms", -1),
            ("age_ms", 10**9),
            ("max_wait_ms", -1),
            ("max_wait_ms", 10**9),
        ):
            with self.subTest(field=field, value=value):
                changed = msgspec.structs.replace(offer, **{field: value})
                self.assertIsNone(decode(encode(changed)))
