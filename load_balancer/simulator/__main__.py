"""Run balancers on the simulator's wire, from standard input to standard output."""

from load_balancer.simulator.adapter import main

if __name__ == "__main__":
    raise SystemExit(main())
