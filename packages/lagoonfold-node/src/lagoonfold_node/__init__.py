"""The lagoonfold daemon: controllers that share state through a blackboard, in one trio loop."""

import sys

import fire


def serve(settings: str) -> None:
    """Run an instance with a settings file until SIGTERM or SIGINT."""
    from lagoonfold_node._app import run_daemon

    sys.exit(run_daemon(settings))


def main() -> None:
    """Run the command `lagoonfoldd --settings FILE`."""
    fire.Fire(serve)


__all__ = ["main", "serve"]
