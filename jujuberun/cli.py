"""Command-line tool jujuberun."""

import argparse
import json
import os
import sys
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Any

import anyio
from result import Err, Ok, Result

from jujuberun import api
from jujuberun.arguments import (
    Parser,
    read_address,
    read_method,
    read_path,
    read_seed,
    read_timeout,
)

EXIT_FAILED = 1  # a check, call, query or measurement failed
EXIT_INTERRUPTED = 130
DEFAULT_TIMEOUT_S = 30.0

Command = Callable[[argparse.Namespace], int]


def main(arguments: Sequence[str] | None = None) -> int:
    """Entry point of jujuberun.

    Args:
        arguments: command line without the program's name; None means
            sys.argv.

    Returns:
        Exit status: 0, EXIT_FAILED or EXIT_INTERRUPTED. Invalid arguments
        end the process with EXIT_USAGE.
    """
    # File names may contain bytes that the terminal's encoding cannot show.
    for stream in (sys.stdout, sys.stderr):
        if hasattr(stream, "reconfigure"):
            stream.reconfigure(errors="backslashreplace")
    options = make_parser().parse_args(arguments)
    try:
        status = options.run(options)
        sys.stdout.flush()
    except api.JujuberunError as error:
        return _fail(str(error))
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # Prevents a second error when Python flushes the output at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_FAILED
    return status


def _fail(message: str) -> int:
    print(f"jujuberun: {' '.join(message.split())}", file=sys.stderr)
    return EXIT_FAILED


def _print_json(document: Any) -> None:
    print(json.dumps(document, indent=2, default=str))


# Commands.


def _check_manifest(options: argparse.Namespace) -> int:
    match api.check_manifest(options.file):
        case Err(error):
            return _fail(f"{options.file}: {error}")
        case Ok(manifest):
            print(f"{options.file}: accepted")
            print(api.write_manifest_summary(manifest))
            return 0


def _check_settings(options: argparse.Namespace) -> int:
    match api.check_settings(options.file):
        case Err(error):
            return _fail(str(error))
        case Ok(settings):
            print(f"{options.file}: accepted, {settings.role.value}")
            return 0


def _print_reference(name: str, options: argparse.Namespace) -> int:
    print(api.make_reference(name), end="")
    return 0


def _show_state(options: argparse.Namespace) -> int:
    name = f"{options.address[0]}:{options.address[1]}"
    fetch = partial(api.fetch_state, options.address)
    return _fetch_and_print(fetch, partial(api.write_state, name), options.json)


def _explain(options: argparse.Namespace) -> int:
    fetch = partial(
        api.fetch_explanation, options.address, options.service, options.flow
    )
    return _fetch_and_print(fetch, api.write_explanation, options.json)


def _fetch_and_print(
    fetch: Callable[[], Awaitable[Result[Any, api.JujuberunError]]],
    format_answer: Callable[[Any], str],
    as_json: bool,
) -> int:
    match anyio.run(fetch):
        case Err(error):
            return _fail(str(error))
        case Ok(answer):
            if as_json:
                _print_json(answer)
            else:
                print(format_answer(answer))
            return 0


def _search_logs(options: argparse.Namespace) -> int:
    flow = f"{options.flow[0]}:{options.flow[1]}"
    try:
        lines = api.find_flow(options.files, flow)
    except OSError as error:
        return _fail(f"{error.filename}: {error.strerror}")
    if not lines:
        return _fail(f"no line about {flow} in {len(options.files)} files")
    for line in lines:
        print(line.write())
    return 0


def _call(options: argparse.Namespace) -> int:
    send = partial(
        api.call,
        options.address,
        options.method,
        options.path,
        _read_body(options),
        idempotent=options.idempotent,
        timeout=options.timeout,
        server_name=options.server_name or options.address[0],
        authorities=_read_file(options.authorities),
    )
    result = anyio.run(send)
    line = f"outcome {result.outcome.value}, status {result.status}"
    if result.outcome is not api.Outcome.ANSWERED:
        line += f", {result.reason}, retry after {result.retry_after:g} s"
    print(f"jujuberun: {line}", file=sys.stderr)
    sys.stdout.flush()
    sys.stdout.buffer.write(result.body)
    return 0 if result.outcome is api.Outcome.ANSWERED else EXIT_FAILED


def _read_body(options: argparse.Namespace) -> bytes:
    if options.body is not None:
        return os.fsencode(options.body)
    return _read_file(options.body_file) or b""


def _read_file(path: Path | None) -> bytes | None:
    if path is None:
        return None
    try:
        return path.read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise api.JujuberunError("read file", str(path), reason) from error


def _measure(options: argparse.Namespace) -> int:
    if options.list:
        print("\n".join(api.list_measurements()))
        return 0
    if options.name is None:
        options.parser.error("name of the measurement is missing; see --list")
    if options.plot is not None:
        problem = api.find_plot_problem(options.plot)
        if problem is not None:
            return _fail(problem)
    report = api.run_measurement(
        options.name,
        api.Options(options.seed, options.quick, _print_progress),
    )
    if options.json:
        _print_json(api.make_report_document(report))
    else:
        print(api.write_report(report))
    if options.plot is not None:
        api.save_plot(report, options.plot)
    missed = [row.name for row in report.rows if row.met is False]
    if missed:
        return _fail(f"{report.name}: bound missed by {', '.join(missed)}")
    return 0


def _print_progress(line: str) -> None:
    print(line, file=sys.stderr, flush=True)


# Parsers of the subcommands.


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the whole command line."""
    parser = Parser(
        prog="jujuberun",
        description="Checks, inspects, calls and measures jujuberun.",
        epilog="Exit status: 0 success, 1 failure, 2 invalid arguments.",
        allow_abbrev=False,
    )
    commands = parser.add_subparsers(
        required=True, metavar="COMMAND", parser_class=Parser
    )
    _add_manifest(commands)
    _add_settings(commands)
    about = "list every metric with its unit and advice"
    _add_reference(_add_command(commands, "metrics", about), "metrics")
    _add_logs(commands)
    _add_state(commands)
    _add_explain(commands)
    _add_call(commands)
    _add_measure(commands)
    return parser


def _add_command(
    commands: Any, name: str, about: str, run: Command | None = None
) -> argparse.ArgumentParser:
    description = f"{about[0].upper()}{about[1:]}."
    parser = commands.add_parser(
        name, help=about, description=description, allow_abbrev=False
    )
    parser.set_defaults(run=run, parser=parser)
    return parser


def _add_reference(parser: argparse.ArgumentParser, name: str) -> Any:
    commands = parser.add_subparsers(
        required=True, metavar="COMMAND", parser_class=Parser
    )
    about = f"print the reference of the {name} as Markdown"
    _add_command(commands, "reference", about, partial(_print_reference, name))
    return commands


def _add_check(commands: Any, name: str, run: Command) -> None:
    about = f"check a {name} file and name the first wrong key"
    parser = _add_command(commands, "check", about, run)
    parser.add_argument(
        "file", type=Path, metavar="FILE", help=f"{name} file to check"
    )


def _add_manifest(commands: Any) -> None:
    parser = _add_command(commands, "manifest", "check a manifest or list keys")
    _add_check(_add_reference(parser, "manifest"), "manifest", _check_manifest)


def _add_settings(commands: Any) -> None:
    parser = _add_command(commands, "settings", "check settings or list keys")
    _add_check(_add_reference(parser, "settings"), "settings", _check_settings)


def _add_address(parser: argparse.ArgumentParser, about: str) -> None:
    parser.add_argument(
        "address", type=read_address, metavar="ADDRESS", help=about
    )


def _add_json(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--json", action="store_true", help="print JSON instead of text"
    )


def _add_state(commands: Any) -> None:
    about = (
        "show the state of a daemon: its generation, what it refuses, and "
        "which peers it considers gone"
    )
    parser = _add_command(commands, "state", about, _show_state)
    _add_address(parser, "admin address of the daemon, HOST:PORT")
    _add_json(parser)


def _add_explain(commands: Any) -> None:
    about = "explain where a daemon sends the packets of a flow, and why"
    parser = _add_command(commands, "explain", about, _explain)
    _add_address(parser, "admin address of the daemon, HOST:PORT")
    parser.add_argument(
        "--service", required=True, metavar="ID", help="id of the service"
    )
    parser.add_argument(
        "--flow",
        required=True,
        type=read_address,
        metavar="HOST:PORT",
        help="address of the caller",
    )
    _add_json(parser)


def _add_logs(commands: Any) -> None:
    parser = _add_command(commands, "logs", "search logs or list prefixes")
    actions = _add_reference(parser, "logs")
    about = "print the lines of daemons' logs about a flow"
    flow = _add_command(actions, "flow", about, _search_logs)
    flow.add_argument(
        "flow", type=read_address, metavar="HOST:PORT", help="caller address"
    )
    flow.add_argument(
        "files", type=Path, nargs="+", metavar="FILE", help="JSON log"
    )


def _add_call(commands: Any) -> None:
    about = "send one request to a service and print the body of the answer"
    parser = _add_command(commands, "call", about, _call)
    _add_address(parser, "address of the service, HOST:PORT")
    parser.add_argument(
        "method", type=read_method, metavar="METHOD", help="such as GET"
    )
    parser.add_argument(
        "path", type=read_path, metavar="PATH", help="such as /meals/7"
    )
    body = parser.add_mutually_exclusive_group()
    body.add_argument("--body", metavar="TEXT", help="body of the request")
    body.add_argument(
        "--body-file", type=Path, metavar="FILE", help="file with the body"
    )
    parser.add_argument(
        "--idempotent",
        action="store_true",
        help="the request may be run twice without harm",
    )
    parser.add_argument(
        "--timeout",
        type=read_timeout,
        default=DEFAULT_TIMEOUT_S,
        metavar="SECONDS",
        help="give up after this time (default: %(default)g)",
    )
    parser.add_argument(
        "--authorities",
        type=Path,
        metavar="FILE",
        help="PEM file of accepted authorities (default: those of the system)",
    )
    parser.add_argument(
        "--server-name",
        metavar="NAME",
        help="name in the certificate (default: the host of ADDRESS)",
    )


def _add_measure(commands: Any) -> None:
    about = "compare jujuberun with a naive version and check bounds"
    parser = _add_command(commands, "measure", about, _measure)
    parser.add_argument(
        "name",
        nargs="?",
        choices=api.list_measurements(),
        metavar="NAME",
        help="name of the measurement, see --list",
    )
    parser.add_argument(
        "--list", action="store_true", help="list the measurements"
    )
    parser.add_argument(
        "--seed",
        type=read_seed,
        default=1,
        metavar="N",
        help="seed of all random choices (default: %(default)s)",
    )
    parser.add_argument(
        "--quick", action="store_true", help="a short run with fewer points"
    )
    _add_json(parser)
    parser.add_argument(
        "--plot",
        type=Path,
        metavar="FILE",
        help="also save a plot (.png, .svg or .pdf; needs matplotlib)",
    )


if __name__ == "__main__":
    sys.exit(main())
