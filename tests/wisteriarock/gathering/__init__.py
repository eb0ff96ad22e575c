"""Tests of `wisteriarock.gathering`."""
