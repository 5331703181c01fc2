"""Load tests of the load balancer on loopback, and a model of the fleet; load_balancer never imports it."""
