"""Tests of `wisteriarock.api`."""
