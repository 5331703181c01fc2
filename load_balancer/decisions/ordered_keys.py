"""Queues for requests that must run one at a time for each key, in order of arrival.

The next request of a key is sent only when no attempt for an earlier one is in flight. If an earlier attempt
may still be running at its endpoint, there is a delay as well.
"""

from __future__ import annotations

from load_balancer.decisions.request import KeyQueue, Request


class OrderedKeys:
    """The queues of all keys that have requests or a delay that is not over.

    Attributes:
        queues: The queues by key.
        released: Queues from which a request was removed, whose next request has not been sent yet.
    """

    __slots__ = ("queues", "released")

    def __init__(self) -> None:
        self.queues: dict[int, KeyQueue] = {}
        self.released: list[KeyQueue] = []

    def enqueue(self, request: Request, now_us: int) -> int | None:
        """Add a request to the queue of its key.

        Returns:
            None if it may be sent now or needs no queue, else the earliest time at which it may be sent.
        """
        if request.key is None or not request.request_class.definition.ordered:
            return None
        queue = request.key_queue = self.queues.setdefault(request.key, KeyQueue(request.key))
        queue.requests.append(request)
        if queue.requests[0] is request and now_us >= queue.delayed_until_us:
            return None
        min_latency_us = int(request.unloaded_us)
        return max(now_us + (len(queue.requests) - 1) * min_latency_us, queue.delayed_until_us)

    def delay(self, queue: KeyQueue, until_us: int) -> None:
        """Delay the requests of a queue until a time."""
        queue.delayed_until_us = until_us

    def remove(self, request: Request) -> None:
        """Remove a request from its queue, if any, and mark the queue as released."""
        if request.key_queue is not None:
            request.key_queue.requests.remove(request)
            self.released.append(request.key_queue)

    def next_ready(self, queue: KeyQueue, now_us: int) -> Request | None:
        """Return the request of a queue that may be sent now, if any."""
        if now_us < queue.delayed_until_us or not queue.requests or queue.requests[0].attempts:
            return None
        return queue.requests[0]

    def drop_if_idle(self, queue: KeyQueue, now_us: int) -> None:
        """Drop a queue if it has no requests and its delay is over."""
        idle = not queue.requests and now_us >= queue.delayed_until_us
        if idle and self.queues.get(queue.key) is queue:
            del self.queues[queue.key]
