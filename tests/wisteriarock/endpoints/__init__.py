"""Tests of `wisteriarock.endpoints`."""
