"""An HTTP/1.1 parser that tells in which messages readers may disagree."""

from __future__ import annotations

import h11
from h11 import _receivebuffer as receive_buffer

from laburnumpin.framing import defects

DEFAULT_MAX_HEAD_BYTES = 16_384
_Role = type[h11.SERVER] | type[h11.CLIENT]


class LineBuffer(receive_buffer.ReceiveBuffer):
    """The bytes that `h11` has yet to parse.

    `h11` accepts line ends, folded lines and framing fields that other readers
    read otherwise, and drops them. `found` has the defects of the current
    message. With `keeps_head`, `head_lines` are the lines of its head until its
    reader has taken it.
    """

    def __init__(self, *, keeps_head: bool) -> None:
        super().__init__()
        self._keeps_head = keeps_head
        self.found: list[defects.Defect] = []
        self.head_lines: list[bytearray] = []
        self._has_chunks = False

    def start_message(self) -> None:
        """Forget the message before."""
        self.found = []
        self.head_lines = []
        self._has_chunks = False

    def note(self, defect: defects.Defect | None) -> None:
        """Record a defect of the current message, if there is one."""
        if defect is not None and defect not in self.found:
            self.found.append(defect)

    def maybe_extract_lines(self) -> list[bytearray] | None:
        """Extract the lines up to the first blank one, if it has arrived."""
        before = self._data
        if before[:1] == b"\n":
            self.note(defects.Defect.BARE_LINE_FEED)
        end = None
        if before[:1] != b"\n" and before[:2] != b"\r\n":
            end = receive_buffer.blank_line_regex.search(
                before, self._multiple_lines_search
            )
        raw = bytes(before[: end.end()]) if end else b""
        lines = super().maybe_extract_lines()
        if not lines:
            return lines
        self.note(defects.find_in_lines(raw))
        if self._has_chunks:
            self.note(defects.find_in_trailer(lines))
        else:
            self.note(defects.find_in_head(lines))
            if self._keeps_head:
                self.head_lines = lines
        return lines

    def maybe_extract_next_line(self) -> bytearray | None:
        """Extract the line that begins a chunk, if it has arrived."""
        line = super().maybe_extract_next_line()
        if line is not None:
            self._has_chunks = True
            self.note(defects.find_in_chunk_line(line))
        return line


def create(
    role: _Role, max_head_bytes: int = DEFAULT_MAX_HEAD_BYTES
) -> tuple[h11.Connection, LineBuffer]:
    """Return a parser for one connection, and its buffer.

    `h11` has no public way to see the lines as they were sent, so its buffer
    is replaced. `constraints.txt` pins its version.
    """
    connection = h11.Connection(role, max_incomplete_event_size=max_head_bytes)
    lines = LineBuffer(keeps_head=role is h11.SERVER)
    assert type(connection._receive_buffer) is receive_buffer.ReceiveBuffer
    connection._receive_buffer = lines
    return connection, lines
