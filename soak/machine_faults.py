"""Faults of ordinary machines: logs, addresses, files, signals and limits."""

import asyncio
import resource
import signal
import socket
from collections.abc import Awaitable, Callable
from typing import Final

from .const import METRICS_PORT
from .fleet import SoakFleet
from .processes import LOG_CLOSED, LOG_FULL, SoakProcess
from .schedule import Fault, FaultKind

# A metrics address that is held for longer stays so until the end of the run.
_HELD_FOR_GOOD_S: Final = 2.0
# Signals come in this time after the launcher has begun.
_EARLY_SIGNAL_S: Final = 0.15
_POLLS_FOR_BEGIN: Final = 500
_POLL_INTERVAL_S: Final = 0.002
_HANGUPS: Final = 3
_REPEATS: Final = 2
_REPLACEMENT_STEP_S: Final = 0.03
_LONGEST_FAULT_S: Final = 3.0
_LARGE_ENTRIES: Final = 3
_LARGE_ENTRY_BYTES: Final = 1_000_000
_FEWEST_DESCRIPTORS: Final = 12
_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class MachineFaults:
    """Injects what differs between the bench and ordinary machines."""

    def __init__(self, fleet: SoakFleet) -> None:
        """Initialize with the fleet."""
        self._fleet = fleet
        self.handlers: dict[
            FaultKind, Callable[[Fault, SoakProcess], Awaitable[None]]
        ] = {
            FaultKind.LOG_READER_GONE: self._async_close_log_reader,
            FaultKind.LOG_READER_STILL: self._async_pause_log_reader,
            FaultKind.LOG_UNUSABLE: self._async_spoil_log,
            FaultKind.METRICS_HELD: self._async_hold_metrics,
            FaultKind.READINESS_HELD: self._async_hold_readiness,
            FaultKind.PACKETS_HELD: self._async_hold_packets,
            FaultKind.PEERS_HELD: self._async_hold_peers,
            FaultKind.SETTINGS_ABSENT: self._async_remove_settings,
            FaultKind.SETTINGS_HALF: self._async_cut_settings,
            FaultKind.SETTINGS_REPLACED: self._async_replace_settings,
            FaultKind.EARLY_SIGNALS: self._async_signal_early,
            FaultKind.REPEATED_SIGNALS: self._async_signal_again,
            FaultKind.LARGE_ENTRIES: self._async_write_large_entries,
            FaultKind.FEW_DESCRIPTORS: self._async_limit_descriptors,
        }

    async def _async_close_log_reader(self, fault: Fault, process: SoakProcess) -> None:
        """Close the pipe that a process logs to, and read it again later."""
        process.pipe.close_reader()
        await asyncio.sleep(fault.for_s)
        process.pipe.resume()

    async def _async_pause_log_reader(self, fault: Fault, process: SoakProcess) -> None:
        """Let the pipe that a process logs to get full, also while it starts."""
        process.pipe.pause()
        if fault.pick_one(2):
            await self._fleet.async_restart(process, signal.SIGTERM)
        await asyncio.sleep(fault.for_s)
        process.pipe.resume()

    async def _async_spoil_log(self, fault: Fault, process: SoakProcess) -> None:
        """Start a process with a full device for its log, or without any streams."""

        def spoil_streams() -> None:
            """Redirect the streams in the next start only."""
            process.streams_once = LOG_CLOSED if fault.pick_one(2) else LOG_FULL

        await self._fleet.async_restart(process, signal.SIGTERM, spoil_streams)

    async def _async_hold_metrics(self, fault: Fault, process: SoakProcess) -> None:
        """Hold the metrics address, some times for good."""
        is_for_good = fault.for_s > _HELD_FOR_GOOD_S
        if is_for_good:
            self._fleet.without_metrics.add(process.name)
        await self._async_hold(
            fault, process, socket.SOCK_STREAM, METRICS_PORT, is_for_good
        )

    async def _async_hold_readiness(self, fault: Fault, process: SoakProcess) -> None:
        """Hold the readiness address."""
        port = self._fleet.ports.ready
        await self._async_hold(fault, process, socket.SOCK_STREAM, port)

    async def _async_hold_packets(self, fault: Fault, process: SoakProcess) -> None:
        """Hold the address of callers' packets."""
        port = self._fleet.ports.packets
        await self._async_hold(fault, process, socket.SOCK_DGRAM, port)

    async def _async_hold_peers(self, fault: Fault, process: SoakProcess) -> None:
        """Hold the address of other processes' messages."""
        port = self._fleet.ports.fleet
        await self._async_hold(fault, process, socket.SOCK_DGRAM, port)

    async def _async_hold(
        self,
        fault: Fault,
        process: SoakProcess,
        kind: socket.SocketKind,
        port: int,
        is_for_good: bool = False,
    ) -> None:
        """Let another program hold an address of a process that restarts."""
        holder = socket.socket(socket.AF_INET, kind)
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

        def hold() -> None:
            """Bind the address while the process is down."""
            try:
                holder.bind((process.host, port))
            except OSError:
                # Another fault holds it.
                return
            if kind is socket.SOCK_STREAM:
                holder.listen()

        self._fleet.holders.append(holder)
        await self._fleet.async_restart(process, signal.SIGTERM, hold)
        if not is_for_good:
            await asyncio.sleep(fault.for_s)
            holder.close()

    async def _async_remove_settings(self, fault: Fault, process: SoakProcess) -> None:
        """Remove the settings file for a time."""
        await self._async_spoil_settings(
            fault, process, lambda: process.settings.unlink(missing_ok=True)
        )

    async def _async_cut_settings(self, fault: Fault, process: SoakProcess) -> None:
        """Leave the settings file half written for a time."""
        await self._async_spoil_settings(
            fault, process, lambda: self._cut_settings(fault, process)
        )

    async def _async_replace_settings(self, fault: Fault, process: SoakProcess) -> None:
        """Write the settings file again and again, in steps."""
        remove = lambda: process.settings.unlink(missing_ok=True)  # noqa: E731
        spoiling = asyncio.create_task(
            self._async_spoil_settings(fault, process, remove)
        )
        while not spoiling.done():
            for step in (
                remove,
                lambda: self._cut_settings(fault, process),
                lambda: self._fleet.write_settings(process),
            ):
                step()
                await asyncio.sleep(_REPLACEMENT_STEP_S)
        await spoiling

    async def _async_spoil_settings(
        self, fault: Fault, process: SoakProcess, spoil: Callable[[], None]
    ) -> None:
        """Spoil the settings at a restart, or while running with or without SIGHUP."""
        mode = fault.pick_one(3)
        if mode == 0:
            await self._fleet.async_restart(process, signal.SIGTERM, spoil)
        else:
            spoil()
        if mode == 1:
            process.send_to_running(signal.SIGHUP)
        await asyncio.sleep(fault.for_s)
        self._fleet.write_settings(process)
        if mode == 1:
            process.send_to_running(signal.SIGHUP)

    def _cut_settings(self, fault: Fault, process: SoakProcess) -> None:
        """Write a part of the settings file."""
        self._fleet.write_settings(process)
        text = process.settings.read_text().rstrip()
        length = int(len(text) * fault.for_s / _LONGEST_FAULT_S)
        process.settings.write_text(text[: min(length, len(text) - 1)])

    async def _async_signal_early(self, fault: Fault, process: SoakProcess) -> None:
        """Send SIGHUP while a process starts, then tell it to stop at once."""
        await self._fleet.async_restart(process, signal.SIGTERM)
        for _ in range(_POLLS_FOR_BEGIN):
            if process.has_begun:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        for _ in range(_HANGUPS):
            await asyncio.sleep(_EARLY_SIGNAL_S / _HANGUPS * fault.pick)
            process.send_to_running(signal.SIGHUP)
        number = _STOP_SIGNALS[fault.pick_one(2)]
        await self._fleet.async_restart(process, number, repeats=fault.pick_one(3))

    async def _async_signal_again(self, fault: Fault, process: SoakProcess) -> None:
        """Repeat a stop signal, with SIGHUP, while a process shuts down."""
        number = _STOP_SIGNALS[fault.pick_one(2)]
        await self._fleet.async_restart(process, number, repeats=_REPEATS)

    async def _async_write_large_entries(
        self, fault: Fault, process: SoakProcess
    ) -> None:
        """Let other writers write entries of up to a megabyte each."""
        size = int(fault.pick * _LARGE_ENTRY_BYTES)
        contents = (
            b'{"note": "' + b"x" * size + b'"}',
            b'{"tags": [' + b"1," * (size // 2) + b"1]}",
            b"\xff" * size,
        )
        keys = [f"inventory-{fault.at}-{each}" for each in range(_LARGE_ENTRIES)]
        for key, content in zip(keys, contents, strict=True):
            self._fleet.store.write(f"servers/{key}", content)
        await asyncio.sleep(fault.for_s)
        for key in keys:
            self._fleet.publisher.remove_server(key)

    async def _async_limit_descriptors(
        self, fault: Fault, process: SoakProcess
    ) -> None:
        """Leave a process few descriptors, from its start or while it runs."""
        limit = _FEWEST_DESCRIPTORS + fault.pick_one(8)
        if fault.pick_one(2):

            def limit_start() -> None:
                """Limit the next start only."""
                process.limit_once = f"ulimit -S -n {limit}"

            await self._fleet.async_restart(process, signal.SIGTERM, limit_start)
        else:
            process.limit_descriptors(limit)
        await asyncio.sleep(fault.for_s)
        process.limit_descriptors(resource.getrlimit(resource.RLIMIT_NOFILE)[0])
