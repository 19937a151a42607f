import re
from importlib import resources

from testtools import TestCase

from jujuberun.events import EVENTS, find_event

# Maps modules to the part whose events they count, where the names differ.
PART_OF_MODULE = {"ownership": "agent"}
COUNTED = re.compile(r'self\.counts\[f?"([^"{]+)(\{?)')


class EventsTest(TestCase):
    def test_every_counted_event_is_in_the_table(self):
        # Guards against a counted event that is missing from EVENTS, from which
        # docs/operators.md is made. A module has the name of its part or is
        # listed in PART_OF_MODULE.
        parts = {event.part for event in EVENTS}
        for file in sorted(resources.files("jujuberun").iterdir(), key=str):
            part = file.name.removesuffix(".py")
            part = PART_OF_MODULE.get(part, part)
            if part not in parts:
                continue
            text = file.read_text(encoding="utf-8")
            for name, variable in COUNTED.findall(text):
                event = find_event(part, name + ("x" if variable else ""))
                self.assertIsNotNone(event, f"{part}: add {name!r} to EVENTS")

    def test_names_are_unique(self):
        # Guards against two table entries for one event.
        names = [(event.part, event.name) for event in EVENTS]
        self.assertEqual(len(names), len(set(names)))

    def test_only_wildcards_match_a_suffix(self):
        # Guards against a wildcard entry that does not match, and against an
        # entry without "*", here "loop", that matches a longer name.
        self.assertEqual("reset_*", find_event("agent", "reset_no-owner").name)
        self.assertIsNone(find_event("agent", "looped"))
