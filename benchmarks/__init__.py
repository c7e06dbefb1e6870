"""Programs that measure and compare versions of the balancer."""
