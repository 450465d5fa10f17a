"""The platform's configuration service, read by HTTP long polls."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Final

import aiohttp
import voluptuous as vol
from result import Err, Ok, Result

from pomelotrail_core.settings.loader import parse_document

from .const import (
    LONG_POLL,
    MAX_DOCUMENT_BYTES,
    PART_CALLS_AT_ONCE,
    PART_CALLS_INTERVAL,
    SERVICE_TIMEOUT,
    VERSION_HEADER,
)
from .errors import SourceError
from .source import ConfigurationSource, Document
from .stream import join_stream, part_digest, split_stream

_PARTS: Final = vol.Schema({vol.Optional("parts", default=[]): [str]}, extra=True)
_PARTS_KEY: Final = "\nparts:"


class ServiceSource(ConfigurationSource):
    """Reads a root document and the parts that it lists.

    Parts are at ``URL/parts/DIGEST``. A part of the document in force is taken
    from there instead of the service.
    """

    def __init__(
        self,
        url: str,
        in_force: Callable[[], Document | None] = lambda: None,
    ) -> None:
        """Read the document at ``url``; ``in_force`` gives the parts at hand."""
        self._url = url
        self._session: aiohttp.ClientSession | None = None
        self._in_force = in_force
        self.calls = 0

    @property
    def name(self) -> str:
        """Return the address of the service."""
        return self._url

    def use(self, session: aiohttp.ClientSession) -> None:
        """Send calls through this session."""
        self._session = session

    @property
    def _http(self) -> aiohttp.ClientSession:
        """Return the session; it is given before the first call."""
        assert self._session is not None
        return self._session

    async def async_next(
        self, after: int, wait: timedelta = LONG_POLL
    ) -> Result[Document | None, SourceError]:
        """Ask for a version above ``after``, waiting at most ``wait``."""
        seconds = int(wait.total_seconds()) if after else 0
        query = {"after": str(after), "wait": str(seconds)}
        timeout = aiohttp.ClientTimeout(total=seconds + SERVICE_TIMEOUT.total_seconds())
        try:
            self.calls += 1
            async with self._http.get(
                self._url, params=query, timeout=timeout
            ) as response:
                if response.status == 304:
                    return Ok(None)
                root = await self._async_body(response)
                version = int(response.headers.get(VERSION_HEADER, ""))
            return await self._async_complete(version, root)
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            problem = str(error) or type(error).__name__
            return Err(SourceError(self._url, problem))

    async def _async_complete(
        self, version: int, root: str
    ) -> Result[Document | None, SourceError]:
        """Add the parts that the root lists."""
        if _PARTS_KEY not in root:
            return Ok(Document(version, root))
        match parse_document(root, _PARTS, self._url):
            case Err(error):
                return Err(SourceError(self._url, str(error)))
            case Ok(listed):
                parts = await self._async_parts(listed["parts"])
                return Ok(Document(version, join_stream(root, parts)))

    async def _async_parts(self, digests: list[str]) -> list[str]:
        """Return the parts, from the document in force where it has them."""
        document = self._in_force()
        texts = split_stream(document.text)[1:] if document else []
        known = {part_digest(text).hex(): text for text in texts}
        missing = [digest for digest in digests if digest not in known]
        for count, digest in enumerate(missing):
            if count >= PART_CALLS_AT_ONCE:
                await asyncio.sleep(PART_CALLS_INTERVAL.total_seconds())
            known[digest] = await self._async_part(digest)
        return [known[digest] for digest in digests]

    async def _async_part(self, digest: str) -> str:
        """Read one part."""
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=SERVICE_TIMEOUT.total_seconds())
        async with self._http.get(
            f"{self._url}/parts/{digest}", timeout=timeout
        ) as response:
            return await self._async_body(response)

    async def _async_body(self, response: aiohttp.ClientResponse) -> str:
        """Read the body of a response, at most one value of the service."""
        if response.status != 200:
            raise ValueError(f"status {response.status} for {response.url.path}")
        body = await response.read()
        if len(body) > MAX_DOCUMENT_BYTES:
            raise ValueError(f"more than {MAX_DOCUMENT_BYTES} bytes; use parts")
        return body.decode()
