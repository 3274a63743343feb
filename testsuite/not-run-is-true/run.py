#!/usr/bin/env python3
"""Guards against wrong outcomes of non-repeatable requests: after `not-run` the
request must not have run, and `done` means exactly one run.

Backend servers shed load, refuse connections, reset them before or after the
run, never answer, truncate answers, answer late or fail fast."""
import pathlib
import sys
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import Rule, Service, check, in_parallel, wait_until


ORDERS = Rule("orders", "/orders", "POST", repeatable=False, deadline_ms=800,
              queue_wait_ms=300, queue_limit=20)
FAULTS = {
    "sheds": {"shed_over": 0},
    "refuses": {"refuse": True},
    "resets before running": {"reset_before_run": True},
    "resets after running": {"reset_after_run": True},
    "black hole": {"black_hole": True},
    "cuts answers": {"truncate": True},
    "fails fast": {"fail_fast": True},
    "late": {"answer_late_ms": 1500},
    "straggles": {"straggle_factor": 300},
}
OFF = {"shed_over": -1, "refuse": False, "reset_before_run": False,
       "reset_after_run": False, "black_hole": False, "truncate": False,
       "fail_fast": False, "answer_late_ms": 0, "straggle_factor": 1}



def order_succeeds(instance, name):
    key = f"after-{name}-{uuid.uuid4()}"
    answer = instance.order(key.replace(" ", "-"), "/orders?ms=0")
    return answer is not None and answer.outcome == "done"


with harness.Case(__file__) as case:
    case.start_platform({"catalog": 3}, slots=2, mean_ms=3)
    case.start_instances(2)
    case.publish(Service("catalog", (ORDERS,),))
    outcomes = {}
    for name, fault in FAULTS.items():
        with case.section(f"backend server fault: {name}"):
            case.fault_all("catalog", **fault)
            keys = [f"{name.replace(' ', '-')}-{n}" for n in range(60)]
            answers = in_parallel([
                lambda n=n, k=k: case.instances[n % 2].order(k, "/orders")
                for n, k in enumerate(keys)], threads=30)
            for key, answer in zip(keys, answers):
                check(answer is None or answer.outcome,
                      f"no outcome: {answer}")
                outcomes[key] = answer.outcome if answer else "unknown"
            case.fault_all("catalog", **OFF)
            count = {o: sum(outcomes[k] == o for k in keys)
                     for o in ("done", "not-run", "unknown")}
            print(f"    {count}")
            # The next fault must hit targets that are in use again.
            for instance in case.instances:
                wait_until(lambda: order_succeeds(instance, name),
                           "an order is answered as done again")

    with case.section("outcomes agree with the backend servers' run counts"):
        case.check_runs()
        runs = case.runs()
        false_not_run = [k for k, o in outcomes.items()
                         if o == "not-run" and runs.get(k, 0)]
        check(not false_not_run, f"outcome not-run, but ran: {false_not_run}")
        lost = [k for k, o in outcomes.items()
                if o == "done" and runs.get(k, 0) != 1 and
                not k.startswith("fails-fast")]
        check(not lost, f"outcome done, but not exactly one run: {lost}")
        not_run = sum(o == "not-run" for o in outcomes.values())
        done = sum(o == "done" for o in outcomes.values())
        check(not_run > 0 and done > 0, f"{not_run} not run, {done} done")
