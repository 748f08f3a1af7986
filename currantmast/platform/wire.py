"""Encoding of requests and answers on the platform: headers, cookies and JSON bodies."""

import math
from collections.abc import Iterable
from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec
import xxhash

from currantmast.direct.answers import Answer
from currantmast.direct.exchanges import TargetRequest
from currantmast.direct.inbound import (
    CONNECTION_HEADERS,
    InboundRequest,
    OutboundAnswer,
)
from currantmast.direct.loads import Load
from currantmast.direct.requests import (
    AttemptMetadata,
    CallerRequest,
    LookupQuery,
    ShedReason,
    TargetAnswer,
    TargetHealth,
)
from currantmast.platform.headertexts import (
    decode_name,
    encode_name,
    encode_path,
    parse_count,
)

REQUEST_ID = 'x-currantmast-request-id'
DEADLINE_MS = 'x-currantmast-deadline-ms'
AFFINITY = 'X-Currantmast-Affinity-Key'
API_KEY = 'api-key'
TENANT = 'x-currantmast-tenant'
EXPECT_INSTANCE = 'x-currantmast-expect-instance'
STAMP = 'x-currantmast-server-stamp'
NOT_EXECUTED = 'x-currantmast-not-executed'
SERVER_LOAD = 'x-currantmast-server-load'
RETRY_AFTER = ('retry-after',)
# Headers that the pages which introduced them name without the prefix of the others:
# requests a second that a target takes from all instances together, and "1" if it leaves.
SERVER_LIMITS = ('server-limit', 'x-currantmast-server-limit')
SERVER_LEAVING = ('server-leaving', 'x-currantmast-server-leaving')
INSTANCE_ID = 'x-currantmast-instance-id'
COLD_MS = 'x-currantmast-cold-ms'

# Not forwarded from the caller to a target. This system sets its own values, except for
# the key, which no target gets.
OWN_HEADERS = frozenset((API_KEY, TENANT, EXPECT_INSTANCE, DEADLINE_MS))
MISDIRECTED = 421
MS_PER_S = 1000

# Longest key of an object that is kept as it is.
MAX_KEY_CHARS = 64

# Fields of a load that every target reports: running, waiting, slots.
LOAD_FIELDS = 3


def decode_request(inbound: InboundRequest) -> CallerRequest:
    """Return the steering-relevant fields of a caller's request."""
    path, _, _ = inbound.url.partition('?')
    key = inbound.get(API_KEY)
    return CallerRequest(
        request_id=inbound.get(REQUEST_ID) or '',
        host=decode_name(inbound.get('host') or '').lower(),
        path=path,
        key=None if key is None else decode_name(key),
        object_key=_find_object_key(inbound.get('cookie')),
        time_limit_s=_find_time_limit(inbound.get(DEADLINE_MS)),
    )


def encode_target_request(
    inbound: InboundRequest, metadata: AttemptMetadata
) -> TargetRequest:
    """Return the request to send to a target."""
    headers = [
        (name, text)
        for name, text in inbound.headers
        if name not in CONNECTION_HEADERS and name not in OWN_HEADERS
    ]
    headers.append((DEADLINE_MS, str(max(1, int(metadata.time_left_s * 1000)))))
    headers.append((EXPECT_INSTANCE, encode_name(metadata.target_id)))
    if metadata.team is not None:
        headers.append((TENANT, encode_name(metadata.team)))
    return TargetRequest(inbound.method, inbound.url, tuple(headers), inbound.body)


def encode_health_query(path: str, host: str) -> TargetRequest:
    """Return the request that queries a target's health."""
    return TargetRequest('GET', encode_path(path) or '/', (('Host', host),))


def matches_request(request_id: str, answer: Answer) -> bool:
    """Return whether an answer belongs to the request with this id.

    The id may be missing from a refusal, but not from an answer with a server stamp,
    which a target sets when it has run a request. On a connection that was used before,
    a refusal without the id may be a late copy of one to an earlier request.
    """
    echoed = answer.get(REQUEST_ID)
    if echoed is None:
        return answer.connect_s > 0 and answer.get(STAMP) is None
    return echoed == request_id


def decode_answer(answer: Answer) -> TargetAnswer:
    """Return what a target's status and headers say about the request and its load."""
    status = answer.status
    not_run = answer.get(NOT_EXECUTED) is not None or status == MISDIRECTED
    # Another target answers that a request is misdirected, so it says nothing of this one.
    leaving = _find_any(answer, SERVER_LEAVING) == '1' and status != MISDIRECTED
    return TargetAnswer(
        status=status,
        stamped=answer.get(STAMP) is not None,
        load=_find_load(answer.get(SERVER_LOAD)),
        rate_limit=_parse_number(_find_any(answer, SERVER_LIMITS)),
        leaving=leaving,
        pause_s=_find_pause(answer),
        shed=_find_shed(status) if not_run else None,
    )


def decode_health(answer: Answer, target_id: str) -> TargetHealth:
    """Return what the answer to a health query tells.

    A target is healthy only if it answers with status 200 and its own id. What another
    one says that now listens on the address does not concern it.
    """
    answered_id = answer.get(INSTANCE_ID)
    own_id = encode_name(target_id)
    if answered_id not in {None, own_id}:
        return TargetHealth()
    cold_ms = _parse_number(answer.get(COLD_MS) or '') or 0
    asked = decode_answer(answer)
    return TargetHealth(
        healthy=answer.status == HTTPStatus.OK and answered_id == own_id,
        cold_s=cold_ms / MS_PER_S,
        leaving=asked.leaving,
        pause_s=asked.pause_s,
    )


def encode_answer(answer: Answer) -> OutboundAnswer:
    """Return the answer to send to the caller for a target's answer."""
    return OutboundAnswer(answer.status, answer.headers, answer.body, answer.reason)


def decode_lookup(inbound: InboundRequest) -> LookupQuery:
    """Return the location of the caller in a look-up."""
    query = parse_qs(inbound.url.partition('?')[2])
    return LookupQuery(
        region=query.get('region', [''])[0], domain=query.get('zone', [''])[0]
    )


def encode_lookup(addresses: tuple[str, ...], ttl_s: float) -> OutboundAnswer:
    """Return the answer to a look-up.

    Parameters
    ----------
    addresses : tuple of str
        Addresses of instances, best first.
    ttl_s : float
        Time in seconds for which the caller may cache them.
    """
    body = msgspec.json.encode({'addrs': addresses[:64], 'ttl_s': ttl_s})
    return OutboundAnswer(200, (('Content-Type', 'application/json'),), body)


def _find_shed(status: int) -> ShedReason:
    return ShedReason.misdirected if status == MISDIRECTED else ShedReason.full


def _find_object_key(cookies: str | None) -> str:
    """Return the object that the cookies of a request name; an empty text for none.

    A long key stands as its digest, since instances remember the keys of many objects.
    """
    for cookie in (cookies or '').split(';'):
        name, _, key = cookie.partition('=')
        if name.strip() == AFFINITY:
            return _shorten_key(key.strip().strip('"'))
    return ''


def _shorten_key(key: str) -> str:
    if len(key) <= MAX_KEY_CHARS:
        return key
    return xxhash.xxh3_128_hexdigest(key.encode())


def _find_time_limit(text: str | None) -> float | None:
    limit_ms = parse_count(text)
    return None if limit_ms is None else limit_ms / 1000


def _find_any(answer: Answer, names: Iterable[str]) -> str:
    """Return the value of the first of these headers that is there, or an empty text."""
    values = (answer.get(name) for name in names)
    return next((value.strip() for value in values if value is not None), '')


def _find_pause(answer: Answer) -> float:
    """Return for how many seconds a target wants nothing; dates are not accepted."""
    if answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return 0
    return _parse_number(_find_any(answer, RETRY_AFTER)) or 0


def _parse_number(text: str) -> float | None:
    """Return a finite number from 0 on, or None if the text is none."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None


def _find_load(text: str | None) -> Load | None:
    """Return the load in a header: three numbers, and perhaps a slowdown in percent."""
    fields = [field.strip() for field in (text or '').split(',')]
    counts = [parse_count(field) for field in fields[:LOAD_FIELDS]]
    if len(counts) < LOAD_FIELDS or None in counts:
        return None
    running, waiting, slots = counts
    percent = _parse_number(''.join(fields[LOAD_FIELDS : LOAD_FIELDS + 1]))
    return Load(running, waiting, slots, percent / 100 if percent else None)
