"""Listing of the endpoints that may get new requests, by service."""

from wisteriarock.balancing.models import Endpoint

from .models import Directory


def list_endpoint(directory: Directory, endpoint: Endpoint) -> None:
    """List an endpoint under its service, unless it drains or is evacuated."""
    endpoints = directory.by_service.setdefault(endpoint.service, [])
    if endpoint not in endpoints and not endpoint.is_draining and not endpoint.is_evacuated:
        endpoints.append(endpoint)
    directory.version += 1


def unlist_endpoint(directory: Directory, endpoint: Endpoint) -> None:
    """Remove an endpoint from the list of its service."""
    endpoints = directory.by_service.get(endpoint.service, [])
    if endpoint in endpoints:
        endpoints.remove(endpoint)
    directory.version += 1
