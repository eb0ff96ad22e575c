"""Tests of `wisteriarock.admission`."""
