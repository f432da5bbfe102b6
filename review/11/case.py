"""A request with both framings carries another request inside its body."""

from __future__ import annotations

import asyncio
import pathlib
import sys

DIRECTORY = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(DIRECTORY.parent))

import harness_3 as harness  # noqa: E402

REQUESTS = 10
CALLS_ROUTE = "calls"


async def play(record: harness.Record) -> bool:
    """Return whether only requests ran that a requester had sent."""
    ran: list[str] = []

    async def run(
        request: harness.Message, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.headers["x-laburnumpin-attempt-id"]
        ran.append(attempt_id)
        record.write("runner", f"runs {attempt_id}: {request.start}")
        writer.write(harness.answer(request, 200, b"done"))

    async with harness.platform(record) as platform:
        runner = harness.Runner("i-1", "desk", record)
        runner.serve = run
        await runner.start()
        platform.store.put(
            "op",
            "config",
            harness.configuration(
                1,
                [harness.route(CALLS_ROUTE, "non_idempotent", "desk")],
                [{"name": "desk", "health_path": "/healthz"}],
            ),
        )
        platform.register(runner)
        await platform.start_entries(1)
        sent = []
        for number in range(REQUESTS):
            attempt_id = f"sent-{number}"
            sent.append(attempt_id)
            await _send(platform.entries[0].address, attempt_id, record)
        await asyncio.sleep(1.0)
    if not set(sent) & set(ran):
        raise harness.CannotRunError("no request of the requester has run")
    never_sent = sorted(set(ran) - set(sent))
    record.write("script", f"ran though never sent: {never_sent}")
    return not never_sent


async def _send(address: str, attempt_id: str, record: harness.Record) -> None:
    """Send one request, whose body has the text of another request in it."""
    inner = harness.encode(
        f"POST /{CALLS_ROUTE}/inner HTTP/1.1",
        {
            **harness.request_headers(f"inside-{attempt_id}"),
            "Content-Length": "0",
        },
    )
    body = b"0\r\n\r\n" + inner
    headers = {
        **harness.request_headers(attempt_id),
        "Content-Length": str(len(body)),
    }
    if harness.is_troubled():
        headers["Transfer-Encoding"] = "chunked"
    start = f"POST /{CALLS_ROUTE}/outer HTTP/1.1"
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    record.write("requester", f"sends {attempt_id}: {start} {headers}")
    writer.write(harness.encode(start, headers, body))
    try:
        while True:
            found = await asyncio.wait_for(harness.read_message(reader), 1.0)
            record.write("requester", f"gets {found.start} {found.headers}")
    except (EOFError, OSError, TimeoutError):
        writer.close()


if __name__ == "__main__":
    harness.main(DIRECTORY, play)
