"""Marks the tests of KNOWN-RED.txt as expected failures and prints them.

Each line is: test node id | command | seed | what was seen | issue. A listed
test that passes fails the run, so that the list stays true.
"""

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
FIELDS = ("test", "command", "seed", "what was seen", "issue")
_entries = pytest.StashKey[dict[str, "Entry"]]()


@dataclass(frozen=True, slots=True)
class Entry:
    test: str
    command: str
    seed: str
    seen: str
    issue: str


def read_known_red(path: Path) -> dict[str, Entry]:
    """Returns the entries by test; a wrong line ends the run."""
    if not path.is_file():
        return {}
    entries = {}
    lines = path.read_text(encoding="utf-8").splitlines()
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        fields = [part.strip() for part in line.split(" | ")]
        if len(fields) != len(FIELDS) or not all(fields):
            wanted = " | ".join(FIELDS)
            raise pytest.UsageError(f"{path}:{number}: write {wanted}")
        entry = Entry(*fields)
        if entry.test in entries:
            raise pytest.UsageError(f"{path}:{number}: {entry.test} is double")
        entries[entry.test] = entry
    return entries


def pytest_configure(config):
    config.stash[_entries] = read_known_red(config.rootpath / FILE)


def pytest_collection_modifyitems(config, items):
    entries = config.stash[_entries]
    found = set()
    for item in items:
        entry = entries.get(item.nodeid)
        if entry is None:
            continue
        found.add(entry.test)
        reason = f"{FILE}: {entry.seen} ({entry.issue})"
        item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
    # A renamed test would otherwise stay on the list for ever.
    files = {item.nodeid.partition("::")[0] for item in items}
    for test in set(entries) - found:
        root = config.rootpath
        file = test.partition("::")[0]
        whole_file = file in files and not config.option.keyword
        narrowed = any("::" in argument for argument in config.args)
        if (whole_file and not narrowed) or not (root / file).is_file():
            raise pytest.UsageError(f"{FILE}: there is no test {test}")


def pytest_terminal_summary(terminalreporter, config):
    entries = config.stash[_entries]
    if not entries:
        return
    terminalreporter.section(f"known failures, {FILE}")
    for entry in entries.values():
        terminalreporter.line(
            f"{entry.test}: {entry.seen} (seed {entry.seed}, "
            f"issue {entry.issue}; {entry.command})"
        )
