"""The command line of the stand-ins."""

from cyclopts import App

from .commands import register


def create_app() -> App:
    """Return the command line with its subcommands."""
    app = App(name="wisteriastandins", help="Stand-ins, load tool and demo; not shipped.")
    register(app)
    return app
