#!/usr/bin/env python3
"""Guards against a non-repeatable request that runs more than once.

Callers send copies of a request to several instances at once or later, while
instances are killed, paused or shut down, the store is down, answers to appends
are lost, or appends take effect late."""

import concurrent.futures
import signal
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import check, in_parallel, wait_until

# Keys of orders that take long on the backend server.
SLOW_KEYS = ("killed", "paused")
# Outcomes that a copy may get, also while another copy runs or after the
# outcome was lost.
VALID_OUTCOMES = ("done", "unknown", "not-run")


def send(instance, key, timeout_s=30):
    """Sends a copy of the order `key`; all copies are identical."""
    ms = 700 if key in SLOW_KEYS else 20
    return instance.order(key, f"/orders?ms={ms}", timeout_s=timeout_s)


def send_everywhere(case, key):
    """Sends a copy of the order to each running instance, in parallel."""
    running = [i for i in case.instances if i.running]
    return in_parallel([lambda i=i: send(i, key) for i in running])


def final_outcome(case, instance, key, max_wait_s=harness.EVENT_TIMEOUT_S):
    """Resends an order until its outcome is done or reported as lost."""
    def final_answer():
        answer = send(instance, key, 20)
        return (answer is not None and
                (answer.outcome == "done" or answer.reason == "outcome-lost")
                and answer)
    return wait_until(final_answer,
                      f"{instance.name} reports the final outcome of {key}",
                      max_wait_s)


def check_outcomes(case, received):
    """Checks the outcomes of all copies against the runs.

    No key may have run twice; `done` requires a run; and the copies of a key
    that ran must not all have the outcome not-run.
    """
    case.check_runs()
    runs = case.runs()
    for key, answers in received.items():
        outcomes = [a.outcome for a in answers if a is not None]
        check(all(o in VALID_OUTCOMES for o in outcomes), f"{key}: {outcomes}")
        if runs.get(key, 0) == 0:
            check("done" not in outcomes, f"{key} never ran: {answers}")
        elif outcomes and all(a is not None for a in answers):
            check(set(outcomes) != {"not-run"},
                  f"{key} ran, but all copies got not-run: {answers}")


def copies_at_once(case):
    with case.section("copies to three instances at once"):
        received = {f"copies-{n}": None for n in range(40)}
        for key in received:
            received[key] = send_everywhere(case, key)
        check_outcomes(case, received)
        for key in received:
            answer = final_outcome(case, case.instances[0], key)
            case.check_own(answer)
        check(sum(any(a and a.outcome == "done" for a in answers)
                  for answers in received.values()) == len(received),
              "no copy of some order got the outcome done")
    with case.section("a later copy gets the recorded answer"):
        for instance in case.instances:
            answer = send(instance, "copies-0")
            case.check_own(answer)
            check(answer.header("Guavacross-Replay") == "recorded", f"{answer}")
    with case.section("a used key with a different body is refused"):
        answer = case.instances[1].call("POST", "/orders?ms=20", key="copies-0",
                                        body=b"another order")
        check((answer.status, answer.reason) == (422, "key-conflict"),
              f"{answer}")
    case.check_runs()


def start_order(case, instance, key, pool):
    """Sends a slow order and waits until a backend server runs it."""
    future = pool.submit(send, instance, key)
    wait_until(lambda: case.runs().get(key), f"{key} runs")
    return future


def recorded_by_holders(case):
    with case.section("each instance records the orders it runs"):
        for holder in (0, 2):
            case.check_own(send(case.instances[holder], f"held-by-{holder}"))


def holder_killed(case, pool):
    with case.section("the instance is killed while the order runs"):
        victim = case.instances[2]
        start_order(case, victim, "killed", pool)
        victim.kill()
        answers = [final_outcome(case, i, "killed") for i in case.instances[:2]]
        check(all(a.reason == "outcome-lost" and a.outcome == "unknown"
                  for a in answers), f"{answers}")
        case.check_runs()
    with case.section("a new instance takes its name and address"):
        case.start_instance(2, zone="zone-c")
        case.wait_ready([case.instances[2]])
        check_outcomes(
            case, {"killed": [final_outcome(case, case.instances[2], "killed")]})


def holder_paused(case, pool):
    with case.section("the instance is paused while the order runs"):
        holder = case.instances[2]
        future = start_order(case, holder, "paused", pool)
        holder.pause()
        received = [send(i, "paused", 20) for i in case.instances[:2]]
        check(all(a is None or a.outcome != "not-run" for a in received),
              f"{received}")
        holder.resume()
        received.append(future.result())
        received += [final_outcome(case, i, "paused") for i in case.instances]
        check_outcomes(case, {"paused": received})
    with case.section("an instance is paused before it takes the order"):
        holder.pause()
        late = pool.submit(send, holder, "late")
        received = [send(i, "late") for i in case.instances[:2]]
        holder.resume()
        received.append(late.result())
        received += [final_outcome(case, i, "late") for i in case.instances]
        check_outcomes(case, {"late": received})


def store_outage(case):
    with case.section("no new order runs while the store is down"):
        case.fault("log-service", outage="refuse")
        received = {f"outage-{n}": None for n in range(6)}
        answers = in_parallel(
            [lambda k=k: send_everywhere(case, k) for k in received], 6)
        received = dict(zip(received, answers))
        check(not any(case.runs().get(key) for key in received),
              f"ran without a claim: {received}")
        check(all(a is not None and a.outcome != "done"
                  for answers in received.values() for a in answers),
              f"{received}")
        answer = send(case.instances[0], "held-by-0")
        check(answer is not None and answer.outcome == "done",
              f"a running instance's record is not used: {answer}")
        # The instance that held this record was killed.
        answer = send(case.instances[0], "held-by-2")
        check(answer is not None and answer.outcome == "unknown",
              f"expected unknown, the record is lost: {answer}")
        case.check_runs()
    with case.section("the same orders run once after the outage"):
        case.fault("log-service", outage="")
        for key in received:
            case.check_own(final_outcome(case, case.instances[1], key))
        check_outcomes(case, {})


def lost_answers(case):
    for name, fault in (("answers to appends are lost", {"lose_answers": 12}),
                        ("appends are lost", {"lose_appends": 12}),
                        ("appends take effect late",
                         {"apply_late": 12, "late_ms": 1500}),
                        ("the store is slow", {"delay_ms": 1000})):
        with case.section(name):
            case.fault("log-service", **fault)
            keys = [f"{name}-{n}".replace(" ", "-") for n in range(8)]
            answers = in_parallel(
                [lambda k=k: send_everywhere(case, k) for k in keys], 8)
            case.fault("log-service", lose_answers=0, lose_appends=0,
                       apply_late=0, delay_ms=0)
            for key in keys:
                final_outcome(case, case.instances[0], key)
            check_outcomes(case, dict(zip(keys, answers)))


def handed_over(case):
    with case.section("an instance hands its records over at shutdown"):
        leaving = case.instances[1]
        answers = {f"handed-{n}": send(leaving, f"handed-{n}")
                   for n in range(10)}
        leaving.signal(signal.SIGTERM)
        exit_code = leaving.wait()
        check(exit_code == 0, f"{leaving.name} exited with {exit_code}")
        case.unlist_instance(leaving)
        for key, first in answers.items():
            check(first is not None and first.outcome == "done", f"{first}")
            again = final_outcome(case, case.instances[0], key)
            check(again.outcome == "done" and again.body == first.body,
                  f"{key}: {again}")
        case.check_runs()


with harness.Case(__file__) as case:
    case.start_platform({"catalog": 4})
    case.start_instances(3)
    case.publish(harness.Service("catalog"))
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        copies_at_once(case)
        recorded_by_holders(case)
        holder_killed(case, pool)
        holder_paused(case, pool)
        store_outage(case)
        lost_answers(case)
        handed_over(case)
    case.check_runs()
