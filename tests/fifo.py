"""Minimal admission control for tests: one FIFO queue."""

from collections import deque

from jujuberun.request import Admit, Queued, Reason, Refusal


class BoundedFifoAdmission:
    """Starts requests while slots are free, then queues up to a limit."""

    def __init__(self, slots, queue_limit=8):
        self.slots = slots
        self.queue_limit = queue_limit
        self.busy = 0
        self.queue = deque()

    def admit(self, request, now):
        if request.deadline <= now:
            return Refusal(Reason.EXPIRED, 0.0)
        if self.busy < self.slots:
            self.busy += 1
            return Admit()
        if len(self.queue) >= self.queue_limit:
            return Refusal(Reason.OVERLOADED, 0.25)
        self.queue.append(request)
        return Queued(0.0)

    def cancel(self, request, now):
        if request not in self.queue:
            return False
        self.queue.remove(request)
        return True

    def take_refused(self, now):
        expired = [r for r in self.queue if r.deadline <= now]
        for request in expired:
            self.queue.remove(request)
        return [(r, Refusal(Reason.EXPIRED, 0.0)) for r in expired]

    def finish(self, request, now, outcome, shed=False):
        self.busy -= 1
        assert self.busy >= 0, "a slot was freed twice"

    def take_next(self, now):
        if not self.queue or self.busy >= self.slots:
            return None
        self.busy += 1
        return self.queue.popleft()
