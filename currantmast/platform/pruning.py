"""Pruning of JSON that is nested deeper than a decoder can follow."""

import re

# Nesting that is kept: more than any document has that is of use.
MAX_DEPTH = 64

# Strings, in which brackets mean nothing, and brackets.
_TOKENS = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[{]|[\]}]', re.DOTALL)


def prune_json(body: bytes, max_depth: int = MAX_DEPTH) -> bytes:
    """Return a JSON text with null in place of what is nested too deep.

    The text is scanned without recursion, and not checked otherwise.

    Parameters
    ----------
    body : bytes
        The JSON text.
    max_depth : int
        Deepest nesting of arrays and objects that is kept.
    """
    kept: list[bytes] = []
    kept_from = 0
    depth = 0
    for token in _TOKENS.finditer(body):
        match token[0]:
            case b'[' | b'{':
                depth += 1
                if depth == max_depth + 1:
                    kept.extend((body[kept_from : token.start()], b'null'))
            case b']' | b'}':
                depth -= 1
                if depth == max_depth:
                    kept_from = token.end()
    kept.append(body[kept_from:])
    return b''.join(kept)
