"""Check that nothing which waits for a disk holds up the end of a gateway."""

import threading

from pykka import ThreadingActor

from cowslipshelf_daemon.internal.gateway.replica_keeper import ReplicaKeeper


class StalledReplica(ThreadingActor):
    """Wait for a disk that does not answer."""

    begun = threading.Event()
    disk_answers = threading.Event()

    def on_receive(self, _message: object) -> None:
        self.begun.set()
        self.disk_answers.wait(20)


def test_a_replica_whose_disk_stalls_does_not_hold_up_the_end():
    """A planned restart beside a disk that stalls: the process is killed, not ended.

    The gateway had answered everything and asked its replica to end. The replica
    waited for a sync, the gateway for the replica, and the grace ran out.
    """
    keeper = ReplicaKeeper(None, None, None, None, None)
    keeper.actor = StalledReplica.start()
    keeper.actor.tell("sync")
    assert StalledReplica.begun.wait(20)
    stopping = threading.Thread(target=keeper.stop, daemon=True)
    stopping.start()
    stopping.join(10)
    ended = not stopping.is_alive()
    StalledReplica.disk_answers.set()
    assert ended
