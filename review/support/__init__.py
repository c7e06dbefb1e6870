"""What the cases share: the balancer as a process, the record of a run, and stand-ins."""
