"""Blocks signals while a process starts or stops."""

import signal

HANDLED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGINT, signal.SIGTERM})


def block_signals() -> None:
    """Blocks signals; they stay pending until unblock_signals is called.

    A signal without a handler would end the process, and no handler is
    installed while the libraries load, which takes tenths of a second.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals() -> None:
    """Unblocks signals; call it after the handlers are installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
