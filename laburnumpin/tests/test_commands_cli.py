"""Tests of the command line against a fake operator API."""

from __future__ import annotations

from collections.abc import Callable
import json
import pathlib
import sys
import time
import types
from typing import Any

import httpx
import pytest

from laburnumpin import __main__
from laburnumpin import exceptions
from laburnumpin.commands import client
from laburnumpin.commands import configuration
from laburnumpin.commands import exits
from laburnumpin.commands import reference
from laburnumpin.config import options
from laburnumpin.config import settings
from laburnumpin.tests import test_config_loading
from laburnumpin.tests import test_config_settings

DOCUMENT = json.dumps(test_config_loading.valid())
Handler = Callable[[httpx.Request], httpx.Response]


class FakeApi:
    """Answers like the operator API; `posts` overrides answers to POST."""

    def __init__(self) -> None:
        self.posts: list[httpx.Response | Exception] = []
        self.bodies: list[dict[str, Any]] = []
        self.current: dict[str, Any] = {
            "version": 4,
            "change_id": "c4",
            "document": DOCUMENT,
        }

    def __call__(self, request: httpx.Request) -> httpx.Response:
        assert request.headers["Authorization"] == "Bearer operator-key"
        path = request.url.path
        if request.method == "POST":
            return self._post(json.loads(request.content))
        if path == "/operator/configuration":
            return httpx.Response(200, json=self.current)
        if path == "/operator/configuration/history":
            item = {"version": 4, "change_id": "c4"}
            return httpx.Response(200, json={"versions": [item]})
        if path == "/operator/status":
            answer = {"lifecycle": "ready", "zones": ["z1"]}
            return httpx.Response(200, json=answer)
        error = {"code": "not_found", "message": f"no {path}"}
        return httpx.Response(404, json={"error": error})

    def _post(self, body: dict[str, Any]) -> httpx.Response:
        self.bodies.append(body)
        if not self.posts:
            answer = {"version": 5, "change_id": body.get("change_id", "")}
            return httpx.Response(200, json=answer)
        answer_or_error = self.posts.pop(0)
        if isinstance(answer_or_error, Exception):
            raise answer_or_error
        return answer_or_error


@pytest.fixture
def api(monkeypatch: pytest.MonkeyPatch) -> FakeApi:
    """Connect the command line to a fake operator API."""
    fake = FakeApi()
    monkeypatch.setattr(
        __main__,
        "_client",
        lambda url, timeout_s: client.Client(
            url,
            options.Secret("operator-key"),
            timeout_s,
            httpx.MockTransport(fake),
        ),
    )
    monkeypatch.setattr(time, "sleep", lambda duration_s: None)
    return fake


@pytest.fixture
def file(tmp_path: pathlib.Path) -> str:
    """Return the path of a valid document."""
    path = tmp_path / "small.json"
    path.write_text(DOCUMENT)
    return str(path)


def run(*arguments: str) -> int:
    """Run a command and return its exit code."""
    with pytest.raises(SystemExit) as caught:
        __main__.main(list(arguments))
    return int(caught.value.code or 0)


def failure(status: int, code: str, **fields: Any) -> httpx.Response:
    """Return an answer of the operator API to a failed call."""
    error = {"code": code, "message": "why", **fields}
    return httpx.Response(status, json={"error": error})


def test_apply_takes_the_current_version_as_base(
    api: FakeApi, file: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against changes that are not based on a known version."""
    assert run("config", "apply", file, "--json") == exits.Exit.OK
    body = api.bodies[0]
    assert (body["base_version"], body["document"]) == (4, DOCUMENT)
    answer = json.loads(capsys.readouterr().out)
    assert answer == {"version": 5, "change_id": body["change_id"]}
    assert run("config", "apply", file, "--base-version", "3") == 0
    assert api.bodies[1]["base_version"] == 3
    assert api.bodies[1]["change_id"] != body["change_id"]


@pytest.mark.parametrize(
    "lost_response",
    [
        httpx.ReadTimeout("slow"),
        httpx.RemoteProtocolError("cut"),
        failure(503, "platform_answer_lost"),
        failure(500, "internal_error"),
        httpx.Response(200, text="not JSON"),
        httpx.Response(200, json={}),
    ],
)
def test_apply_repeats_with_the_same_change_id(
    api: FakeApi, file: str, lost_response: httpx.Response | Exception
) -> None:
    """Guards against changes lost or applied twice after a lost response."""
    api.posts = [lost_response, httpx.ConnectError("refused")]
    assert run("config", "apply", file) == exits.Exit.OK
    assert len(api.bodies) == 3
    assert api.bodies[0] == api.bodies[1] == api.bodies[2]


def test_apply_reports_an_unknown_outcome(
    api: FakeApi, file: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a report of "nothing was done" after a lost response.

    The entry becomes unavailable after the response to the first attempt is
    lost.
    """
    api.posts = [httpx.ReadTimeout("slow")]
    api.posts += [failure(503, "platform_unavailable")] * 9
    assert run("config", "apply", file) == exits.Exit.OUTCOME_UNKNOWN
    assert len(api.bodies) == configuration.APPLY_ATTEMPTS
    change_id = api.bodies[0]["change_id"]
    hint = f"--base-version 4 --change-id {change_id}"
    assert hint in capsys.readouterr().err


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (
            failure(
                409,
                "configuration_conflict",
                base_version=4,
                current_version=6,
            ),
            exits.Exit.CONFLICT,
        ),
        (
            failure(
                422,
                "configuration_invalid",
                fields=[{"field": "a", "code": "b", "message": "c"}],
            ),
            exits.Exit.INVALID,
        ),
        (failure(503, "platform_unavailable"), exits.Exit.UNAVAILABLE),
        (failure(401, "unauthorized"), exits.Exit.REFUSED),
        (httpx.ConnectError("refused"), exits.Exit.UNAVAILABLE),
    ],
)
def test_failures_give_one_line_and_their_own_exit_code(
    api: FakeApi,
    file: str,
    capsys: pytest.CaptureFixture[str],
    answer: httpx.Response | Exception,
    code: exits.Exit,
) -> None:
    """Guards against tracebacks and against retries of definite failures."""
    api.posts = [answer]
    assert run("config", "apply", file) == code
    assert len(api.bodies) == 1
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    assert lines[0].startswith("error: ")


def test_check_reports_every_field(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a check that stops at the first invalid field."""
    path = tmp_path / "document.json"
    path.write_text('{"name": 1}')
    assert run("config", "check", str(path)) == exits.Exit.INVALID
    assert len(capsys.readouterr().err.splitlines()) == 4
    assert run("config", "check", str(path), "--json") == exits.Exit.INVALID
    answer = json.loads(capsys.readouterr().out)
    fields = [error["field"] for error in answer["errors"]]
    assert fields == ["name", "zones", "services", "placements"]
    path.write_bytes(b"\xff")
    assert run("config", "check", str(path)) == exits.Exit.USAGE
    path.write_text(DOCUMENT)
    assert run("config", "check", str(path)) == exits.Exit.OK


def test_diff_names_the_fields(
    api: FakeApi, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a comparison of placements by their list index."""
    changed = test_config_loading.valid()
    added = changed["placements"][0] | {"reclaimable": False}
    changed["placements"].insert(0, added)
    changed["customers"]["c1"]["weight"] = 2
    path = tmp_path / "document.json"
    path.write_text(json.dumps(changed))
    assert run("config", "diff", str(path)) == 0
    lines = capsys.readouterr().out.splitlines()
    assert "+ customers.c1.weight: 2" in lines
    assert "+ placements[desk/z1/cpu.small/on-demand].max_vms: 2" in lines
    assert not [line for line in lines if not line.startswith("+")]
    assert run("config", "diff", "--json") == 0
    assert json.loads(capsys.readouterr().out) == {"changes": []}


@pytest.mark.parametrize(
    "arguments",
    [
        ("status",),
        ("config", "show"),
        ("config", "history"),
        ("config", "diff"),
    ],
)
def test_reading_commands_print_json(
    api: FakeApi,
    capsys: pytest.CaptureFixture[str],
    arguments: tuple[str, ...],
) -> None:
    """Guards against output that scripts can't parse."""
    assert run(*arguments, "--json") == 0
    assert isinstance(json.loads(capsys.readouterr().out), dict)
    assert run(*arguments) == 0


def test_show_prints_the_document_unchanged(
    api: FakeApi, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against output that differs from what was applied."""
    assert run("config", "show", "--document") == 0
    assert capsys.readouterr().out == DOCUMENT
    api.current = {"version": 0, "change_id": "", "document": None}
    assert run("config", "show") == exits.Exit.OK
    assert run("config", "show", "--document") == exits.Exit.NOT_FOUND
    assert run("config", "show", "--version", "9") == exits.Exit.NOT_FOUND
    assert run("request", "show", "vm/../x") == exits.Exit.NOT_FOUND
    assert "requests/vm/../x" in capsys.readouterr().err


def test_a_missing_key_is_reported(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against calls without credentials."""
    monkeypatch.delenv("LABURNUMPIN_OPERATOR_KEY", raising=False)
    assert run("status", "--url", "ftp://x") == exits.Exit.INVALID
    assert len(capsys.readouterr().err.splitlines()) == 2


def test_entry_run_has_a_flag_for_each_setting_but_secrets(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against settings without flag, and secrets with one."""
    started: list[settings.Settings] = []
    module = types.ModuleType("laburnumpin.server.entry")
    module.run = started.append  # type: ignore[attr-defined]
    monkeypatch.setitem(sys.modules, "laburnumpin.server.entry", module)
    for name, value in test_config_settings.ENVIRONMENT.items():
        monkeypatch.setenv(name, value)
    assert run("entry", "run", "--zone", "caruaru") == 0
    assert started[0].zone == "caruaru"
    monkeypatch.setenv("LABURNUMPIN_PEER_PORT", "x")
    assert run("entry", "run") == exits.Exit.INVALID
    assert "LABURNUMPIN_PEER_PORT" in capsys.readouterr().err
    parameters = __main__.entry_run.__annotations__
    flags = {name for name in parameters if name not in ("context", "return")}
    names = settings.EntrySettings.options()
    assert flags == {name for name in names if not settings.is_secret(name)}


def test_reference_pages_are_current() -> None:
    """Guards against pages that differ from the options."""
    docs = pathlib.Path(__file__).parents[2] / "docs"
    for name, text in reference.pages().items():
        assert (docs / name).read_text() == text


def test_every_exit_code_is_documented() -> None:
    """Guards against exit codes that the reference pages leave out."""
    assert set(exits.MEANINGS) == set(exits.Exit)
    unexpected = exceptions.StoredRowError("x")
    assert exits.code_for(unexpected) is exits.Exit.FAILED
