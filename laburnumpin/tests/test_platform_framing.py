"""Where requests and answers end, over real sockets.

Each way in which readers may disagree about the end of a message is played
against each place at which a request can end.
"""

from __future__ import annotations

import dataclasses

import pytest

from laburnumpin.forwarding import deployment
from laburnumpin.framing import defects
from laburnumpin.tests import forwarding_builders as build
from laburnumpin.tests import test_platform_relay as relay

Defect = defects.Defect
Verdict = defects.RequestVerdict

INNER = (
    b"POST /reads/inside HTTP/1.1\r\nHost: h.example\r\n"
    b"X-Laburnumpin-Attempt-Id: inside\r\n"
    b"X-Laburnumpin-Credential: key-acme\r\nContent-Length: 0\r\n\r\n"
)
LONG_BYTES = 300_000


@dataclasses.dataclass(slots=True, frozen=True)
class Way:
    """One way to leave open where a request ends.

    `fields` end a head for which nothing else says where its body ends, and
    `body` follows; `version` is that of HTTP.
    """

    name: str
    fields: bytes
    body: bytes
    defect: Defect
    version: bytes = b"HTTP/1.1"


def _length(body: bytes) -> bytes:
    return f"Content-Length: {len(body)}\r\n".encode()


CHUNKED = b"Transfer-Encoding: chunked\r\n"
NO_CHUNKS = b"0\r\n\r\n"
HIDDEN = NO_CHUNKS + INNER
WAYS = (
    Way(
        "length then chunks",
        _length(HIDDEN) + CHUNKED,
        HIDDEN,
        Defect.LENGTH_AND_CHUNKS,
    ),
    Way(
        "chunks then length",
        CHUNKED + _length(HIDDEN),
        HIDDEN,
        Defect.LENGTH_AND_CHUNKS,
    ),
    Way(
        "chunks in upper case and length",
        b"TRANSFER-ENCODING: CHUNKED\r\n" + _length(HIDDEN),
        HIDDEN,
        Defect.LENGTH_AND_CHUNKS,
    ),
    Way(
        "length and a blank after a chunk's size",
        _length(HIDDEN) + CHUNKED,
        b"0 \r\n\r\n" + INNER,
        Defect.BLANK_IN_CHUNK_SIZE,
    ),
    Way(
        "length, chunks and a line feed in the trailers",
        _length(HIDDEN) + CHUNKED,
        b"0\r\nX-Sum: 1\n\n" + INNER,
        Defect.BARE_LINE_FEED,
    ),
    Way(
        "chunks in HTTP/1.0",
        CHUNKED,
        HIDDEN,
        Defect.CODING_IN_HTTP_1_0,
        b"HTTP/1.0",
    ),
    Way(
        "chunks and length in HTTP/1.0",
        CHUNKED + b"Connection: keep-alive\r\n" + _length(HIDDEN),
        HIDDEN,
        Defect.CODING_IN_HTTP_1_0,
        b"HTTP/1.0",
    ),
    Way(
        "unequal lengths",
        _length(b"") + _length(INNER),
        INNER,
        Defect.SEVERAL_LENGTHS,
    ),
    Way("equal lengths", _length(b"") * 2, INNER, Defect.SEVERAL_LENGTHS),
    Way(
        "list of lengths",
        b"Content-Length: 0, 0\r\n",
        INNER,
        Defect.MALFORMED_LENGTH,
    ),
    Way(
        "signed length",
        b"Content-Length: +0\r\n",
        INNER,
        Defect.MALFORMED_LENGTH,
    ),
    Way(
        "negative length",
        b"Content-Length: -1\r\n",
        INNER,
        Defect.MALFORMED_LENGTH,
    ),
    Way(
        "blank in length",
        b"Content-Length: 0 9\r\n",
        INNER,
        Defect.MALFORMED_LENGTH,
    ),
    Way("empty length", b"Content-Length:\r\n", INNER, Defect.MALFORMED_LENGTH),
    Way(
        "hexadecimal length",
        b"Content-Length: 0x0\r\n",
        INNER,
        Defect.MALFORMED_LENGTH,
    ),
    Way(
        "several codings in one field",
        b"Transfer-Encoding: gzip, chunked\r\n",
        HIDDEN,
        Defect.UNKNOWN_CODING,
    ),
    Way("several codings", CHUNKED * 2, HIDDEN, Defect.UNKNOWN_CODING),
    Way(
        "chunks not last",
        b"Transfer-Encoding: chunked, identity\r\n",
        HIDDEN,
        Defect.UNKNOWN_CODING,
    ),
    Way(
        "unknown coding",
        b"Transfer-Encoding: xchunked\r\n",
        HIDDEN,
        Defect.UNKNOWN_CODING,
    ),
    Way(
        "empty coding", b"Transfer-Encoding:\r\n", HIDDEN, Defect.UNKNOWN_CODING
    ),
    Way(
        "blank before a colon",
        b"Content-Length : %d\r\n" % len(INNER),
        INNER,
        Defect.BLANK_BEFORE_COLON,
    ),
    Way(
        "blank before a coding's colon",
        _length(HIDDEN) + b"Transfer-Encoding\t: chunked\r\n",
        HIDDEN,
        Defect.BLANK_BEFORE_COLON,
    ),
    Way(
        "folded line",
        b"X-Note: a\r\n Content-Length: %d\r\n" % len(INNER),
        INNER,
        Defect.FOLDED_LINE,
    ),
    Way(
        "folded coding",
        b"Transfer-Encoding:\r\n\tchunked\r\n",
        HIDDEN,
        Defect.FOLDED_LINE,
    ),
    Way(
        "line feed alone",
        b"X-Note: a\nContent-Length: %d\r\n" % len(INNER),
        INNER,
        Defect.BARE_LINE_FEED,
    ),
    Way(
        "head ends with line feeds",
        b"X-Note: a\n",
        b"\n" + INNER,
        Defect.BARE_LINE_FEED,
    ),
    Way("version", _length(b""), INNER, Defect.UNKNOWN_VERSION, b"HTTP/2.0"),
    Way(
        "blank after a chunk's size",
        CHUNKED,
        b"0 \r\n\r\n" + INNER,
        Defect.BLANK_IN_CHUNK_SIZE,
    ),
    Way(
        "chunk's size beyond 64 bits",
        CHUNKED,
        b"10000000000000000\r\n\r\n" + INNER,
        Defect.MALFORMED_CHUNK_SIZE,
    ),
    Way(
        "carriage return in a chunk's extension",
        CHUNKED,
        b"0;a\rb\r\n\r\n" + INNER,
        Defect.BARE_CARRIAGE_RETURN,
    ),
    Way(
        "signed chunk size",
        CHUNKED,
        b"+0\r\n\r\n" + INNER,
        Defect.MALFORMED_CHUNK_SIZE,
    ),
    Way(
        "hexadecimal prefix of a chunk's size",
        CHUNKED,
        b"0x0\r\n\r\n" + INNER,
        Defect.MALFORMED_CHUNK_SIZE,
    ),
    Way(
        "line feed after the last chunk",
        CHUNKED,
        b"0\r\n\n" + INNER,
        Defect.BARE_LINE_FEED,
    ),
    Way(
        "line feed in the trailers",
        CHUNKED,
        b"0\r\nX-Sum: 1\n\n" + INNER,
        Defect.BARE_LINE_FEED,
    ),
    Way(
        "folded trailer",
        CHUNKED,
        b"0\r\nX-Sum: 1\r\n 2\r\n\r\n" + INNER,
        Defect.FOLDED_LINE,
    ),
    Way(
        "length in the trailers",
        CHUNKED,
        b"0\r\n" + _length(INNER) + b"\r\n" + INNER,
        Defect.FRAMING_IN_TRAILER,
    ),
)


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """A place at which a request ends, and the status that it has there."""

    name: str
    status: int
    path: bytes = b"/reads/outer"
    key: bytes = b"key-acme"
    deadline_ms: bytes = b"5000"


PLACES = (
    Place("run", 200),
    Place("refused for its key", 401, key=b"key-other"),
    Place("refused for its route", 404, path=b"/nowhere/x"),
    Place("refused for its deadline", 503, deadline_ms=b"0"),
    Place("refused for a field", 400, deadline_ms=b"soon"),
)
CUSTOMERS = (build.customer(counts_tokens=False),)


def _request(way: Way, place: Place) -> bytes:
    head = (
        b"POST " + place.path + b" " + way.version + b"\r\nHost: h.example\r\n"
        b"X-Laburnumpin-Attempt-Id: outer\r\n"
        b"X-Laburnumpin-Credential: " + place.key + b"\r\n"
        b"X-Laburnumpin-Deadline-Ms: %b\r\n" % place.deadline_ms
    )
    # The end of the head, unless the way's own body has it.
    end = b"" if way.body.startswith(b"\n") else b"\r\n"
    return head + way.fields + end + way.body


def _first_request(request_id: str = "first") -> bytes:
    return relay._encode_request(
        request_id, "/reads/x", b"hi", "X-Laburnumpin-Credential: key-acme"
    )


async def _answer_all(connection: relay.UpstreamConnection) -> None:
    while True:
        request = await connection.read_request()
        _, _, rest = request.partition(b"X-Laburnumpin-Attempt-Id: ")
        request_id = rest.partition(b"\r\n")[0].decode()
        await connection.send_answer(request_id, request_id.encode())


def _run(
    script: relay.UpstreamScript,
    run_callers: relay.RunCallers,
    *,
    routes: tuple[deployment.Route, ...] | None = None,
    upstreams: int = 1,
) -> None:
    relay.run_with_frontend(
        script,
        run_callers,
        routes=routes,
        upstreams=upstreams,
        customers=CUSTOMERS,
    )


def _statuses(received: bytes) -> list[int]:
    """Return the statuses of the answers in bytes."""
    return [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]


# A request inside the body of one with both a length and chunks was run, with
# an id that no caller had sent.
@pytest.mark.parametrize("slice_bytes", [1_000_000, 7], ids=["whole", "slices"])
@pytest.mark.parametrize("is_later", [False, True], ids=["first", "later"])
@pytest.mark.parametrize("place", PLACES, ids=lambda place: place.name)
@pytest.mark.parametrize("way", WAYS, ids=lambda way: way.name)
def test_nothing_after_an_ambiguous_end_is_run(
    way: Way, place: Place, is_later: bool, slice_bytes: int
) -> None:
    verdict = defects.judge_request(way.defect)
    expected = [200] if is_later else []
    if verdict is Verdict.REFUSED:
        expected.append(defects.refusal_status(way.defect))
    else:
        expected.append(place.status)
    ran: list[bytes] = []

    async def script(connection: relay.UpstreamConnection) -> None:
        while True:
            request = await connection.read_request()
            _, _, rest = request.partition(b"X-Laburnumpin-Attempt-Id: ")
            request_id = rest.partition(b"\r\n")[0]
            ran.append(request_id)
            await connection.send_answer(request_id.decode(), b"done")

    async def run_callers(harness: relay.Harness) -> None:
        sent = _first_request() if is_later else b""
        sent += _request(way, place)
        received = await harness.send_slices(sent, slice_bytes)
        assert _statuses(received) == expected
        assert b"connection: close" in received.lower()
        allowed = {b"first"} if is_later else set()
        if verdict is Verdict.SERVED_LAST and place.status == 200:
            allowed |= {b"outer"}
        assert set(ran) == allowed
        counters = harness.state.counters
        assert counters.value("requests_ambiguous", way.defect.value) == 1

    _run(script, run_callers)


LONG_CHUNKS = b"%x\r\n" % LONG_BYTES + b"x" * LONG_BYTES + b"\r\n" + HIDDEN
LONG = Way(
    "long",
    CHUNKED + _length(LONG_CHUNKS),
    LONG_CHUNKS,
    Defect.LENGTH_AND_CHUNKS,
)


# A body that is too long to be read first is refused on its head.
@pytest.mark.parametrize("place", PLACES[:3], ids=lambda place: place.name)
def test_nothing_after_a_long_ambiguous_body_is_run(place: Place) -> None:
    ran: list[bytes] = []

    async def script(connection: relay.UpstreamConnection) -> None:
        while True:
            ran.append(await connection.read_request())
            await connection.send_answer("outer", b"done")

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.send_slices(_request(LONG, place), 65_536)
        assert _statuses(received) == [place.status]
        assert not any(b"inside" in request for request in ran)
        assert len(ran) == (place.status == 200)

    _run(script, run_callers)


def test_length_of_a_request_in_chunks_is_not_forwarded() -> None:
    chunks = b"4\r\nbody\r\n" + HIDDEN
    way = Way("", _length(chunks) + CHUNKED, chunks, Defect.LENGTH_AND_CHUNKS)
    seen: list[bytes] = []

    async def script(connection: relay.UpstreamConnection) -> None:
        seen.append(await connection.read_request())
        await connection.send_answer("outer", b"done")

    async def run_callers(harness: relay.Harness) -> None:
        await harness.send_slices(_request(way, PLACES[0]), 1_000_000)
        head, _, body = seen[0].lower().partition(b"\r\n\r\n")
        assert body == b"body"
        assert head.count(b"content-length: 4") == 1
        assert head.count(b"content-length") == 1
        assert b"transfer-encoding" not in head

    _run(script, run_callers)


SOUND = {
    "chunks": (CHUNKED, b"2\r\nhi\r\n0\r\n\r\n"),
    "extension": (CHUNKED, b'2;a=b;c="d e"\r\nhi\r\n0;last\r\n\r\n'),
    "trailers": (
        CHUNKED,
        b"2\r\nhi\r\n0\r\nX-Sum: 1\r\nX-Via: HTTP/2.0\r\n\r\n",
    ),
    "zeros before a size": (CHUNKED, b"0002\r\nhi\r\n000\r\n\r\n"),
    "zeros before a length": (b"Content-Length: 0002\r\n", b"hi"),
    "blanks around a length": (b"Content-Length:  2 \t\r\n", b"hi"),
    "blanks around a coding": (
        b"Transfer-Encoding: \t chunked \r\n",
        b"2\r\nhi\r\n0\r\n\r\n",
    ),
    "expectation": (b"Expect: 100-continue\r\nContent-Length: 2\r\n", b"hi"),
    "no body": (b"", b""),
    "names that begin alike": (
        b"Content-Length-Hint: 9\r\nTransfer-Encodings: x\r\nTE: trailers\r\n"
        b"Content-Length: 2\r\n",
        b"hi",
    ),
}


@pytest.mark.parametrize("slice_bytes", [1_000_000, 3], ids=["whole", "slices"])
@pytest.mark.parametrize("method", [b"POST", b"GET", b"DELETE"])
@pytest.mark.parametrize("name", list(SOUND))
def test_sound_requests_share_a_connection(
    name: str, method: bytes, slice_bytes: int
) -> None:
    fields, body = SOUND[name]
    head = (
        method + b" /reads/x HTTP/1.1\r\nHost: h.example\r\n"
        b"X-Laburnumpin-Credential: key-acme\r\n"
    )
    sent = b"".join(
        head
        + b"X-Laburnumpin-Attempt-Id: r%d\r\n" % number
        + (b"Connection: close\r\n" if number == 3 else b"")
        + fields
        + b"\r\n"
        + body
        for number in range(1, 4)
    )

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.send_slices(sent, slice_bytes)
        finals = [s for s in _statuses(received) if s != 100]
        assert finals == [200, 200, 200]
        assert [received.count(b"r%d" % n) > 0 for n in (1, 2, 3)] == [True] * 3
        assert "requests_ambiguous" not in [
            name for name, _, _ in harness.state.counters.items()
        ]

    _run(_answer_all, run_callers)


# A caller whose request was refused after it had been read keeps its
# connection.
@pytest.mark.parametrize("place", PLACES[1:], ids=lambda place: place.name)
def test_refused_request_that_was_read_keeps_its_connection(
    place: Place,
) -> None:
    way = Way("", CHUNKED, b"2\r\nhi\r\n0\r\n\r\n", Defect.LENGTH_AND_CHUNKS)

    async def run_callers(harness: relay.Harness) -> None:
        sent = _request(way, place) + _first_request()
        received = await harness.call(sent, answers=2)
        assert _statuses(received) == [place.status, 200]

    _run(_answer_all, run_callers)


ANSWER_FIELDS = (
    b"X-Laburnumpin-Attempt-Id: r1\r\nX-Laburnumpin-Response-Seal: s\r\n"
)
BODY_IN_CHUNKS = b"4\r\nbody\r\n0\r\n\r\n"


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerWay:
    """One way to leave open where an answer ends.

    `is_answer` is whether it is an answer all the same, after which its
    connection is not used again.
    """

    name: str
    head: bytes
    body: bytes
    is_answer: bool


OK = b"HTTP/1.1 200 OK\r\n"
ANSWER_WAYS = (
    AnswerWay(
        "length and chunks",
        OK + CHUNKED + _length(b"body"),
        BODY_IN_CHUNKS,
        False,
    ),
    AnswerWay(
        "line feed alone, length and chunks",
        OK + b"X-Note: a\n" + CHUNKED + _length(b"body"),
        BODY_IN_CHUNKS,
        False,
    ),
    AnswerWay(
        "chunks in HTTP/1.0",
        OK.replace(b"1.1", b"1.0") + CHUNKED,
        BODY_IN_CHUNKS,
        False,
    ),
    AnswerWay(
        "unequal lengths", OK + _length(b"body") + _length(b""), b"body", False
    ),
    AnswerWay("signed length", OK + b"Content-Length: +4\r\n", b"body", False),
    AnswerWay(
        "unknown coding",
        OK + b"Transfer-Encoding: gzip, chunked\r\n",
        BODY_IN_CHUNKS,
        False,
    ),
    AnswerWay("several codings", OK + CHUNKED * 2, BODY_IN_CHUNKS, False),
    AnswerWay(
        "blank before a colon", OK + b"Content-Length : 4\r\n", b"body", False
    ),
    AnswerWay(
        "version", OK.replace(b"1.1", b"2.0") + _length(b"body"), b"body", False
    ),
    AnswerWay(
        "carriage return in an extension",
        OK + CHUNKED,
        BODY_IN_CHUNKS.replace(b"4", b"4;a\rb"),
        False,
    ),
    AnswerWay(
        "size beyond 64 bits",
        OK + CHUNKED,
        b"00000000000000004\r\nbody\r\n0\r\n\r\n",
        False,
    ),
    AnswerWay(
        "body of an interim response",
        b"HTTP/1.1 103 Hints\r\n"
        + _length(OK)
        + b"\r\n"
        + OK
        + _length(b"body"),
        b"body",
        False,
    ),
    AnswerWay("equal lengths", OK + _length(b"body") * 2, b"body", True),
    AnswerWay(
        "list of lengths", OK + b"Content-Length: 4, 4\r\n", b"body", True
    ),
    AnswerWay(
        "line feed alone", OK + b"X-Note: a\n" + _length(b"body"), b"body", True
    ),
    AnswerWay(
        "folded line",
        OK + b"X-Note: a\r\n b\r\n" + _length(b"body"),
        b"body",
        True,
    ),
    AnswerWay(
        "blank after a size", OK + CHUNKED, b"4 \r\nbody\r\n0\r\n\r\n", True
    ),
    AnswerWay(
        "line feed in the trailers", OK + CHUNKED, b"4\r\nbody\r\n0\r\n\n", True
    ),
    AnswerWay(
        "length in the trailers",
        OK + CHUNKED,
        b"4\r\nbody\r\n0\r\n" + _length(b"body") + b"\r\n",
        True,
    ),
    AnswerWay(
        "body behind 204", b"HTTP/1.1 204 No\r\n" + _length(b"body"), b"", True
    ),
    AnswerWay("chunks behind 204", b"HTTP/1.1 204 No\r\n" + CHUNKED, b"", True),
)
CALL = (build.calls(may_repeat=False, max_attempts=1),)
REPEATABLE_CALL = (build.calls(may_repeat=True, max_attempts=2),)


def _answer(way: AnswerWay, extra: bytes = b"") -> bytes:
    return way.head + ANSWER_FIELDS + extra + b"\r\n" + way.body


# An upstream's answer with two framings was read by one of them, and the next
# request was sent on the same connection.
@pytest.mark.parametrize(
    "may_repeat", [False, True], ids=["call", "repeatable"]
)
@pytest.mark.parametrize("way", ANSWER_WAYS, ids=lambda way: way.name)
def test_connection_of_an_ambiguous_answer_is_not_used_again(
    way: AnswerWay, may_repeat: bool
) -> None:
    used_again: list[bytes] = []

    async def script(connection: relay.UpstreamConnection) -> None:
        if connection.number > 1:
            await _answer_all(connection)
        await connection.read_request()
        await connection.stream.send(_answer(way))
        used_again.append(await connection.read_request())

    async def run_callers(harness: relay.Harness) -> None:
        received = await harness.call(_first_request("r1"))
        if way.is_answer:
            assert _statuses(received)[0] in (200, 204)
            assert harness.connection_count == 1
        elif may_repeat:
            assert received.endswith(b"r1")
        else:
            assert _statuses(received) == [502]
            assert b"seal" not in received.lower()
        received = await harness.call(_first_request("r2"))
        assert received.endswith(b"r2")
        assert not used_again

    repeats = may_repeat and not way.is_answer
    _run(
        script,
        run_callers,
        routes=REPEATABLE_CALL if may_repeat else CALL,
        upstreams=2 if repeats else 1,
    )
