"""The answer of a status check is taken for the answer of an unsafe request.

Some answers are followed, late, by a second copy. A tenth of the targets says
in its status check that it is ill although it is well."""

import concurrent.futures
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fixture

ROUTES = [("orders", "/orders/", "unsafe", 1500, 2, "catalog")]
TARGETS = 20
# Limits of the pages: `garble`, "extra late": share 0.6, x 0.03, for 5 s.
GARBLING = 12
COPY_EVERY = 34
# `srv_lying_health`, "bad": share 0.1, for 6.5 s.
ILL = 2
# Both come again and again, one entry after the other.
ENTRY_S = 5.0
ENTRIES = 18
# "6 ms a probe" on the customers' sheets.
CHECK_S = 0.006
CLIENTS = 2
PAUSE_S = 0.05


class Catalog(fixture.Target):
    """With `garbles`, each answer in `COPY_EVERY` is sent a second time where
    the next answer on its connection is expected. With `ill`, status checks are
    answered with 503."""

    garbles = ill = False

    def __init__(self, *arguments, **named):
        self._answers = 0
        self._lock = threading.Lock()
        super().__init__(*arguments, **named)

    def _is_copied(self):
        with self._lock:
            self._answers += 1
            return self.garbles and self._answers % COPY_EVERY == 0

    def _send_copy(self, handler, where):
        copy = handler.memory.pop("copy", None)
        if copy is not None:
            self.case.record.add(self.name, "sends a second copy of an answer "
                                 f"where that of {where} is expected")
            handler.answer(*copy)

    def check(self, handler):
        self._send_copy(handler, "a status check")
        time.sleep(CHECK_S)
        handler.answer(503 if self.ill else 200, b"{}", self.load())

    def run(self, handler, request):
        self._send_copy(handler, f"id {request}")
        self.begin(handler, request)
        time.sleep(self.work_s)
        answer = (200, *self.whole_answer(request))
        if self._is_copied():
            handler.memory["copy"] = answer
        handler.answer(*answer)


def body(case):
    case.configure(1, ROUTES, ["catalog"])
    targets = [Catalog(case, f"i-{n}", "catalog") for n in range(TARGETS)]
    instance, = case.start_instances(1)
    if case.trouble:
        for target in targets[:GARBLING]:
            target.garbles = True
        for target in targets[:ILL]:
            target.ill = True
    end = time.monotonic() + ENTRIES * ENTRY_S

    def client(number):
        answers = {}
        while time.monotonic() < end:
            request = f"order-{number}-{len(answers)}"
            answers[request] = instance.call("POST", "/orders/1", request,
                                             b"order")
            time.sleep(PAUSE_S)
        return answers

    with concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool:
        answers = {request: answer for part in pool.map(client, range(CLIENTS))
                   for request, answer in part.items()}
    # A request that a target gets later than its answer runs within this time.
    time.sleep(2)
    ran = {request for target in targets for _, request, _ in target.runs}
    broken = [request for request, answer in answers.items()
              if request in ran and answer is not None
              and answer.status in (408, 421, 429, 503)]
    for request in broken:
        case.record.add("verdict", f"id {request} ran, and its client got "
                        f"{answers[request]}")
    case.record.add("verdict", f"{len(broken)} of {len(answers)} unsafe requests "
                    "were answered as not run and have run")
    return bool(broken)


fixture.run(__file__, body)
