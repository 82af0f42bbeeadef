"""Run stand-ins as a process: `python -m cowslipshelf_standins KIND --address IP:PORT`.

One JSON line on the standard output tells the addresses once all are listening.
"""

from argparse import ArgumentParser, Namespace
from collections.abc import Sequence
from os import getpid
from signal import SIGINT, SIGTERM, signal
from sys import stdout
from threading import Event

import msgspec

from cowslipshelf_standins.engine import EngineConfig, EngineServer
from cowslipshelf_standins.internal.http_serving import StandInServer
from cowslipshelf_standins.plain import PlainConfig, PlainServer
from cowslipshelf_standins.weight_store import WeightStoreConfig, WeightStoreServer

SERVERS = {
    "engine": (EngineServer, EngineConfig),
    "plain": (PlainServer, PlainConfig),
    "weightstore": (WeightStoreServer, WeightStoreConfig),
}
TRUE_WORDS = {"true", "yes", "1"}


class Ready(msgspec.Struct, frozen=True):
    """Report the addresses at which this process's stand-ins listen."""

    kind: str
    address: str
    addresses: tuple[str, ...]
    pid: int


def build_parser() -> ArgumentParser:
    """Return a parser with one option for each field of a stand-in's configuration."""
    parser = ArgumentParser(prog="cowslipshelf_standins", description=__doc__)
    kinds = parser.add_subparsers(dest="kind", required=True)
    for kind, (_, config_type) in SERVERS.items():
        options = kinds.add_parser(kind)
        options.add_argument("--address", action="append", help="IP:port; repeatable")
        options.add_argument("--count", type=int, default=1, help="stand-ins to run")
        for name, default in config_type._field_defaults.items():
            add_option(options, name, default)
    return parser


def add_option(options: ArgumentParser, name: str, default: object) -> None:
    """Add the option that sets one field."""
    flag = "--" + name.replace("_", "-")
    match default:
        case bool():
            options.add_argument(flag, type=parse_bool, default=default)
        case tuple():
            options.add_argument(flag, nargs="*", default=default)
        case _:
            options.add_argument(flag, type=type(default), default=default)


def parse_bool(text: str) -> bool:
    """Return whether a flag's value means true."""
    return text.lower() in TRUE_WORDS


def start_servers(arguments: Namespace) -> list[StandInServer]:
    """Start the stand-ins that the arguments describe."""
    server_type, config_type = SERVERS[arguments.kind]
    values = {name: getattr(arguments, name) for name in config_type._fields}
    values = {n: tuple(v) if isinstance(v, list) else v for n, v in values.items()}
    config = config_type(**values)
    addresses = arguments.address or ["127.0.0.1:0"] * arguments.count
    return [server_type.from_config(config, a).start() for a in addresses]


def main(arguments: Sequence[str] | None = None) -> None:
    """Run stand-ins until SIGINT or SIGTERM."""
    parsed = build_parser().parse_args(arguments)
    ended = Event()
    for number in (SIGINT, SIGTERM):
        signal(number, lambda *_: ended.set())
    servers = start_servers(parsed)
    addresses = tuple(server.address for server in servers)
    ready = Ready(parsed.kind, addresses[0], addresses, getpid())
    stdout.write(msgspec.json.encode(ready).decode() + "\n")
    stdout.flush()
    ended.wait()
    for server in servers:
        server.stop()


if __name__ == "__main__":
    main()
