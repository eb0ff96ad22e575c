"""Tests of `wisteriarock.peers`."""
