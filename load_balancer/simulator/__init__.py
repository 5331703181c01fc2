"""Adapter that runs balancers over the simulator's text protocol: `python -m load_balancer.simulator`."""
