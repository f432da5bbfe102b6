"""A runner of the order desk, some of whose runs fail.

Called with its id, its port, and the steady time in ms from which on, and up to
which, a share of its runs fail after the order was placed.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys

import rig

WORK_S = 0.06
# As in the site's days with `srv_grey`.
FAILING_SHARE = 0.45


class Runner:
    """Places orders."""

    def __init__(self, runner_id: str, from_ms: float, to_ms: float) -> None:
        self._id = runner_id
        self._from_ms = from_ms
        self._to_ms = to_ms
        self._random = random.Random(runner_id)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        while (message := await rig.read_message(reader)) is not None:
            writer.write(await self._answer(message))
            await writer.drain()

    async def _answer(self, message: rig.Message) -> bytes:
        _, headers, body = message
        attempt = headers["x-laburnumpin-attempt-id"]
        echo = f"X-Laburnumpin-Attempt-Id: {attempt}\r\n"
        if headers["x-laburnumpin-expect-instance"] != self._id:
            head = f"HTTP/1.1 421 Other\r\n{echo}Content-Length: 0\r\n\r\n"
            return head.encode()
        await asyncio.sleep(WORK_S)
        line = {"run": attempt, "order": body.decode(), "at": self._id}
        print(json.dumps({**line, "ms": round(rig.now_ms())}), flush=True)
        is_failing = self._from_ms <= rig.now_ms() < self._to_ms
        status, text = "200 OK", f"placed {body.decode()}"
        if is_failing and self._random.random() < FAILING_SHARE:
            status, text = "503 Service Unavailable", "no receipt printer"
        seal = f"X-Laburnumpin-Response-Seal: {self._id}.{attempt}\r\n"
        head = (
            f"HTTP/1.1 {status}\r\n{echo}{seal}"
            f"Content-Length: {len(text)}\r\n\r\n"
        )
        return (head + text).encode()


async def main() -> None:
    """Serve until killed."""
    runner = Runner(sys.argv[1], float(sys.argv[3]), float(sys.argv[4]))
    server, _ = await rig.listen(runner.serve, port=int(sys.argv[2]))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
