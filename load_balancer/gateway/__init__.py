"""The network side of a gateway: sockets and timers that execute the decisions of one Balancer."""
