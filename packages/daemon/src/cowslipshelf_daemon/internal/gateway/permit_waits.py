"""Let requests wait for permits if the limits of all upstreams leave no room."""

import asyncio
from collections.abc import Collection
from contextlib import suppress

from cowslipshelf_core.gateway import LimitChoice
from cowslipshelf_core.identifiers import ServiceName, UpstreamId
from cowslipshelf_daemon.internal.gateway.admission import MAX_WAIT_SHARE
from cowslipshelf_daemon.internal.gateway.boot_time import boot_seconds
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.request_progress import RequestProgress

MAX_WAIT_SECONDS = 1.5
"""Longest wait of a request for permits, over all of its attempts."""
MIN_SLEEP_SECONDS = 0.005


async def wait_for_permit(
    view: FleetView,
    service: ServiceName,
    upstream_ids: Collection[UpstreamId],
    left: float,
    progress: RequestProgress,
) -> LimitChoice:
    """Wait until one of some limited upstreams has room; return which have none.

    It returns at once if none will have room while the request may wait, behind those
    that wait already.
    """
    if progress.permit_wait_until is None:
        seconds = min(MAX_WAIT_SECONDS, left * MAX_WAIT_SHARE)
        progress.permit_wait_until = boot_seconds() + seconds
    until = progress.permit_wait_until
    waiters = view.permit_waiters.setdefault(service, [])
    own = object()
    waiters.append(own)
    try:
        while True:
            choice = view.limit_choice(service, upstream_ids)
            now = boot_seconds()
            if len(choice.blocked) < len(upstream_ids):
                return choice
            choice = view.limits.behind_others(choice, waiters.index(own), now)
            if now + choice.retry_after_seconds >= until:
                return choice
            wake_at = min(until, view.limits.next_change_at(choice.blocked))
            with suppress(TimeoutError):
                seconds = max(MIN_SLEEP_SECONDS, wake_at - now)
                await asyncio.wait_for(view.changed.wait(), seconds)
    finally:
        waiters.remove(own)
        if not waiters:
            del view.permit_waiters[service]
