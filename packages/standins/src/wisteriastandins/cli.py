"""Command line of the stand-ins; each is imported only when it runs, for a short start-up."""

from cyclopts import App

from .commands import register


def create_app() -> App:
    """Return the command line with its subcommands."""
    app = App(name="wisteriastandins", help="Stand-ins, load tool and demo; not shipped.")
    app.command("wisteriastandins.endpoint.command:endpoints", help="Run the endpoints of a zone.")
    app.command("wisteriastandins.platform.command:platform", help="Run the stand-in platform.")
    app.command("wisteriastandins.relay.command:relay", help="Run the link relay.")
    app.command(
        "wisteriastandins.soak.command:soak", help="Inject random faults and check the answers."
    )
    register(app)
    return app
