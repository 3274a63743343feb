"""A target that is full refuses an unsafe request and takes it a moment later.
A second copy of the refusal arrives where the answer is expected."""

import concurrent.futures
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fixture

ROUTES = [("orders", "/orders/", "unsafe", 1500, 2, "catalog")]
WORK_S = 0.1
PAUSE_S = 5
# Enough that one copy is less than 0.03 of its target's answers, the limit of the
# pages for `garble`, "extra late". One of two targets is less than its share, 0.6.
ORDERS_BEFORE = 100
ORDERS_RISING = 20
ORDERS_AFTER = 10
CLIENTS = 4
MIN_ANSWERS = 34


class Catalog(fixture.Target):
    """Refuses each request in `full_for` once. With `pauses`, refuses the next
    request and asks for a pause. With `copies`, the answer that follows a refusal
    on its connection is preceded by a second copy of the refusal."""

    def __init__(self, *arguments, **named):
        self.full_for = set()
        self.pauses = self.copies = False
        self.answers = 0
        super().__init__(*arguments, **named)

    def run(self, handler, request):
        self.answers += 1
        copy = handler.memory.pop("copy", None)
        if copy is not None:
            self.case.record.add(self.name, "sends a second copy of its refusal")
            handler.answer(*copy)
        refusal = (503, b"", [("X-Request-Id", request),
                              ("X-Not-Executed", "1")] + self.load())
        if self.pauses:
            self.pauses = False
            self.case.record.add(self.name, f"is full, refuses id {request} and "
                                 f"wants nothing for {PAUSE_S} s")
            refusal[2].append(("Retry-After", str(PAUSE_S)))
            handler.answer(*refusal)
        elif request in self.full_for:
            self.full_for.remove(request)
            self.case.record.add(self.name, f"is full, refuses id {request}")
            if self.copies:
                handler.memory["copy"] = refusal
            handler.answer(*refusal)
        else:
            super().run(handler, request)


def body(case):
    case.configure(1, ROUTES, ["catalog"])
    targets = garbling, paused = [
        Catalog(case, f"i-{n}", "catalog", work_s=WORK_S) for n in range(2)]
    instance, = case.start_instances(1)
    answers = {}

    def order(request):
        answers[request] = instance.call("POST", "/orders/1", request, b"order")

    with concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool:
        list(pool.map(order, (f"before-{n}" for n in range(ORDERS_BEFORE))))
        # One target asks for a pause, the other is full for a moment.
        paused.pauses = True
        list(pool.map(order, (f"rising-{n}" for n in range(ORDERS_RISING))))
    garbling.copies = case.trouble
    garbling.full_for = {"full"}
    order("full")
    for n in range(ORDERS_AFTER):
        order(f"after-{n}")
    time.sleep(2 * WORK_S)

    if garbling.answers < MIN_ANSWERS or paused.pauses:
        raise fixture.CannotRun(f"{garbling.name} got {garbling.answers} requests, "
                                f"pause asked: {not paused.pauses}")
    ran = [request for target in targets for _, request, _ in target.runs]
    broken = False
    for request, answer in answers.items():
        twice = ran.count(request) > 1
        refused = answer is not None and answer.status in (408, 421, 429, 503)
        if twice or (refused and request in ran):
            broken = True
            case.record.add("verdict", f"id {request} ran {ran.count(request)} "
                            f"times, and its client got {answer}")
    case.record.add("verdict", f"{int(case.trouble)} copies in "
                    f"{garbling.answers} answers of {garbling.name}, "
                    f"{len(answers)} orders")
    return broken


fixture.run(__file__, body)
