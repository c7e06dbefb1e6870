"""One balancer process: configuration, wiring of its parts, reload and graceful shutdown."""
