"""The decisions of the load balancer: events in, actions out.

Nothing in this package opens a socket, reads a clock or starts a task. Read the module `balancer` first.
"""
