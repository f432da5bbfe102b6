"""Tests of configuration changes with processes on loopback."""

from __future__ import annotations

import functools
import json
import pathlib

import anyio

from laburnumpin.commands import exits
from laburnumpin.tests import processes
from laburnumpin.tests import scenarios

EXAMPLE_PROGRAM = pathlib.Path(__file__).parents[2] / "examples" / "rigsafe.py"
STATUS_COMMAND = ("-m", "laburnumpin", "status", "--json")
APPLY_COMMAND = ("-m", "laburnumpin", "config", "apply")


async def _watch_versions(
    running: processes.Processes,
    entry: processes.Process,
    seen_versions: list[int],
) -> None:
    """Record the version that an entry reports, until cancelled."""
    while True:
        status = await running.status(entry)
        seen_versions.append(status["configuration_version"])
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
    """Guards against lost, duplicated and reverted configuration changes.

    Covers two concurrent changes based on the same version, and an answer of
    the store that is lost after the write took effect.
    """
    async with processes.run(tmp_path) as running:
        platform = await running.start_platform()
        entries = await running.start_entries(3)
        program_run = await running.run_command(str(EXAMPLE_PROGRAM))
        assert program_run.returncode == 0, program_run.stderr
        document_path = tmp_path / "rigsafe.json"
        document_path.write_bytes(program_run.stdout)
        seen_versions: list[list[int]] = [[], [], []]
        async with anyio.create_task_group() as watchers:
            for entry, versions in zip(entries, seen_versions, strict=True):
                watchers.start_soon(_watch_versions, running, entry, versions)
            first_run = await running.run_command(
                *APPLY_COMMAND, str(document_path), url=entries[0].admin_url
            )
            assert first_run.returncode == exits.Exit.OK, first_run.stderr
            await _wait_version(running, entries, 1)
            exit_codes = await _apply_concurrently(
                running, entries, document_path
            )
            assert exit_codes == [exits.Exit.OK, exits.Exit.CONFLICT]
            await _wait_version(running, entries, 2)
            await _apply_with_lost_answer(
                running, platform, entries[2], document_path
            )
            await _wait_version(running, entries, 3)
            status_run = await running.run_command(
                *STATUS_COMMAND, url=entries[1].admin_url
            )
            assert json.loads(status_run.stdout)["configuration_version"] == 3
            watchers.cancel_scope.cancel()
        history = await running.get(
            entries[1], "/operator/configuration/history"
        )
    assert [row["version"] for row in history["versions"]] == [3, 2, 1]
    for versions in seen_versions:
        assert versions == sorted(versions)
        assert versions[-1] <= 3


async def _apply_concurrently(
    running: processes.Processes,
    entries: tuple[processes.Process, ...],
    document_path: pathlib.Path,
) -> list[int]:
    """Apply two changes of version 1 and return the sorted exit codes."""
    exit_codes: list[int] = []

    async def apply(entry: processes.Process) -> None:
        completed = await running.run_command(
            *APPLY_COMMAND,
            str(document_path),
            "--base-version",
            "1",
            url=entry.admin_url,
        )
        exit_codes.append(completed.returncode)

    async with anyio.create_task_group() as operators:
        for entry in entries[:2]:
            operators.start_soon(apply, entry)
    return sorted(exit_codes)


async def _apply_with_lost_answer(
    running: processes.Processes,
    platform: processes.Process,
    entry: processes.Process,
    document_path: pathlib.Path,
) -> None:
    """Lose all answers to writes until the change is in the store.

    Losing a fixed number of answers could affect only writes of the lease.
    """

    async def is_written() -> bool:
        row = await running.read_row("configuration", "change/third")
        return row["value"] is not None

    async with anyio.create_task_group() as operators:
        await running.set_faults(
            platform, path="/tables/transact", lose_answers=10_000
        )

        async def apply() -> None:
            completed = await running.run_command(
                *APPLY_COMMAND,
                str(document_path),
                "--base-version",
                "2",
                "--change-id",
                "third",
                "--json",
                url=entry.admin_url,
            )
            assert completed.returncode == exits.Exit.OK, completed.stderr
            assert json.loads(completed.stdout)["version"] == 3

        operators.start_soon(apply)
        await processes.wait_for(is_written)
        await running.set_faults(platform, lose_answers=0)
    requests = await running.logged_requests(platform, "/tables/transact")
    assert any(row["fault"] == "answer_lost" for row in requests)
