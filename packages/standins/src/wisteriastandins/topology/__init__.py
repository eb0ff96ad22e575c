"""Descriptions of test deployments and the files that a run needs."""
