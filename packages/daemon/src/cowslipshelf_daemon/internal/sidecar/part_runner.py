"""Prefill a part of a prompt and keep its KV cache for another engine."""

from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.messages import PartPrefilled
from cowslipshelf_core.sidecar import FirstTokenArrived
from cowslipshelf_daemon.internal.sidecar.attempt_runner import HTTP_OK, AttemptRunner
from cowslipshelf_daemon.internal.sidecar.kv_transfer import export_part
from cowslipshelf_upstreams import UpstreamLostError, UpstreamRefusedError


class PartRunner(AttemptRunner):
    """Keep one prefilled part at the engine until it is cancelled.

    The decoding engine reads the part until the end of the answer. Then the owner
    cancels it; if the owner is gone, its lease or the deadline ends it.
    """

    def run_with_resumes(self) -> Refusal:
        """Prefill the part, write its reference, and wait to be cancelled."""
        try:
            self.prefill()
            part = export_part(self.context.client, self.hand_over)
        except (UpstreamLostError, UpstreamRefusedError) as error:
            if self.cancelled.is_set():
                return self.cancelled_refusal()
            return self.failure_refusal(str(error))
        self.context.sidecar.tell(FirstTokenArrived(self.attempt_id))
        self.buffer.append(PartPrefilled(part))
        self.cancelled.wait()
        return self.cancelled_refusal()

    def prefill(self) -> None:
        """Read the part's stream, which carries no token, to its end."""
        stream = self.open_stream()
        if stream.status != HTTP_OK:
            answer = b"".join(piece.data for piece in stream)
            raise UpstreamRefusedError(
                "start", self.context.peer, stream.status, answer.decode()
            )
        for _ in stream:
            if self.cancelled.is_set():
                return
