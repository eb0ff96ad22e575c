"""Tests of `wisteriarock.lifecycle`."""
