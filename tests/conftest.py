"""Give every run of the tests the same examples, so that it has the same verdict."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "same-verdict",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=(HealthCheck.too_slow,),
)
settings.load_profile("same-verdict")
