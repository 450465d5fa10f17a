"""The platform's configuration service, read by HTTP long polling."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Final

import aiohttp
import voluptuous as vol
from result import Err, Ok, Result

from pomelotrail_core.settings.loader import parse_document

from .const import (
    LONG_POLL_TIMEOUT,
    MAX_DOCUMENT_BYTES,
    PART_CALL_BURST,
    PART_CALL_INTERVAL,
    SERVICE_TIMEOUT,
    VERSION_HEADER,
)
from .errors import SourceError
from .source import ConfigurationSource, Document
from .stream import join_stream, part_digest, split_stream

_LISTED_PARTS: Final = vol.Schema(
    {vol.Optional("parts", default=[]): [str]}, extra=True
)
_PARTS_KEY_LINE: Final = "\nparts:"


class ServiceSource(ConfigurationSource):
    """Reads a root document and the parts that it lists.

    Parts are at ``URL/parts/DIGEST``. A part that the document in force also
    contains is reused instead of fetched.
    """

    def __init__(
        self,
        url: str,
        current_document: Callable[[], Document | None] = lambda: None,
    ) -> None:
        """Read from ``url``; ``current_document`` returns the one in force."""
        self._url = url
        self._session: aiohttp.ClientSession | None = None
        self._current_document = current_document
        self.calls = 0

    @property
    def name(self) -> str:
        """Return the address of the service."""
        return self._url

    def set_session(self, session: aiohttp.ClientSession) -> None:
        """Set the session used for calls."""
        self._session = session

    @property
    def _http(self) -> aiohttp.ClientSession:
        """Return the session, which must be set before the first call."""
        assert self._session is not None
        return self._session

    async def async_fetch_newer(
        self, after: int, wait: timedelta = LONG_POLL_TIMEOUT
    ) -> Result[Document | None, SourceError]:
        """Query a version above ``after``, waiting at most ``wait``."""
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
                root = await self._async_read_body(response)
                version = int(response.headers.get(VERSION_HEADER, ""))
            return await self._async_add_parts(version, root)
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            problem = str(error) or type(error).__name__
            return Err(SourceError(self._url, problem))

    async def _async_add_parts(
        self, version: int, root: str
    ) -> Result[Document | None, SourceError]:
        """Return the document with the parts that the root lists."""
        if _PARTS_KEY_LINE not in root:
            return Ok(Document(version, root))
        match parse_document(root, _LISTED_PARTS, self._url):
            case Err(error):
                return Err(SourceError(self._url, str(error)))
            case Ok(listed):
                parts = await self._async_fetch_parts(listed["parts"])
                return Ok(Document(version, join_stream(root, parts)))

    async def _async_fetch_parts(self, digests: list[str]) -> list[str]:
        """Return the parts, reusing those of the document in force."""
        document = self._current_document()
        texts = split_stream(document.text)[1:] if document else []
        known = {part_digest(text).hex(): text for text in texts}
        missing = [digest for digest in digests if digest not in known]
        for count, digest in enumerate(missing):
            if count >= PART_CALL_BURST:
                await asyncio.sleep(PART_CALL_INTERVAL.total_seconds())
            known[digest] = await self._async_fetch_part(digest)
        return [known[digest] for digest in digests]

    async def _async_fetch_part(self, digest: str) -> str:
        """Fetch one part."""
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=SERVICE_TIMEOUT.total_seconds())
        async with self._http.get(
            f"{self._url}/parts/{digest}", timeout=timeout
        ) as response:
            return await self._async_read_body(response)

    async def _async_read_body(self, response: aiohttp.ClientResponse) -> str:
        """Return the body of a response, limited to ``MAX_DOCUMENT_BYTES``."""
        if response.status != 200:
            raise ValueError(f"status {response.status} for {response.url.path}")
        body = await response.read()
        if len(body) > MAX_DOCUMENT_BYTES:
            raise ValueError(f"more than {MAX_DOCUMENT_BYTES} bytes; use parts")
        return body.decode()
