"""Test configuration: hypothesis draws the same examples in every run."""

import hypothesis

hypothesis.settings.register_profile(
    "same_each_run",
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("same_each_run")
