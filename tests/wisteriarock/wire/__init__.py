"""Tests of `wisteriarock.wire`."""
