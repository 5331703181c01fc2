"""Runs on loopback: stand-ins, clients, real and simulated gateways. load_balancer never imports it."""
