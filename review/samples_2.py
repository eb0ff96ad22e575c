"""Configuration of the small deployment that the cases share."""

HOST = "shop.example"


def plain_route(name: str, prefix: str, service: str, **changes: object) -> dict:
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "idempotent",
        "timeout_ms": 4000,
        "latency_target_ms": 600,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        **changes,
    }


def configuration(version: int, routes: list[dict], **changes: object) -> dict:
    names = {route["service"] for route in routes if "service" in route}
    names |= {name for route in routes for name in route.get("gather", ())}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 110} for name in sorted(names)
        ],
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        **changes,
    }
