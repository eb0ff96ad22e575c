"""Division of fan-outs among the instances of a zone that keep connections to the endpoints."""
