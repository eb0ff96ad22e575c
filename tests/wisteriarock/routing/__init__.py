"""Tests of `wisteriarock.routing`."""
