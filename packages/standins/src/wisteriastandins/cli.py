"""Command line of the stand-ins."""

import cyclopts

from .commands import register

app = cyclopts.App(name="wisteriastandins", help="Stand-ins, load tool and measurements.")
register(app)
