"""Tests of `wisteriarock.tickets`."""
