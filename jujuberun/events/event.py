"""Type of the table entries, and advice that several of them share."""

from dataclasses import dataclass

NO_ACTION = "No action; a baseline for comparison."
REPORT_FAULT = "Report a fault with the state dump and the log."


@dataclass(frozen=True, slots=True)
class Event:
    """One kind of event.

    Attributes:
        part: name of the part that counts the event.
        name: key in the part's counts; a final "*" matches any suffix.
        about: description of the event.
        action: what an operator does when the count rises.
    """

    part: str
    name: str
    about: str
    action: str
