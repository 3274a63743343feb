#!/usr/bin/env python3
"""Guards against lost or wrongly reported edits when teams publish
concurrently.

Concurrent edits of different sections must all take effect; of edits of the
same version of a section exactly one. `publish` must report the true result,
also when answers to appends are lost or the store is down for a while."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import Service, check, in_parallel, wait_until

# Exit codes of `guavacross publish`.
OK, REFUSED, UNAVAILABLE, UNCLEAR, NOT_IN_FORCE = 0, 1, 3, 4, 5


def publish(case, service, name):
    """Runs `guavacross publish` for a section; returns exit code and output."""
    path = case.out / f"{name}.toml"
    path.write_text(case.document([service]))
    done = case.run_guavacross(
        "publish", path, "--team", service.team, "--section", service.name,
        "--log-service", case.at(harness.LOG_PORT),
        "--instances", ",".join(i.operators for i in case.instances))
    return done.returncode, done.stdout


def in_force(case):
    """Waits until all instances agree on the versions and returns them."""
    def agreed():
        seen = [i.versions() for i in case.instances]
        return seen[0] if all(v == seen[0] for v in seen) else None
    return wait_until(agreed, "the instances agree")


with harness.Case(__file__) as case:
    case.start_platform({"catalog": 2, "archive": 2, "labels": 1})
    case.start_instances(3)
    teams = {"catalog": "imaging", "archive": "storage", "labels": "styling"}

    with case.section("three teams publish their first sections concurrently"):
        results = in_parallel([
            lambda n=n, t=t: publish(case, Service(n, team=t), n)
            for n, t in teams.items()])
        check(all(code == OK for code, _ in results), f"{results}")
        versions = in_force(case)
        check(set(versions) == set(teams), f"{versions}")

    with case.section("five concurrent edits of one section"):
        before = in_force(case)["catalog"]
        results = in_parallel([
            lambda n=n: publish(case, Service("catalog", probes_per_second=30 + n),
                                f"race-{n}") for n in range(5)])
        accepted = [n for n, (code, _) in enumerate(results) if code == OK]
        # An edit made after the accepted one was read is based on the new
        # version, so that several may be accepted, one after the other.
        check(accepted and all(code in (OK, REFUSED) for code, _ in results),
              f"{results}")
        check(in_force(case)["catalog"] > before, "no edit took effect")

    with case.section("a section can't be published by another team"):
        code, text = publish(case, Service("catalog", team="storage"), "theirs")
        check(code == REFUSED, f"{code}: {text}")

    with case.section("answers to appends are lost"):
        case.fault("log-service", lose_answers=2)
        before = in_force(case)
        code, text = publish(case, Service("archive", team="storage",
                                           probes_per_second=40), "lost")
        check(code == OK, f"{code}: {text}")
        after = in_force(case)
        check(after["archive"] > before["archive"], f"{before} {after}")
    with case.section("appends are lost"):
        case.fault("log-service", lose_appends=2)
        code, text = publish(case, Service("archive", team="storage",
                                           probes_per_second=41), "dropped")
        check(code == OK, f"{code}: {text}")
    with case.section("appends take effect late"):
        case.fault("log-service", apply_late=1, late_ms=800)
        code, text = publish(case, Service("archive", team="storage",
                                           probes_per_second=42), "late")
        check(code in (OK, UNCLEAR), f"{code}: {text}")

    with case.section("the store is down, then available again"):
        before = in_force(case)
        case.fault("log-service", outage="refuse")
        code, text = publish(case, Service("labels", team="styling",
                                           probes_per_second=43), "down")
        check(code in (UNAVAILABLE, UNCLEAR), f"{code}: {text}")
        check(in_force(case) == before, "a version changed without the store")
        case.fault("log-service", outage="")
        code, text = publish(case, Service("labels", team="styling",
                                           probes_per_second=44), "back")
        check(code == OK, f"{code}: {text}")
