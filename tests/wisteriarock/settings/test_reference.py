"""Tests of the reference page of the settings."""

from pathlib import Path

from wisteriarock.settings.reference import render_settings_page

from tests.common import function_suite

PAGE = Path(__file__).parents[3] / "docs" / "operations" / "settings.md"


def test_committed_page_is_up_to_date() -> None:
    """Guards against a reference page that was not regenerated after a change of the settings."""
    assert PAGE.read_text(encoding="utf-8") == render_settings_page()


load_tests = function_suite(globals())
