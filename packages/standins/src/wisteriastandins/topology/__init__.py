"""Descriptions of deployments and the files that a run of one needs."""
