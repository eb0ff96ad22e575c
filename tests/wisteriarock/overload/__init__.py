"""Tests of `wisteriarock.overload`."""
