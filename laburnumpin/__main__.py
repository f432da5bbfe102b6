"""The command line: declares commands and options, and sets exit codes."""

from __future__ import annotations

import dataclasses
import functools
import os
import pathlib
import sys
import time
from typing import Annotated

import anyio
import typer

from laburnumpin import exceptions
from laburnumpin.commands import client
from laburnumpin.commands import configuration
from laburnumpin.commands import entry
from laburnumpin.commands import exits
from laburnumpin.commands import output
from laburnumpin.commands import reference
from laburnumpin.config import addresses
from laburnumpin.config import options
from laburnumpin.config import problems
from laburnumpin.config import settings

PROGRAM = "laburnumpin"
URL_VARIABLE = "LABURNUMPIN_URL"
CUSTOMER_VARIABLE = "LABURNUMPIN_CUSTOMER_KEY"
KEY_VARIABLE = "LABURNUMPIN_OPERATOR_KEY"
STORE_VARIABLE = "LABURNUMPIN_STORE"
LOOPBACK = "127.0.0.1"
DEFAULT_URL = "http://127.0.0.1:7002"

# Stand-ins, demonstration and benchmarks are imported inside their commands,
# because they would increase the memory of an entry.
app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Serve model and application requests from reclaimable VMs.",
)
entry_app = typer.Typer(no_args_is_help=True, help="Run an entry.")
config_app = typer.Typer(
    no_args_is_help=True, help="Check, apply and inspect configurations."
)
request_app = typer.Typer(no_args_is_help=True, help="Inspect requests.")
standin_app = typer.Typer(no_args_is_help=True, help="Run a stand-in.")
rollout_app = typer.Typer(
    no_args_is_help=True, help="Show, pause or abort staged roll-outs."
)
docs_app = typer.Typer(
    no_args_is_help=True, help="Generate the reference pages."
)
app.add_typer(entry_app, name="entry")
app.add_typer(config_app, name="config")
app.add_typer(request_app, name="request")
app.add_typer(standin_app, name="stand-in")
app.add_typer(rollout_app, name="rollout")
app.add_typer(docs_app, name="docs", hidden=True)


def _setting_option(name: str) -> typer.models.OptionInfo:
    option = settings.EntrySettings.options()[name]
    info: typer.models.OptionInfo = typer.Option(
        settings.flag_name(name),
        help=f"{option.summary} Variable: {settings.variable_name(name)}.",
        show_default=False,
    )
    return info


Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Url = Annotated[
    str,
    typer.Option(
        "--url",
        envvar=URL_VARIABLE,
        help=f"Operator API of an entry; the key is read from {KEY_VARIABLE}.",
    ),
]
Timeout = Annotated[
    float,
    typer.Option(
        "--timeout-s", min=0.1, max=600.0, help="Timeout of one call."
    ),
]
StandinHost = Annotated[str, typer.Option(help="Address to listen on.")]
StandinPort = Annotated[
    int, typer.Option(min=0, max=65_535, help="Port; 0 chooses a free one.")
]
AdminPort = Annotated[
    int, typer.Option(min=0, max=65_535, help="Port for fault switches.")
]
HoldOut = Annotated[
    bool, typer.Option(help="Use the traces that tuning does not use.")
]
JsonPath = Annotated[
    pathlib.Path | None, typer.Option(help="Write the figures as JSON.")
]
StoreAddress = Annotated[
    str,
    typer.Option(
        "--store",
        envvar=STORE_VARIABLE,
        help="IP:PORT of the platform's store.",
        show_default=False,
    ),
]
File = Annotated[str, typer.Argument(help="Document; `-` is standard input.")]


@entry_app.command("run")
def entry_run(
    context: typer.Context,
    vm_id: Annotated[str | None, _setting_option("vm_id")] = None,
    zone: Annotated[str | None, _setting_option("zone")] = None,
    caller_host: Annotated[str | None, _setting_option("caller_host")] = None,
    caller_port: Annotated[str | None, _setting_option("caller_port")] = None,
    operator_host: Annotated[
        str | None, _setting_option("operator_host")
    ] = None,
    operator_port: Annotated[
        str | None, _setting_option("operator_port")
    ] = None,
    peer_host: Annotated[str | None, _setting_option("peer_host")] = None,
    peer_port: Annotated[str | None, _setting_option("peer_port")] = None,
    advertised_peer_address: Annotated[
        str | None, _setting_option("advertised_peer_address")
    ] = None,
    platform_url: Annotated[str | None, _setting_option("platform_url")] = None,
    seed_peers: Annotated[str | None, _setting_option("seed_peers")] = None,
    log_level: Annotated[str | None, _setting_option("log_level")] = None,
    max_upstream_connections: Annotated[
        str | None, _setting_option("max_upstream_connections")
    ] = None,
    connect_timeout_ms: Annotated[
        str | None, _setting_option("connect_timeout_ms")
    ] = None,
) -> None:
    """Run an entry until it is drained or stopped."""
    entry.run(context.params, os.environ)


@config_app.command("check")
def config_check(file: File, as_json: Json = False) -> None:
    """Check a document without an entry."""
    raise typer.Exit(configuration.check(file, as_json))


@config_app.command("apply")
def config_apply(
    file: File,
    base_version: Annotated[
        int | None,
        typer.Option(
            min=0, help="Version that the document is based on; else current."
        ),
    ] = None,
    change_id: Annotated[
        str | None,
        typer.Option(help="Id of an earlier attempt with unknown outcome."),
    ] = None,
    as_json: Json = False,
    url: Url = DEFAULT_URL,
    timeout_s: Timeout = client.DEFAULT_TIMEOUT_S,
) -> None:
    """Apply a document as the next version of the configuration."""
    with _client(url, timeout_s) as api:
        configuration.apply(
            api, file, base_version, change_id, as_json, time.sleep
        )


@config_app.command("show")
def config_show(
    version: Annotated[
        int | None, typer.Option(min=1, help="Earlier version.")
    ] = None,
    raw: Annotated[
        bool, typer.Option("--document", help="Print the document only.")
    ] = False,
    as_json: Json = False,
    url: Url = DEFAULT_URL,
    timeout_s: Timeout = client.DEFAULT_TIMEOUT_S,
) -> None:
    """Print the current or an earlier configuration."""
    with _client(url, timeout_s) as api:
        configuration.show(api, version, as_json, raw)


@config_app.command("history")
def config_history(
    as_json: Json = False,
    url: Url = DEFAULT_URL,
    timeout_s: Timeout = client.DEFAULT_TIMEOUT_S,
) -> None:
    """Print all versions with the ids of their changes."""
    with _client(url, timeout_s) as api:
        configuration.history(api, as_json)


@config_app.command("diff")
def config_diff(
    file: Annotated[
        str | None, typer.Argument(help="Document; `-` is standard input.")
    ] = None,
    from_version: Annotated[
        int | None, typer.Option("--from", min=1, help="Default: current.")
    ] = None,
    to_version: Annotated[
        int | None, typer.Option("--to", min=1, help="Default: current.")
    ] = None,
    as_json: Json = False,
    url: Url = DEFAULT_URL,
    timeout_s: Timeout = client.DEFAULT_TIMEOUT_S,
) -> None:
    """Print the fields that differ between versions, or from a document."""
    with _client(url, timeout_s) as api:
        configuration.diff(api, file, from_version, to_version, as_json)


@app.command("status")
def status(
    as_json: Json = False,
    url: Url = DEFAULT_URL,
    timeout_s: Timeout = client.DEFAULT_TIMEOUT_S,
) -> None:
    """Print the status of an entry."""
    with _client(url, timeout_s) as api:
        entry.status(api, as_json)


@app.command("drain")
def drain(
    as_json: Json = False,
    url: Url = DEFAULT_URL,
    timeout_s: Timeout = client.DEFAULT_TIMEOUT_S,
) -> None:
    """Ask an entry to complete its work and exit."""
    with _client(url, timeout_s) as api:
        entry.drain(api, as_json)


@request_app.command("show")
def request_show(
    request_id: str,
    as_json: Json = False,
    url: Url = DEFAULT_URL,
    timeout_s: Timeout = client.DEFAULT_TIMEOUT_S,
) -> None:
    """Print the status of a request at an entry."""
    with _client(url, timeout_s) as api:
        entry.show_request(api, request_id, as_json)


@rollout_app.command("show")
def rollout_show(
    store: StoreAddress,
    service: Annotated[str | None, typer.Argument()] = None,
    as_json: Json = False,
) -> None:
    """Print the written state of the roll-outs, or of a service's."""
    from laburnumpin.commands import rollout

    anyio.run(rollout.show, rollout.store_client(store), service, as_json)


@rollout_app.command("pause")
def rollout_pause(service: str, store: StoreAddress) -> None:
    """Keep a roll-out in its stage; its time limit goes on."""
    _control_rollout(service, store, is_paused=True)


@rollout_app.command("resume")
def rollout_resume(service: str, store: StoreAddress) -> None:
    """Let a roll-out that was paused go on."""
    _control_rollout(service, store)


@rollout_app.command("abort")
def rollout_abort(service: str, store: StoreAddress) -> None:
    """Roll a roll-out back."""
    _control_rollout(service, store, is_aborted=True)


@docs_app.command("reference")
def docs_reference(
    directory: Annotated[
        pathlib.Path, typer.Argument(help="Where to write the pages.")
    ] = pathlib.Path("docs"),
) -> None:
    """Write the reference pages from the declared options."""
    reference.write(directory)


@standin_app.command("platform")
def standin_platform(
    host: StandinHost = LOOPBACK,
    port: StandinPort = 0,
    admin_port: AdminPort = 0,
    token: Annotated[
        str, typer.Option(envvar="LABURNUMPIN_PLATFORM_TOKEN")
    ] = "",
    vm_list_lag_ms: Annotated[int, typer.Option(min=0)] = 2_000,
) -> None:
    """Run the platform stand-in."""
    from laburnumpin.commands import standin
    from laburnumpin.standins import platform_documents
    from laburnumpin.standins import running

    standin.run_platform(
        platform_documents.PlatformSettings(
            token=token, vm_list_lag_ms=vm_list_lag_ms
        ),
        running.Binding(host, port, admin_port),
    )


@standin_app.command("engine")
def standin_engine(
    host: StandinHost = LOOPBACK,
    port: StandinPort = 0,
    admin_port: AdminPort = 0,
    model: Annotated[str, typer.Option(help="Model that is loaded.")] = "",
    model_version: Annotated[str, typer.Option()] = "",
    checks_fencing: Annotated[
        bool, typer.Option(help="Refuse orders with a stale fencing token.")
    ] = True,
    base_step_ms: Annotated[
        int, typer.Option(min=1, help="Length of a step without streams.")
    ] = 8,
) -> None:
    """Run the model engine stand-in."""
    from laburnumpin.commands import standin
    from laburnumpin.standins import batching
    from laburnumpin.standins import engine_documents
    from laburnumpin.standins import running

    standin.run_engine(
        engine_documents.EngineSettings(
            batch=batching.BatchSettings(base_step_ms=base_step_ms),
            model=model,
            model_version=model_version,
            checks_fencing=checks_fencing,
        ),
        running.Binding(host, port, admin_port),
    )


@standin_app.command("plain")
def standin_plain(
    host: StandinHost = LOOPBACK,
    port: StandinPort = 0,
    admin_port: AdminPort = 0,
    call_ms: Annotated[
        int, typer.Option(min=0, help="Duration of a call.")
    ] = 20,
) -> None:
    """Run the plain service stand-in."""
    from laburnumpin.commands import standin
    from laburnumpin.standins import plain_service
    from laburnumpin.standins import running

    standin.run_plain_service(
        plain_service.PlainSettings(call_ms=call_ms),
        running.Binding(host, port, admin_port),
    )


@app.command("demo")
def run_demo() -> None:
    """Run a demonstration deployment in one process on loopback."""
    from laburnumpin.commands import demo

    raise typer.Exit(0 if demo.run_demo(typer.echo) else exits.Exit.FAILED)


@app.command("load")
def send_load(
    service: str,
    operation: str,
    entry_url: Annotated[
        list[str], typer.Option(help="Caller API of an entry; repeatable.")
    ],
    customer_key: Annotated[
        str, typer.Option(envvar=CUSTOMER_VARIABLE, show_default=False)
    ],
    plain: Annotated[
        bool, typer.Option(help="The service is plain, not a model.")
    ] = False,
    idempotent: Annotated[
        bool, typer.Option(help="Whether the operation is idempotent.")
    ] = True,
    requests: Annotated[int, typer.Option(min=1)] = 100,
    rate_per_s: Annotated[float, typer.Option(min=0.1)] = 20.0,
    as_json: Json = False,
) -> None:
    """Send a bounded load to entries on loopback and check the answers."""
    from laburnumpin.commands import load
    from laburnumpin.core import deployment

    kind = deployment.ServiceKind.MODEL
    if plain:
        kind = deployment.ServiceKind.PLAIN
    target = load.Target(
        service, operation, kind, idempotent, streamed=not plain
    )
    report = load.run_load(
        load.LoadSettings(
            tuple(entry_url),
            customer_key,
            (target,),
            requests=requests,
            rate_per_s=rate_per_s,
        )
    )
    value = dataclasses.asdict(report)
    if as_json:
        output.print_json(value)
    else:
        output.print_fields(value)
    raise typer.Exit(0 if report.all_ok else exits.Exit.FAILED)


@app.command("explain")
def explain_request(
    request_id: str,
    log_file: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(help="Logs of entries; standard input if none."),
    ] = None,
    as_json: Json = False,
) -> None:
    """Print the log lines of a request in order, with the cause last."""
    from laburnumpin.commands import explain

    explain.explain(request_id, tuple(log_file or ()), as_json)


@app.command("soak")
def run_soak(
    first_seed: Annotated[int, typer.Option(min=0)] = 1,
    seeds: Annotated[int, typer.Option(min=1, max=1_000)] = 5,
    duration_s: Annotated[float, typer.Option(min=1.0, max=600.0)] = 12.0,
    entries: Annotated[int, typer.Option(min=1, max=40)] = 3,
    faults: Annotated[
        bool,
        typer.Option(help="Inject faults besides requests and limits."),
    ] = True,
) -> None:
    """Run real entry processes with injected faults and check guarantees."""
    from laburnumpin.commands import soak

    all_passed = soak.soak(
        first_seed, seeds, duration_s, entries, inject_faults=faults
    )
    raise typer.Exit(0 if all_passed else exits.Exit.FAILED)


@app.command("bench")
def run_bench(
    policy: Annotated[
        list[str] | None, typer.Option(help="Policy; repeatable; default all.")
    ] = None,
    site: Annotated[
        list[str] | None, typer.Option(help="Site; repeatable; default all.")
    ] = None,
    hold_out: HoldOut = False,
    json_path: JsonPath = None,
    plot_path: Annotated[
        pathlib.Path | None, typer.Option(help="Write a plot.")
    ] = None,
) -> None:
    """Replay routing policies in virtual time and compare their figures."""
    from laburnumpin.bench import policies
    from laburnumpin.commands import bench

    bench.run_bench(
        policy or tuple(policies.POLICIES),
        site or tuple(bench.SITES),
        hold_out,
        json_path,
        plot_path,
    )


@app.command("bench-fleet")
def run_fleet_bench(
    hold_out: HoldOut = False, json_path: JsonPath = None
) -> None:
    """Replay fleet policies in virtual time and compare their figures."""
    from laburnumpin.commands import fleet_bench

    fleet_bench.run_fleet_bench(hold_out=hold_out, json_path=json_path)


@app.command("capacity")
def measure_capacity(
    repetitions: Annotated[int, typer.Option(min=1, max=20)] = 5,
    as_json: Json = False,
) -> None:
    """Measure the costs that the capacity page uses."""
    from laburnumpin.commands import capacity

    measured = capacity.measure(repetitions)
    if as_json:
        typer.echo(capacity.format_json(measured))
        return
    typer.echo(capacity.format_table(measured))


@app.command("configuration-costs")
def measure_configuration_costs(
    routes: Annotated[list[int] | None, typer.Option(min=1)] = None,
    as_json: Json = False,
) -> None:
    """Measure applying a configuration, by its routes and changed routes.

    Decoding it as a whole, as before, is measured beside it.
    """
    from laburnumpin.commands import configuration_costs

    typer.echo(configuration_costs.run(routes, as_json=as_json))


def _control_rollout(
    service: str,
    store: str,
    *,
    is_paused: bool = False,
    is_aborted: bool = False,
) -> None:
    from laburnumpin.commands import rollout

    anyio.run(
        functools.partial(
            rollout.control,
            rollout.store_client(store),
            service,
            is_paused=is_paused,
            is_aborted=is_aborted,
        )
    )


def _client(url: str, timeout_s: float) -> client.Client:
    errors: problems.Errors = []
    checked_url = addresses.Url().check(url, URL_VARIABLE, errors)
    key = options.SecretText().check(
        os.environ.get(KEY_VARIABLE, ""), KEY_VARIABLE, errors
    )
    if checked_url is None or key is None:
        raise exceptions.ConfigurationError(errors)
    return client.Client(checked_url, key, timeout_s)


def main(arguments: list[str] | None = None) -> None:
    """Run a command and exit with a code of `commands.exits.Exit`."""
    try:
        app(args=arguments, prog_name=PROGRAM)
    except exceptions.LaburnumpinError as error:
        output.print_failure(error)
        sys.exit(exits.code_for(error))


if __name__ == "__main__":
    main()
