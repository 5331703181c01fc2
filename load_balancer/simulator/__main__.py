"""Run balancers over the simulator's text protocol, from standard input to standard output."""

from load_balancer.simulator.adapter import main

if __name__ == "__main__":
    raise SystemExit(main())
