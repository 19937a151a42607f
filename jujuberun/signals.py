"""Signals that arrive while a process starts."""

import signal

HANDLED = frozenset({signal.SIGHUP, signal.SIGINT, signal.SIGTERM})


def hold_signals() -> None:
    """Keeps signals pending until release_signals.

    Without a handler they end the process, and loading the libraries takes
    tenths of a second.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def release_signals() -> None:
    """Delivers pending signals; to be called once they are handled."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
