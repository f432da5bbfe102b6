"""Tests of configuration changes with processes on loopback."""

from __future__ import annotations

import functools
import json
import pathlib

import anyio

from laburnumpin.commands import exits
from laburnumpin.tests import processes
from laburnumpin.tests import scenarios

PROGRAM = pathlib.Path(__file__).parents[2] / "examples" / "rigsafe.py"
STATUS = ("-m", "laburnumpin", "status", "--json")
APPLY = ("-m", "laburnumpin", "config", "apply")


async def _watch_versions(
    running: processes.Processes,
    entry: processes.Process,
    seen: list[int],
) -> None:
    """Record each version that an entry shows, until cancelled."""
    while True:
        status = await running.status(entry)
        seen.append(status["configuration_version"])
        await anyio.sleep(processes.POLL_INTERVAL_S)


async def _wait_version(
    running: processes.Processes,
    entries: tuple[processes.Process, ...],
    version: int,
) -> None:
    async def is_in_force(entry: processes.Process) -> bool:
        status = await running.status(entry)
        return bool(status["configuration_version"] >= version)

    for entry in entries:
        await processes.wait_for(functools.partial(is_in_force, entry))


@scenarios.concurrent(6)
async def test_a_program_is_in_force_at_all_entries_and_never_reverts(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against lost, doubled and reverted configuration changes.

    Covers two operators who start from the same version, and an answer of
    the store that is lost after the write took effect.
    """
    async with processes.run(tmp_path) as running:
        platform = await running.start_platform()
        entries = await running.start_entries(3)
        printed = await running.run_command(str(PROGRAM))
        assert printed.returncode == 0, printed.stderr
        file = tmp_path / "rigsafe.json"
        file.write_bytes(printed.stdout)
        seen: list[list[int]] = [[], [], []]
        async with anyio.create_task_group() as watchers:
            for entry, versions in zip(entries, seen, strict=True):
                watchers.start_soon(_watch_versions, running, entry, versions)
            first = await running.run_command(
                *APPLY, str(file), url=entries[0].admin_url
            )
            assert first.returncode == exits.Exit.OK, first.stderr
            await _wait_version(running, entries, 1)
            codes = await _race(running, entries, file)
            assert codes == [exits.Exit.OK, exits.Exit.CONFLICT]
            await _wait_version(running, entries, 2)
            await _apply_with_lost_answer(running, platform, entries[2], file)
            await _wait_version(running, entries, 3)
            shown = await running.run_command(*STATUS, url=entries[1].admin_url)
            assert json.loads(shown.stdout)["configuration_version"] == 3
            watchers.cancel_scope.cancel()
        history = await running.get(
            entries[1], "/operator/configuration/history"
        )
    assert [row["version"] for row in history["versions"]] == [3, 2, 1]
    for versions in seen:
        assert versions == sorted(versions)
        assert versions[-1] <= 3


async def _race(
    running: processes.Processes,
    entries: tuple[processes.Process, ...],
    file: pathlib.Path,
) -> list[int]:
    """Return the sorted exit codes of two changes of version 1."""
    codes: list[int] = []

    async def apply(entry: processes.Process) -> None:
        done = await running.run_command(
            *APPLY, str(file), "--base-version", "1", url=entry.admin_url
        )
        codes.append(done.returncode)

    async with anyio.create_task_group() as operators:
        for entry in entries[:2]:
            operators.start_soon(apply, entry)
    return sorted(codes)


async def _apply_with_lost_answer(
    running: processes.Processes,
    platform: processes.Process,
    entry: processes.Process,
    file: pathlib.Path,
) -> None:
    """Lose all answers to writes until the change is in the store.

    Losing a fixed number of them could hit writes of the lease only.
    """

    async def is_written() -> bool:
        row = await running.read_row("configuration", "change/third")
        return row["value"] is not None

    async with anyio.create_task_group() as operators:
        await running.set_faults(
            platform, path="/tables/transact", lose_answers=10_000
        )

        async def apply() -> None:
            done = await running.run_command(
                *APPLY,
                str(file),
                "--base-version",
                "2",
                "--change-id",
                "third",
                "--json",
                url=entry.admin_url,
            )
            assert done.returncode == exits.Exit.OK, done.stderr
            assert json.loads(done.stdout)["version"] == 3

        operators.start_soon(apply)
        await processes.wait_for(is_written)
        await running.set_faults(platform, lose_answers=0)
    lost = await running.logged_requests(platform, "/tables/transact")
    assert any(row["fault"] == "answer_lost" for row in lost)
