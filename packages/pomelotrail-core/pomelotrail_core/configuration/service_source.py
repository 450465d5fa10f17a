"""The platform's configuration service, read by HTTP long polls."""

import aiohttp
from result import Err, Ok, Result

from .const import LONG_POLL, MAX_DOCUMENT_BYTES, SERVICE_TIMEOUT, VERSION_HEADER
from .errors import SourceError
from .source import ConfigurationSource, Document


class ServiceSource(ConfigurationSource):
    """Reads one key of the configuration service."""

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        """Read the document at ``url``."""
        self._url = url
        self._session = session
        self._timeout = aiohttp.ClientTimeout(
            total=(LONG_POLL + SERVICE_TIMEOUT).total_seconds()
        )

    @property
    def name(self) -> str:
        """Return the address of the service."""
        return self._url

    async def async_next(self, after: int) -> Result[Document | None, SourceError]:
        """Ask for a version above ``after``, waiting at most one long poll."""
        wait = str(int(LONG_POLL.total_seconds()) if after else 0)
        query = {"after": str(after), "wait": wait}
        try:
            async with self._session.get(
                self._url, params=query, timeout=self._timeout
            ) as response:
                return await self._async_read(response)
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            return Err(SourceError(self._url, type(error).__name__))

    async def _async_read(
        self, response: aiohttp.ClientResponse
    ) -> Result[Document | None, SourceError]:
        """Read one response of the service."""
        if response.status == 304:
            return Ok(None)
        if response.status != 200:
            return Err(SourceError(self._url, f"status {response.status}"))
        body = await response.content.read(MAX_DOCUMENT_BYTES + 1)
        version = int(response.headers.get(VERSION_HEADER, ""))
        return Ok(Document(version, body.decode()))
