"""Quarantine of requests that end the endpoints which run them ("queries of death")."""
