"""The fleet as a discrete-event model in virtual time, of real Balancer instances; see README."""
