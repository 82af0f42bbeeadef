"""Prefill a part of a prompt and hold its KV cache for another engine."""

from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.messages import PartPrefilled
from cowslipshelf_core.sidecar import FirstTokenArrived
from cowslipshelf_daemon.internal.sidecar.attempt_runner import HTTP_OK, AttemptRunner
from cowslipshelf_daemon.internal.sidecar.kv_transfer import export_part
from cowslipshelf_upstreams import UpstreamLostError, UpstreamRefusedError


class PartRunner(AttemptRunner):
    """Own one part at the engine until it is cancelled.

    A part is not finished when it is prefilled: the engine that generates reads it to
    the end of the answer. Its owner cancels it then; where the owner is gone, its
    lease or the deadline does.
    """

    def run_with_resumes(self) -> Refusal:
        """Prefill the part, say where it is, and hold it."""
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
        """Wait for the end of the part's stream, which carries no token."""
        stream = self.open_stream()
        if stream.status != HTTP_OK:
            answer = b"".join(piece.data for piece in stream)
            raise UpstreamRefusedError(
                "start", self.context.peer, stream.status, answer.decode()
            )
        for _ in stream:
            if self.cancelled.is_set():
                return
