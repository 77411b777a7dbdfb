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


def run_sql(settings, sql):
    """Return the settings after running the SQL of `settings_sql`."""
    updated = dict(settings)
    for statement in filter(None, sql.split("; ")):
        if statement.startswith("RESET "):
            del updated[statement.removeprefix("RESET ")]
        else:
            updated[statement[0]] = statement
    return updated


class SettingsTests(testtools.TestCase):
    def test_plan_sets_and_resets(self):
        sql = sessions.settings_sql({"a": "SET a TO 1"}, {"b": "SET b TO 2"})
        self.assertEqual("RESET a; SET b TO 2", sql)

    @hypothesis.given(CHANGES, CHANGES)
    def test_plan_converts_any_settings_to_any_others(self, first, second):
        current, wanted = (
            {
                name: f"{name} {sql}"
                for name, sql in sessions.apply_settings({}, changes).items()
            }
            for changes in (first, second)
        )
        sql = sessions.settings_sql(current, wanted)
        self.assertEqual(wanted, run_sql(current, sql))


class FloorTests(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.floats(0, 100)),
        strategies.floats(0, 100),
        strategies.floats(0.1, 10),
    )
    def test_floor_is_never_older_than_the_age(self, times, now, age_s):
        history = sessions.FloorHistory()
        asked_at = [time for time in sorted(times) if time <= now]
        for number, time in enumerate(asked_at, start=1):
            history.add(time, number)
        floor = history.find(now, age_s)
        if floor is not None:
            self.assertLessEqual(now - asked_at[floor - 1], age_s)
