"""Tests of `wisteriarock.bundle`."""
