"""Tests of the `explain` command on log lines as entries write them."""

from __future__ import annotations

import json
import pathlib

import pytest

from laburnumpin import exceptions
from laburnumpin.commands import explain


def _line(at_s: float, message_type: str, **fields: object) -> str:
    line = {
        "timestamp": at_s,
        "message_type": message_type,
        "entry": "e1",
        "task_uuid": "x",
        **fields,
    }
    return f"  {at_s:.3f} e1 {json.dumps(line)}"


def _related(*texts: str) -> list[explain.LogLine]:
    lines = []
    for text in texts:
        parsed = explain.parse(text)
        assert parsed is not None
        lines.append(parsed)
    return explain.related_lines("r1", lines)


def test_rejection_for_a_backoff_that_began_long_before() -> None:
    """Guards against a rejection without the answer that led to it."""
    backoff = {"kept_ms": 30_000, "delay_ms": 200, "asked_ms": 30_000}
    related = _related(
        _line(0.0, "upstream_backoff_started", upstream="u1", **backoff),
        _line(1.0, "upstream_backoff_started", upstream="u2"),
        _line(
            29.9,
            "request_rejected",
            request_id="r1",
            reason="upstream_backoff",
            status=503,
            not_run=True,
            retry_after_ms=300,
        ),
    )
    assert [line["message_type"] for line in related] == [
        "upstream_backoff_started",
        "request_rejected",
    ]
    assert related[0]["upstream"] == "u1"
    assert "had asked for a back-off" in explain.cause("r1", related)


def test_rejection_while_upstreams_leave() -> None:
    """Guards against a rejection explained without its reason or as run."""
    related = _related(
        _line(1.0, "upstream_changed", upstream="u1", change="leaving"),
        _line(
            1.2,
            "request_rejected",
            request_id="r1",
            reason="no_upstream",
            status=503,
            not_run=True,
        ),
        _line(1.2, "request_ended", request_id="r1", outcome="no_upstream"),
    )
    text = explain.cause("r1", related)
    assert "no upstream of the service could take work" in text
    assert "had not run" in text


def test_rejection_includes_state_changes_of_the_entry() -> None:
    """Guards against an explanation without the state that led to it.

    No upstream was tried, so the state changes are selected by the type of
    the log line. Other lines of the entry stay excluded.
    """
    related = _related(
        _line(1.0, "upstream_changed", upstream="u7", change="leaving"),
        _line(1.0, "peer_heard", peer="e2"),
        _line(1.2, "request_rejected", request_id="r1", reason="no_upstream"),
    )
    assert [line["message_type"] for line in related] == [
        "upstream_changed",
        "request_rejected",
    ]


def test_stream_cut_by_a_reclaim() -> None:
    """Guards against a cut stream that is not linked to the reclaim of its VM.

    The change of another upstream must not be included.
    """
    related = _related(
        _line(1.0, "request_sent", request_id="r1", upstream="u1", attempt=1),
        _line(2.0, "upstream_changed", upstream="u1", change="leaving"),
        _line(2.1, "upstream_changed", upstream="u2", change="leaving"),
        _line(
            4.0,
            "attempt_failed",
            request_id="r1",
            upstream="u1",
            attempt=1,
            ending="broken",
            reason="the connection was reset",
        ),
        _line(4.0, "request_ended", request_id="r1", outcome="cut"),
    )
    assert len(related) == 4
    text = explain.cause("r1", related)
    assert "broke off after a part was delivered" in text
    assert "had noted that it was leaving" in text


def test_call_with_an_unknown_outcome() -> None:
    """Guards against a failed call that is reported as not run."""
    related = _related(
        _line(1.0, "request_sent", request_id="r1", upstream="u1", attempt=1),
        _line(
            1.1,
            "attempt_failed",
            request_id="r1",
            upstream="u1",
            attempt=1,
            ending="broken",
            reason="reset",
        ),
        _line(
            1.1,
            "request_rejected",
            request_id="r1",
            reason="upstream_failed",
            status=502,
            not_run=False,
        ),
    )
    assert "answered 502, it may have run" in explain.cause("r1", related)


def test_unknown_request_is_an_error(tmp_path: pathlib.Path) -> None:
    """Guards against an empty explanation for a wrong id or log file."""
    path = tmp_path / "log"
    path.write_text(_line(1.0, "entry_started") + "\nnot JSON\n")
    with pytest.raises(exceptions.InputError):
        explain.explain("r1", (path,), False)
    with pytest.raises(exceptions.InputError):
        explain.explain("r1", (tmp_path / "none",), False)


def test_json_holds_lines_and_cause(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against JSON output without the lines or the cause."""
    path = tmp_path / "log"
    path.write_text(
        _line(1.0, "request_ended", request_id="r1", outcome="caller_gone")
    )
    explain.explain("r1", (path,), True)
    printed = json.loads(capsys.readouterr().out)
    assert printed["cause"] == "the caller closed its connection"
    assert len(printed["lines"]) == 1


def test_short_answer_without_length() -> None:
    """Guards against a short answer that is explained as proved."""
    related = _related(
        _line(
            1.0,
            "answer_end_judged",
            request_id="r1",
            upstream="u1",
            end="unproved",
        ),
        _line(1.1, "request_ended", request_id="r1", outcome="status_200"),
    )
    text = explain.cause("r1", related)
    assert "nothing but the end of the connection of u1" in text


def test_rejection_after_a_restore_of_the_store() -> None:
    """Guards against a 404 explained without the restore that led to it."""
    related = _related(
        _line(1.0, "store_era_changed", era=2, previous=1),
        _line(1.1, "configuration_kept", version=9, in_store=4, era=2),
        _line(
            1.2,
            "request_rejected",
            request_id="r1",
            reason="no_route",
            status=404,
            not_run=True,
        ),
    )
    types = [line["message_type"] for line in related]
    assert types[:2] == ["store_era_changed", "configuration_kept"]


def test_rejection_beside_a_configuration_that_is_not_used() -> None:
    """Guards against a 404 explained without the version that was rejected."""
    related = _related(
        _line(1.0, "configuration_invalid", code="document_malformed"),
        _line(1.1, "configuration_not_fetched", peer="e2"),
        _line(
            1.2,
            "request_rejected",
            request_id="r1",
            reason="no_route",
            status=404,
            not_run=True,
        ),
    )
    types = [line["message_type"] for line in related]
    assert types[:2] == ["configuration_invalid", "configuration_not_fetched"]


def test_request_that_was_refused_before_it_was_read() -> None:
    """Guards against a 503 in a crowd that nothing explains."""
    related = _related(
        _line(1.0, "callers_crowded", reason="closed_for_room"),
        _line(1.1, "buffers_full", request_id="r1", part="body"),
    )
    types = [line["message_type"] for line in related]
    assert types == ["callers_crowded", "buffers_full"]
    assert "it had not run" in explain.cause("r1", related)


def test_status_of_an_upstream_that_was_not_passed_on() -> None:
    """Guards against a 502 without the status that the upstream has sent."""
    reason = "answered with 503, which promises that the request has not run"
    related = _related(
        _line(
            1.1,
            "attempt_failed",
            request_id="r1",
            upstream="u1",
            attempt=1,
            ending="error_status",
            verdict="may_have_run",
            reason=reason,
        ),
        _line(
            1.1,
            "request_rejected",
            request_id="r1",
            reason="upstream_failed",
            status=502,
            not_run=False,
        ),
    )
    text = explain.cause("r1", related)
    assert "answered 502, it may have run" in text
    assert reason in text


@pytest.mark.parametrize(
    ("action", "text"),
    [
        ("refused", "refused unread, as its end is ambiguous (folded_line)"),
        ("connection_closed", "closed the connection after the answer"),
    ],
)
def test_request_with_an_ambiguous_end(action: str, text: str) -> None:
    """Guards against a closed connection without its reason."""
    related = _related(
        _line(
            1.0,
            "request_ambiguous",
            request_id="r1",
            defect="folded_line",
            action=action,
        ),
    )
    assert text in explain.cause("r1", related)
