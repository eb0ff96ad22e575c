"""Write the files that are generated from the code: the OpenAPI document and the settings page."""

import json
import sys
from pathlib import Path

from wisteriarock.api.openapi import build_openapi
from wisteriarock.settings.reference import render_settings_page


def main() -> None:
    """Write the files to the folder given on the command line."""
    folder = Path(sys.argv[1])
    text = json.dumps(build_openapi(), indent=1) + "\n"
    (folder / "openapi.json").write_text(text, encoding="utf-8")
    operations = folder / "operations"
    operations.mkdir(exist_ok=True)
    (operations / "settings.md").write_text(render_settings_page(), encoding="utf-8")


if __name__ == "__main__":
    main()
