"""Measure how the costs of an entry instance grow with the size of a deployment."""
