"""Reads HTTP/1.1 responses from a stream of bytes."""

from __future__ import annotations

from typing import NamedTuple

# Far above the size of any list. A larger response is not read any further.
MAX_HEAD_BYTES, MAX_BODY_BYTES = 16 << 10, 8 << 20


class HttpError(Exception):
    """A response that is not HTTP/1.1, or can't be used."""


class HttpResponse(NamedTuple):
    """One response of discovery."""

    status: int
    closes: bool  # the server closes the connection after it
    body: bytes


class HttpReader:
    """Reads responses from a stream. A body has a length, comes in chunks, or extends to the stream's end."""

    def __init__(self) -> None:
        """Starts in front of a response."""
        self._data = b""
        self._read = self._read_head
        self._status = 0
        self._closes = False
        self._length = 0
        self._body: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> HttpResponse | None:
        """Returns the response that the data completes, if any. Raises HttpError."""
        self._data += data
        while True:
            reader = self._read
            response = reader()
            if response is not None or self._read == reader:
                return response

    def end(self) -> HttpResponse | None:
        """Returns the response that ends with the stream, if its body has neither length nor chunks."""
        if self._read != self._until_closed:
            return None
        return self._finish_response()

    def _consume(self, size: int) -> bytes:
        consumed, self._data = self._data[:size], self._data[size:]
        return consumed

    def _read_line(self) -> bytes | None:
        at = self._data.find(b"\r\n")
        if at < 0:
            if len(self._data) > MAX_HEAD_BYTES:
                raise HttpError("a line is too long")
            return None
        return self._consume(at + 2)[:-2]

    def _append_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > MAX_BODY_BYTES:
            raise HttpError("the body is too long")
        self._body.append(data)

    def _read_head(self) -> HttpResponse | None:
        end = self._data.find(b"\r\n\r\n")
        if (end if end >= 0 else len(self._data)) > MAX_HEAD_BYTES:
            raise HttpError("the head is too long")
        if end < 0:
            return None
        first, *lines = self._consume(end + 4)[:-4].decode("latin-1").split("\r\n")
        version, _, rest = first.partition(" ")
        if not version.startswith("HTTP/1.") or not rest[:3].isdecimal():
            raise HttpError(f"not an HTTP/1 response: {first[:60]!r}")
        self._status = int(rest[:3])
        if 100 <= self._status < 200:
            return None
        fields = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon:
                raise HttpError(f"not a header field: {line[:60]!r}")
            fields[name.strip().lower()] = value.strip().lower()
        self._closes = "close" in fields.get("connection", "") or version == "HTTP/1.0"
        self._body, self._size = [], 0
        length = fields.get("content-length")
        if "chunked" in fields.get("transfer-encoding", ""):
            self._read = self._read_chunk_size
        elif length is not None:
            if not length.isdecimal() or int(length) > MAX_BODY_BYTES:
                raise HttpError(f"invalid Content-Length: {length[:20]!r}")
            self._length = int(length)
            self._read = self._read_by_length
        elif self._status in (204, 304):
            return self._finish_response()
        else:
            self._closes = True
            self._read = self._until_closed
        return None

    def _read_by_length(self) -> HttpResponse | None:
        if len(self._data) < self._length:
            return None
        self._append_body(self._consume(self._length))
        return self._finish_response()

    def _read_chunk_size(self) -> HttpResponse | None:
        line = self._read_line()
        if line is not None:
            try:
                self._length = int(line.partition(b";")[0], 16)
            except ValueError as error:
                raise HttpError(f"invalid chunk size: {line[:20]!r}") from error
            if not 0 <= self._length <= MAX_BODY_BYTES:
                raise HttpError("a chunk is too long")
            self._read = self._read_chunk if self._length else self._read_trailer
        return None

    def _read_chunk(self) -> HttpResponse | None:
        if len(self._data) >= self._length + 2:
            chunk = self._consume(self._length + 2)
            if chunk[-2:] != b"\r\n":
                raise HttpError("a chunk is longer than its size")
            self._append_body(chunk[:-2])
            self._read = self._read_chunk_size
        return None

    def _read_trailer(self) -> HttpResponse | None:
        while (line := self._read_line()) is not None:
            if not line:
                return self._finish_response()
        return None

    def _until_closed(self) -> HttpResponse | None:
        self._append_body(self._consume(len(self._data)))
        return None

    def _finish_response(self) -> HttpResponse:
        self._read = self._read_head
        return HttpResponse(self._status, self._closes, b"".join(self._body))
