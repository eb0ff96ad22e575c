"""Tests of the settings page."""

from pathlib import Path

from wisteriarock.settings.reference import settings_page

from tests.common import function_suite

PAGE = Path(__file__).parents[3] / "docs" / "operations" / "settings.md"


def test_the_committed_page_is_what_the_code_builds() -> None:
    """Guards against a reference that is left behind when a setting changes."""
    assert PAGE.read_text(encoding="utf-8") == settings_page()


load_tests = function_suite(globals())
