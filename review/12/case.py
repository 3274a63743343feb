"""A download crashes each target that runs it after the first part of its
answer has been sent. See claim.txt."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standins_3 as standins
from standins_3 import Callers, CrashingTarget, TROUBLE

PLAY_S = 20.0
# Of the length of the answer and of the part that is sent.
ANSWER_BYTES, SENT_BYTES = 90_000, 20_000


def begin_answer(target, connection, request):
    connection.sendall(target.head("200 OK", request, ANSWER_BYTES)
                       + bytes(SENT_BYTES))
    time.sleep(0.05)


def play(deployment):
    deployment.configure(
        5, [("pull", "/lookbook/", "download", "stylist-desk"),
            ("label", "/label/", "unsafe", "stylist-desk")], ["stylist-desk"],
        1500)
    targets = [CrashingTarget(
        deployment, f"i-{number}", "stylist-desk",
        lambda fields: fields[":line"].startswith("GET /lookbook/spring "),
        begin_answer) for number in range(12)]
    deployment.start_ready(3)
    callers = Callers(deployment)
    until = time.monotonic() + PLAY_S
    clients = [((f"label-{n}", "POST", f"/label/{n}", 0.05, until),
                {"body": b"parcel"}) for n in range(4)]
    clients.append((("other", "GET", "/lookbook/autumn", 0.1, until), {}))
    if TROUBLE:
        clients.append((("deadly", "GET", "/lookbook/spring", 1.0, until), {}))
    callers.play(clients)
    return standins.judge_crashing_request(deployment, callers, targets,
                                           deadly="deadly", others="label")


standins.main(__file__, play)
