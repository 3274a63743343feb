"""A request of one tenant crashes each target that begins to run it, while
another tenant's requests with the same path are answered. See claim.txt."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standins_3 as standins
from standins_3 import Callers, CrashingTarget, TROUBLE

KEYS = {"choir": "key-choir", "school": "key-school"}
PATH = "/score/7"
PLAY_S = 20.0


def key_of(tenant):
    return {"fields": {"Authorization": f"Bearer {KEYS[tenant]}"}}


def play(deployment):
    deployment.configure(
        5, [("lookup", "/score/", "safe", "engrave-api"),
            ("grant", "/grant/", "unsafe", "engrave-api")], ["engrave-api"],
        1500, tenants={
            "Columns": ["Name", "ApiKeys", "RatePerS", "Burst", "Priority"],
            "Rows": [[name, [key], 0, 0, 1] for name, key in KEYS.items()]})
    targets = [CrashingTarget(
        deployment, f"i-{number}", "engrave-api",
        lambda fields: fields.get("x-tenant") == "choir")
               for number in range(12)]
    deployment.start_ready(3, {"retry_extra": 176})
    callers = Callers(deployment)
    until = time.monotonic() + PLAY_S
    clients = [((f"school-{n}", "GET", PATH, 0.05, until), key_of("school"))
               for n in range(3)]
    clients += [((f"grant-{n}", "POST", "/grant/1", 0.05, until),
                 {**key_of("school"), "body": b"licence"}) for n in range(3)]
    if TROUBLE:
        clients.append((("choir", "GET", PATH, 1.0, until), key_of("choir")))
    callers.play(clients)
    return standins.judge_crashing_request(deployment, callers, targets,
                                           deadly="choir", others="grant")


standins.main(__file__, play)
