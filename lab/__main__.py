"""The commands `python -m lab module`, `scale`, `reload`, `up`, `run`, `compare` and `report`."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path
from typing import Any

import click
import msgspec

from lab import module, reload, reload_report, report, scale, schedule, up
from lab.arguments import check_result_path, half_of_memory_mb, parse_size, resolve_memory_bound_mb
from lab.bounded import run_bounded
from lab.model.commands import compare_command, report_command, run_command
from lab.processes import ChildError
from lab.records import Plan
from lab.running import run_interruptible, run_to_folder
from lab.tables import format_table
from load_balancer.config.file import parse_config

DEFAULT_SIZES = ("10x3x2", "200x3x2", "4200x3x2", "10x3400x2", "10x3x2300")

memory_option = click.option(
    "--memory-mb",
    type=click.IntRange(100),
    help="Memory bound of all child processes together, in MB [default: half of the machine's]",
)
lateness_bound_option = click.option(
    "--late-ms",
    type=click.FloatRange(1),
    default=25.0,
    show_default=True,
    help="Largest lateness at p99, in ms, with which the schedule counts as kept.",
)
out_option = click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    required=True,
    help="Directory to write the result to.",
)
seed_option = click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
gateways_option = click.option(
    "--real", type=click.IntRange(1, 64), default=2, show_default=True, help="Real gateways."
)


class SingleLineErrorGroup(click.Group):
    """A command group that reports invalid arguments in one line and then exits with code 2."""

    def main(self, *args: Any, **kwargs: Any) -> Any:
        """Run a command and exit the process with the code that it returns."""
        kwargs["standalone_mode"] = False
        try:
            exit_code = super().main(*args, **kwargs)
        except click.Abort:
            sys.exit(130)
        except click.exceptions.NoArgsIsHelpError:
            print(
                "lab: no command given; expected module, scale, reload, up, run, compare or report "
                "(see --help)",
                file=sys.stderr,
            )
            sys.exit(2)
        except click.ClickException as error:
            print(f"lab: {error.format_message()}", file=sys.stderr)
            sys.exit(2)
        sys.exit(exit_code if isinstance(exit_code, int) else 0)


@click.group(cls=SingleLineErrorGroup)
def lab() -> None:
    """Measure the load balancer at a given size on loopback, and simulate it in a model of a fleet."""


@lab.command("module")
@click.option("--size", "sizes", multiple=True, help="SERVERSxROUTESxTENANTS to measure; can be repeated.")
@click.option(
    "--servers", type=click.IntRange(1), help="Servers of one more size, which has --routes and --tenants."
)
@click.option("--routes", type=click.IntRange(1), default=3, show_default=True)
@click.option("--tenants", type=click.IntRange(1), default=2, show_default=True)
@seed_option
@click.option(
    "--repeat",
    type=click.IntRange(1),
    default=1,
    show_default=True,
    help="Runs of each size; their medians are shown.",
)
@click.option(
    "--memory-mb",
    type=click.IntRange(1),
    help="Memory bound of each run, in MB [default: half of the machine's]",
)
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    callback=check_result_path,
    help="File to write the result to, as JSON.",
)
def module_command(
    sizes: tuple[str, ...],
    servers: int | None,
    routes: int,
    tenants: int,
    seed: int,
    repeat: int,
    memory_mb: int | None,
    out: Path | None,
) -> int:
    """Measure what one Balancer costs at each size, without sockets."""
    parsed_sizes = [parse_size(text) for text in sizes]
    if servers is not None:
        parsed_sizes.append((servers, routes, tenants))
    results = []
    for size in parsed_sizes or map(parse_size, DEFAULT_SIZES):
        arguments = ["lab.module", *map(str, size), str(seed)]
        bound_mb = memory_mb or half_of_memory_mb()
        result = module.median_result([run_bounded(arguments, bound_mb) for _ in range(repeat)])
        results.append(result | dict(zip(("servers", "routes", "tenants"), size, strict=True)))
        print(f"{'x'.join(map(str, size))}: {result.get('failed', 'done')}", file=sys.stderr, flush=True)
    print(format_table(module.COLUMNS, map(module.result_row, results)))
    if out is not None:
        out.write_text(json.dumps({"seed": seed, "sizes": results}, indent=1) + "\n", encoding="utf-8")
    return 1 if any("failed" in result for result in results) else 0


@lab.command("scale")
@click.option("--servers", type=click.IntRange(4, 4200), default=200, show_default=True)
@click.option("--routes", type=click.IntRange(4, 10_000), default=15, show_default=True)
@click.option("--tenants", type=click.IntRange(4, 100_000), default=15, show_default=True)
@click.option(
    "--hollow", type=click.IntRange(4, 1000), default=16, show_default=True, help="Simulated gateways."
)
@gateways_option
@seed_option
@click.option(
    "--rate",
    type=click.FloatRange(0, 5000, min_open=True),
    default=200.0,
    show_default=True,
    help="Requests per second through all real gateways together; as many go directly to endpoints.",
)
@click.option(
    "--hollow-rate",
    type=click.FloatRange(0, 1000, min_open=True),
    default=5.0,
    show_default=True,
    help="Requests per second to each simulated gateway.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(0.5, 600),
    default=4.0,
    show_default=True,
    help="Duration of each scenario.",
)
@click.option(
    "--sweep-s",
    type=click.FloatRange(0.2, 60),
    default=1.0,
    show_default=True,
    help="Duration of the requests at each size of the sweep.",
)
@click.option(
    "--scenario",
    "scenarios",
    multiple=True,
    type=click.Choice(list(schedule.SCENARIOS)),
    default=("ordinary", "rack", "outage"),
    show_default=True,
)
@memory_option
@lateness_bound_option
@out_option
def scale_command(
    out: Path,
    memory_mb: int | None,
    scenarios: tuple[str, ...],
    hollow: int,
    hollow_rate: float,
    **sizes: Any,
) -> int:
    """Measure all parts at one size; write result.json to the directory and print tables."""
    bound_mb = resolve_memory_bound_mb(memory_mb)
    plan = Plan(
        scenarios=tuple(dict.fromkeys(scenarios)),
        memory_mb=bound_mb,
        simulated=hollow,
        simulated_rate=hollow_rate,
        **sizes,
    )
    return run_to_folder(
        out, lambda report_progress: scale.play(plan, out, report_progress), report.format_result
    )


@lab.command("reload")
@click.option("--servers", type=click.IntRange(4, 4200), default=200, show_default=True)
@click.option("--routes", type=click.IntRange(1, 10_000), default=100, show_default=True)
@click.option("--tenants", type=click.IntRange(1, 100_000), default=500, show_default=True)
@gateways_option
@click.option(
    "--hollow", type=click.IntRange(1, 1000), default=8, show_default=True, help="Simulated gateways."
)
@click.option(
    "--rate",
    type=click.FloatRange(0, 5000, min_open=True),
    default=200.0,
    show_default=True,
    help="Requests per second to each real gateway; as many go directly to endpoints.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(0.5, 600),
    default=12.0,
    show_default=True,
    help="Duration of the requests without changes, and again of the requests with changes.",
)
@click.option(
    "--every-s",
    type=click.FloatRange(0.1, 600),
    default=2.0,
    show_default=True,
    help="Time between two changes during requests; 22.7 is ten times the daily rate. At least 3 are made.",
)
@click.option(
    "--changes",
    type=click.IntRange(1, 100_000),
    default=40,
    show_default=True,
    help="Changes made afterwards, one immediately after the other.",
)
@seed_option
@memory_option
@lateness_bound_option
@out_option
def reload_command(out: Path, memory_mb: int | None, hollow: int, **sizes: Any) -> int:
    """Measure changes of one tenant in running gateways; write result.json and print a table."""
    plan = reload.Plan(memory_mb=resolve_memory_bound_mb(memory_mb), simulated=hollow, **sizes)
    return run_to_folder(
        out, lambda report_progress: reload.play(plan, out, report_progress), reload_report.format_result
    )


@lab.command("up")
@click.option(
    "--config",
    type=click.Path(path_type=Path, dir_okay=False),
    default=up.EXAMPLE_CONFIG,
    help="Configuration file of the gateways [default: deploy/example.json]",
)
def up_command(config: Path) -> int:
    """Start an example deployment: discovery, five endpoints and two gateways.

    Prints a curl command that gets a 200 through a gateway. Ctrl-C stops all processes.
    """
    try:
        raw = msgspec.json.decode(config.read_bytes())
        parse_config(raw)
    except OSError as error:
        raise click.BadParameter(f"{config} cannot be read: {error.strerror}") from None
    except (ValueError, TypeError) as error:
        raise click.BadParameter(f"{config} is not a valid configuration: {error}") from None
    with tempfile.TemporaryDirectory(prefix="load-balancer-") as folder:

        def print_command(line: str) -> None:
            print(line, flush=True)
            print("lab: the deployment is running; Ctrl-C stops it", file=sys.stderr, flush=True)

        try:
            run_interruptible(up.run_deployment(raw, Path(folder), print_command))
        except (ChildError, TimeoutError) as error:
            logs = "".join(path.read_text(errors="replace") for path in sorted(Path(folder).glob("*.log")))
            print(f"{logs}lab: {error or 'a gateway was not ready in time'}", file=sys.stderr)
            return 1
    print("lab: stopped; all child processes have ended", file=sys.stderr)
    return 0


lab.add_command(run_command)
lab.add_command(compare_command)
lab.add_command(report_command)


if __name__ == "__main__":
    lab()
