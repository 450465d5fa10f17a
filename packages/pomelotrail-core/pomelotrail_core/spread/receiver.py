"""Process configuration updates from peers."""

import asyncio
import zlib

from result import Err, Ok, Result

from pomelotrail_core.configuration import ConfigurationCoordinator
from pomelotrail_core.configuration.delta import apply_delta, decompress
from pomelotrail_core.configuration.source import Document
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.peers import PeerError

from .history import VersionDelta
from .network import PeerNetwork
from .publisher import Publisher
from .spread_pb2 import FetchRequest, SpreadMessage


class Receiver:
    """Applies deltas and fetches the document when a delta does not apply."""

    def __init__(
        self,
        coordinator: ConfigurationCoordinator,
        publisher: Publisher,
        network: PeerNetwork,
    ) -> None:
        """Offer received documents to the coordinator."""
        self._coordinator = coordinator
        self._publisher = publisher
        self._network = network
        self._fetch_lock = asyncio.Lock()

    async def async_handle(
        self, peer: Endpoint, message: SpreadMessage
    ) -> Result[None, PeerError]:
        """Process a message; return an error if the peer sent invalid data."""
        if message.version <= self._coordinator.version:
            return Ok(None)
        if message.delta and self._adopt_delta(peer, message):
            return Ok(None)
        return await self.async_fetch(peer, message.version, message.digest)

    async def async_fetch(
        self, peer: Endpoint, version: int, digest: bytes = b""
    ) -> Result[None, PeerError]:
        """Fetch the document of a peer that announced ``version``."""
        async with self._fetch_lock:
            if self._coordinator.version >= version:
                return Ok(None)
            if digest and self._coordinator.has_refused(digest):
                return Err(
                    PeerError(peer, "it sent a document that was already rejected")
                )
            match await self._network.async_fetch(peer, FetchRequest(whole=True)):
                case Err(error):
                    return Err(error)
                case Ok(reply):
                    return self._adopt_document(peer, version, reply)

    def _adopt_delta(self, peer: Endpoint, message: SpreadMessage) -> bool:
        """Apply a delta and adopt the result, if it fits the version in force."""
        base = self._coordinator.document
        if base is None or base.version != message.base_version:
            return False
        match apply_delta(base, message.delta, message.version, message.digest):
            case Err(_):
                return False
            case Ok(document):
                step = VersionDelta(
                    base_version=base.version,
                    base_digest=base.digest,
                    version=document.version,
                    digest=document.digest,
                    delta=message.delta,
                )
                self._publisher.expect_delta(step)
                return self._coordinator.adopt_if_newer(document, str(peer))

    def _adopt_document(
        self, peer: Endpoint, version: int, reply: SpreadMessage
    ) -> Result[None, PeerError]:
        """Adopt the document of a reply."""
        try:
            text = decompress(reply.document).decode()
        except (zlib.error, UnicodeDecodeError) as error:
            return Err(PeerError(peer, f"its document can't be read: {error}"))
        self._coordinator.adopt_if_newer(Document(reply.version, text), str(peer))
        if self._coordinator.version < version:
            return Err(PeerError(peer, f"it does not have version {version}"))
        return Ok(None)
