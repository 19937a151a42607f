import re
from importlib import resources

from testtools import TestCase

from jujuberun.events import EVENTS, find_event

# Modules that count for a part of another name.
HELPERS = {"ownership": "agent"}
COUNTED = re.compile(r'self\.counts\[f?"([^"{]+)(\{?)')


class EventsTest(TestCase):
    def test_every_counted_event_has_a_line(self):
        # Guards against an event that operators find on no page. The module
        # of a part has its name, or stands in HELPERS.
        parts = {event.part for event in EVENTS}
        for file in sorted(resources.files("jujuberun").iterdir(), key=str):
            part = file.name.removesuffix(".py")
            part = HELPERS.get(part, part)
            if part not in parts:
                continue
            text = file.read_text(encoding="utf-8")
            for name, variable in COUNTED.findall(text):
                event = find_event(part, name + ("x" if variable else ""))
                self.assertIsNotNone(event, f"{part}: add {name!r} to EVENTS")

    def test_names_are_unique(self):
        # Guards against two meanings of one event.
        names = [(event.part, event.name) for event in EVENTS]
        self.assertEqual(len(names), len(set(names)))

    def test_open_endings(self):
        # Guards against an event that matches a part of its name only.
        self.assertEqual("reset_*", find_event("agent", "reset_no-owner").name)
        self.assertIsNone(find_event("agent", "looped"))
