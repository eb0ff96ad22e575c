"""Tests of `wisteriarock.membership`."""
