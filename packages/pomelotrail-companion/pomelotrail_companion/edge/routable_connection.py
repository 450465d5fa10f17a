"""QUIC connections whose connection IDs are routing tokens.

``aioquic`` makes connection IDs at random and has no option to supply others,
so this class sets them on private attributes. The version of ``aioquic`` is
pinned, and a test covers every place where the library uses them.
"""

import os
from typing import Any

from aioquic.quic.connection import (
    QuicConnection,
    QuicConnectionId,
    QuicConnectionState,
)

from pomelotrail_core.routing import TokenMint

from .const import ISSUED_CONNECTION_IDS, STATELESS_RESET_BYTES


class RoutableQuicConnection(QuicConnection):
    """A server connection whose IDs name this companion."""

    def __init__(self, *, mint: TokenMint, **options: Any) -> None:
        """Open a connection with IDs from ``mint``."""
        super().__init__(**options)
        self._mint = mint
        first = mint.mint()
        self._host_cids[0].cid = first
        self.host_cid = first
        self._local_initial_source_connection_id = first

    @property
    def is_opened(self) -> bool:
        """Tell whether an Initial packet of the caller could be decrypted."""
        return self._state is not QuicConnectionState.FIRSTFLIGHT

    def _replenish_connection_ids(self) -> None:
        """Issue further connection IDs, up to what the caller accepts."""
        limit = min(ISSUED_CONNECTION_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < limit:
            self._host_cids.append(
                QuicConnectionId(
                    cid=self._mint.mint(),
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=os.urandom(STATELESS_RESET_BYTES),
                )
            )
            self._host_cid_seq += 1
