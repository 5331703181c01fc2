"""The network side of a gateway: sockets and timers that carry out the decisions of one Balancer."""
