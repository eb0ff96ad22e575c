"""Composition root, life cycle and readiness of an instance that forwards requests to endpoints."""
