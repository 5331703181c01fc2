"""Discrete-event model of a fleet in virtual time, with real Balancer instances; see README."""
