"""Errors of the HTTP service."""


class HandlerError(Exception):
    """A handler failed; the client gets no reply."""

    def __init__(self, path: str, error: Exception) -> None:
        """Initialize with the path of the request and the error of its handler."""
        super().__init__(path, error)
        self._path = path
        self._error = error

    def __str__(self) -> str:
        """Return a message with the path and the error."""
        return f"the handler of {self._path} failed: {self._error!r}"
