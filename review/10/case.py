"""The owner of a tenant's limit is cut off while the tenant is hot.

The tenant's clients use all three instances. Half a second after the tenant has become
hot, the instance that owns its limit is cut off from the two others. See
tenant_cut_2."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import tenant_cut_2  # noqa: E402
from support_2 import main  # noqa: E402

PLAN = tenant_cut_2.Plan(
    instances=3, rate_per_s=100, burst=20, usual_per_s=80, cut_off="edge-0",
    cut_at_s=8.5, hot_at_s=8.0, instances_before=3)


main(__file__, lambda deployment: tenant_cut_2.play(deployment, PLAN))
