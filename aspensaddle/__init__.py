"""aspensaddle: a load balancer for long-lived connections."""

from aspensaddle.core.balancer import Balancer

__all__ = ["Balancer"]
__version__ = "0.1.0"
