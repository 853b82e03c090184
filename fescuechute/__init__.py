"""Distributes model weights to fleets in bursts and routes live requests to them."""

__version__ = "0.1.0"
