"""Texts and numbers of others in heads of requests and answers.

Bytes of a head are read and written as Latin-1, so that what is passed on stays as it
was. Names in the store are Unicode; in a head they stand as UTF-8.
"""

import re
import string
from urllib.parse import quote

# Most digits of a count, such as milliseconds or requests; more are no sensible number.
MAX_DIGITS = 15

CONTROL_CHARACTERS = re.compile('[\x00-\x1f\x7f]')


def encode_name(name: str) -> str:
    """Return a name from the store as it stands in a head that is read as Latin-1."""
    return name.encode('utf-8', 'replace').decode('latin-1')


def decode_name(text: str) -> str:
    """Return a text of a head for a comparison with names from the store.

    Bytes that are no UTF-8 are taken for Latin-1.
    """
    if text.isascii():
        return text
    received = text.encode('latin-1')
    try:
        return received.decode()
    except UnicodeDecodeError:
        return text


def encode_path(path: str) -> str:
    """Return a path from the store as it stands in a request line, percent-encoded."""
    return quote(path, safe=string.punctuation)


def fits_header(name: str) -> bool:
    """Return whether a header can carry `name` unchanged.

    Control characters would end or forge a header, and space around it is lost.
    """
    return name == name.strip(' ') and not CONTROL_CHARACTERS.search(name)


def parse_count(text: str | None) -> int | None:
    """Return a whole number from 0 on, or None if the text is none."""
    if text and text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS:
        return int(text)
    return None
