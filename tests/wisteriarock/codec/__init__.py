"""Tests of `wisteriarock.codec`."""
