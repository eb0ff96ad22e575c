"""Tests of `wisteriarock.query`."""
