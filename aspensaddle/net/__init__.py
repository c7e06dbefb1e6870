"""The real balancer: the driver's decisions on sockets. Modules go by peer."""
