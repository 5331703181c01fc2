"""A scale run on loopback: stand-ins, clients, real and hollow gateways. rosedeal never imports it."""
