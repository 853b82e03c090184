"""Placeholder docstring, replaced with the package."""
