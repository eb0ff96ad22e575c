"""Tests of `wisteriarock.settings`."""
