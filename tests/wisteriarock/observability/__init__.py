"""Tests of `wisteriarock.observability`."""
