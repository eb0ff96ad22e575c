"""The command line: stand-ins are imported when they run, which keeps their start short."""

from cyclopts import App

from .commands import register


def create_app() -> App:
    """Return the command line with its subcommands."""
    app = App(name="wisteriastandins", help="Stand-ins, load tool and demo; not shipped.")
    app.command("wisteriastandins.endpoint.command:endpoints", help="Run the endpoints of a zone.")
    app.command("wisteriastandins.platform.command:platform", help="Run the stand-in platform.")
    app.command("wisteriastandins.relay.command:relay", help="Run the link relay.")
    app.command("wisteriastandins.soak.command:soak", help="Play random faults and check.")
    register(app)
    return app
