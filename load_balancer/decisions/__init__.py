"""The load balancer's decisions, free of I/O: an event goes in, the actions to carry out are returned.

Nothing in this package opens a socket, reads a clock or starts a task. Read the module `balancer` first.
"""
