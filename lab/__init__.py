"""A scale run on loopback: stand-ins, clients, real and hollow gateways. load_balancer never imports it."""
