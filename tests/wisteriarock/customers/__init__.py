"""Tests of `wisteriarock.customers`."""
