"""Check requests whose service is removed while they are at work."""

from common.gateway_requests import GatewayWithFakeRunner
from common.gateway_samples import configuration
from cowslipshelf_core.messages import RoutesDocument
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import NotReached


def test_a_request_whose_service_is_removed_is_refused_before_its_next_attempt():
    """The next attempt of a request looks its service up in vain: no answer at all."""
    gateway = GatewayWithFakeRunner(NotReached("refused"))
    run = gateway.runner.run

    async def remove_and_run(task, placement):
        removed = configuration(services=(), version=2)
        gateway.view.apply_configuration(RoutesDocument(2, "", b""), removed)
        return await run(task, placement)

    gateway.runner.run = remove_and_run
    answer = gateway.ask()
    assert answer.status == 503
    assert gateway.runner.sent == 1
