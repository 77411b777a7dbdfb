"""Tests of session settings and of floors."""

import hypothesis
import testtools
from hypothesis import strategies

from pomelograde.core import sessions

CHANGES = strategies.lists(
    strategies.builds(
        sessions.SettingChange,
        name=strategies.sampled_from(["", "a", "b", "c"]),
        sql=strategies.sampled_from(["", "SET 1", "SET 2"]),
    )
)


def run(settings, sql):
    """Apply what `plan_settings` returned, as an upstream would."""
    found = dict(settings)
    for step in filter(None, sql.split("; ")):
        if step.startswith("RESET "):
            del found[step.removeprefix("RESET ")]
        else:
            found[step[0]] = step
    return found


class SettingsTests(testtools.TestCase):
    def test_plan_sets_and_resets(self):
        sql = sessions.plan_settings({"a": "SET a TO 1"}, {"b": "SET b TO 2"})
        self.assertEqual("RESET a; SET b TO 2", sql)

    @hypothesis.given(CHANGES, CHANGES)
    def test_plan_leads_from_any_settings_to_any_others(self, first, second):
        present, wanted = (
            {
                name: f"{name} {sql}"
                for name, sql in sessions.apply_settings({}, changes).items()
            }
            for changes in (first, second)
        )
        sql = sessions.plan_settings(present, wanted)
        self.assertEqual(wanted, run(present, sql))


class FloorTests(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.floats(0, 100)),
        strategies.floats(0, 100),
        strategies.floats(0.1, 10),
    )
    def test_floor_is_never_older_than_the_age(self, times, now, age_s):
        history = sessions.FloorHistory()
        asked = [at for at in sorted(times) if at <= now]
        for number, at in enumerate(asked, start=1):
            history.add(at, number)
        found = history.find(now, age_s)
        if found is not None:
            self.assertLessEqual(now - asked[found - 1], age_s)
