"""Encoding of answers to callers."""

from .models import Answer

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def encode_answer(answer: Answer, *, with_close: bool, is_head: bool = False) -> bytes:
    """Encode an answer; it has a Content-Length header unless status or method forbid a body."""
    reason = REASON_PHRASES.get(answer.status, b"Status")
    parts = [b"HTTP/1.1 %d %s\r\n" % (answer.status, reason)]
    parts += [b"%s: %s\r\n" % header for header in answer.headers]
    body = b""
    if not is_head and answer.status not in (204, 304):
        body = answer.body
        parts.append(b"Content-Length: %d\r\n" % len(body))
    if with_close:
        parts.append(b"Connection: close\r\n")
    parts.append(b"\r\n")
    parts.append(body)
    return b"".join(parts)
