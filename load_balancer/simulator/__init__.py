"""The decisions on the simulator's wire: `python -m load_balancer.simulator`."""
