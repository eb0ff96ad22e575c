"""Entry point of `python -m wisteriastandins`."""

from .cli import create_app

if __name__ == "__main__":
    create_app()()
