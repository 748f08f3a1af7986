"""Encoding of answers to callers as HTTP/1.1."""

from http import HTTPStatus

from currantmast.direct.inbound import CONNECTION_HEADERS, OutboundAnswer


def encode_answer(answer: OutboundAnswer, keep_alive: bool, is_head: bool) -> bytes:
    """Return the answer as HTTP/1.1 bytes.

    Parameters
    ----------
    answer : OutboundAnswer
        Answer to encode.
    keep_alive : bool
        Whether the connection stays open.
    is_head : bool
        Whether the request was a HEAD request, whose answer has no body.
    """
    head = encode_head(answer, keep_alive, is_head)
    return head if is_head else b''.join((head, bytes(answer.body)))


def encode_head(
    answer: OutboundAnswer, keep_alive: bool, is_head: bool = False
) -> bytes:
    """Return the head of the answer as HTTP/1.1 bytes; see `encode_answer`.

    To a HEAD request it names no length, as that of the body is not known.
    """
    reason = answer.reason or _find_phrase(answer.status)
    lines = [f'HTTP/1.1 {answer.status} {reason}']
    lines.extend(
        f'{name}: {text}'
        for name, text in answer.headers
        if name.lower() not in CONNECTION_HEADERS
    )
    has_body = answer.status not in {HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED}
    if has_body and not is_head:
        lines.append(f'Content-Length: {len(answer.body)}')
    if not keep_alive:
        lines.append('Connection: close')
    return '\r\n'.join((*lines, '', '')).encode('latin-1')


def _find_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
