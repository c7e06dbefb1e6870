"""aspensaddle decides where long-lived connections go."""

from aspensaddle.core.balancer import Balancer

__all__ = ["Balancer"]
__version__ = "0.1.0"
