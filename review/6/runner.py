"""A runner whose answers have no length and end with their connection.

Called with its id and its port. It answers what names it in
`X-Laburnumpin-Expect-Instance`, and writes a line for each run.
"""

from __future__ import annotations

import asyncio
import json
import sys

import rig

# How long an answer takes, and in how many pieces it comes.
PIECES = 60
PIECE_S = 0.05


def piece(attempt: str, number: int, *, is_stream: bool) -> bytes:
    """Return one piece of the answer to a request."""
    if is_stream:
        return f"id: {number}\ndata: {attempt} {number}\n\n".encode()
    return f"line {number} of {PIECES} for {attempt}\n".encode()


class Runner:
    """Serves requests one after the other on each connection."""

    def __init__(self, runner_id: str) -> None:
        self._id = runner_id

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request; its end is that of the connection."""
        message = await rig.read_message(reader)
        if message is None:
            return
        first, headers, _ = message
        attempt = headers["x-laburnumpin-attempt-id"]
        head = f"X-Laburnumpin-Attempt-Id: {attempt}\r\n"
        if headers["x-laburnumpin-expect-instance"] != self._id:
            refusal = f"HTTP/1.1 421 Other\r\n{head}Content-Length: 0\r\n\r\n"
            writer.write(refusal.encode())
            await writer.drain()
            return
        is_stream = first.split(" ")[1].startswith("/notes/")
        done = int(headers.get("last-event-id", "0")) if is_stream else 0
        run = {"run": attempt, "at": self._id, "after": done}
        print(json.dumps({**run, "ms": round(rig.now_ms())}), flush=True)
        kind = "text/event-stream" if is_stream else "text/plain"
        head = (
            f"HTTP/1.1 200 OK\r\n{head}Content-Type: {kind}\r\n"
            f"X-Laburnumpin-Response-Seal: {self._id}.{attempt}\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(done + 1, PIECES + 1):
            writer.write(piece(attempt, number, is_stream=is_stream))
            await writer.drain()
            await asyncio.sleep(PIECE_S)


async def main() -> None:
    """Serve until killed."""
    runner = Runner(sys.argv[1])
    server, _ = await rig.listen(runner.serve, port=int(sys.argv[2]))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
