"""Tests of `wisteriarock.blackboard`."""
