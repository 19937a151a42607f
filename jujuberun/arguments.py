"""Parser and checks of command-line arguments, with one-line errors."""

import argparse
from typing import NoReturn

from jujuberun import values
from jujuberun.ids import Address

EXIT_USAGE = 2
MAX_SEED = 2**32 - 1  # largest seed that numpy accepts
MAX_TIMEOUT_S = 86_400.0


class Parser(argparse.ArgumentParser):
    """Argument parser with one-line error messages."""

    def error(self, message: str) -> NoReturn:
        """Prints the error as one line and exits with EXIT_USAGE."""
        line = " ".join(message.split())
        self.exit(EXIT_USAGE, f"{self.prog}: {line}; see {self.prog} --help\n")


def read_address(text: str) -> Address:
    """Reads an address HOST:PORT."""
    try:
        return values.read_address(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"{text!r}: use {error}") from None


def read_seed(text: str) -> int:
    """Reads a seed for random number generators."""
    if not (text.isascii() and text.isdigit() and len(text) <= 10):
        raise argparse.ArgumentTypeError(f"{text!r}: use 0 to {MAX_SEED}")
    if int(text) > MAX_SEED:
        raise argparse.ArgumentTypeError(f"{text!r}: use 0 to {MAX_SEED}")
    return int(text)


def read_timeout(text: str) -> float:
    """Reads a timeout in seconds."""
    remedy = f"{text!r}: use seconds above 0, at most {MAX_TIMEOUT_S:g}"
    try:
        seconds = float(text)
    except ValueError:
        raise argparse.ArgumentTypeError(remedy) from None
    if not 0 < seconds <= MAX_TIMEOUT_S:
        raise argparse.ArgumentTypeError(remedy)
    return seconds


def read_method(text: str) -> str:
    """Reads an HTTP method."""
    if not (text.isascii() and text.isalpha() and text.isupper()):
        raise argparse.ArgumentTypeError(f"{text!r}: use a method such as GET")
    return text


def read_path(text: str) -> str:
    """Reads the path of a request, with an optional query."""
    plain = text.isascii() and text.isprintable() and " " not in text
    if not plain or not text.startswith("/"):
        raise argparse.ArgumentTypeError(f"{text!r}: use a path such as /a?b=c")
    return text
