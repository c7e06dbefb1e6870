"""cloverthread decides where long-lived connections go."""

from cloverthread.balance import Balancer

__all__ = ["Balancer"]
__version__ = "0.1.0"
