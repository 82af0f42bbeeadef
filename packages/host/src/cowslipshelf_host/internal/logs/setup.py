"""Configure structured logs."""

import logging
from typing import Any, TextIO, TypeVar

import structlog
from structlog.typing import EventDict, Processor, WrappedLogger

from cowslipshelf_host.internal.logs.line_writers import LineWriter, QueuedLineWriter
from cowslipshelf_host.internal.logs.secrets import mask_secrets
from cowslipshelf_host.settings import LogSettings

Writer = TypeVar("Writer", bound=LineWriter)

PART = "part"
EVENT = "event"


def configure_logs(settings: LogSettings, stream: TextIO | None = None) -> LineWriter:
    """Configure all part loggers; they write to standard error by default."""
    return configure_writer(settings, LineWriter(stream))


def configure_queued_logs(settings: LogSettings, stream: TextIO) -> QueuedLineWriter:
    """Configure all part loggers to write on a background thread; stop it at exit."""
    return configure_writer(settings, QueuedLineWriter(stream))


def configure_writer(settings: LogSettings, writer: Writer) -> Writer:
    """Configure all part loggers to write through a writer."""
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            mask_secrets,
            prefix_event,
            *renderers(settings),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=lambda *_arguments: writer,
        cache_logger_on_first_use=False,
    )
    return writer


def part_logger(prefix: str) -> Any:
    """Return the logger of one part of the program; it prefixes each event."""
    return structlog.get_logger(**{PART: prefix})


def prefix_event(_logger: WrappedLogger, _method: str, event: EventDict) -> EventDict:
    """Put the part's prefix before the event text."""
    part = event.get(PART)
    if part is None:
        return event
    return event | {EVENT: f"{part}: {event.get(EVENT, '')}"}


def renderers(settings: LogSettings) -> list[Processor]:
    """Return the processors that format a log entry as one line."""
    match settings.format:
        case "json":
            return [structlog.processors.JSONRenderer()]
        case "console":
            return [drop_part, escape_event, console_line]


def drop_part(_logger: WrappedLogger, _method: str, event: EventDict) -> EventDict:
    """Drop the part field, which the event text already begins with."""
    return {name: value for name, value in event.items() if name != PART}


def escape_event(_logger: WrappedLogger, _method: str, event: EventDict) -> EventDict:
    """Escape line breaks; otherwise text from peers could forge a log line."""
    return event | {EVENT: repr(event[EVENT])[1:-1]}


def console_line(_logger: WrappedLogger, _method: str, event: EventDict) -> str:
    """Format the time, the level, the event text and the other fields."""
    fields = dict(event)
    head = [fields.pop("timestamp"), fields.pop("level"), fields.pop(EVENT)]
    return " ".join(head + [f"{name}={value!r}" for name, value in fields.items()])
