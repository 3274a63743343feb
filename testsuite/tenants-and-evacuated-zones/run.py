#!/usr/bin/env python3
"""Guards against requests that run for the wrong tenant, beyond a tenant's limit
over all instances, or in an evacuated zone.

Two instances in platform mode run against the stand-ins of the store and of
targets in two availability zones."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import check, wait_until
from platform_entry import Entry, peers_of
from platform_standin import Store, Target, config

STORE_PORT = 9900
TARGET_PORT = 9910
ROUTES = [("read", "/read/", "safe", "s1"), ("pay", "/pay/", "unsafe", "s1"),
          ("send", "/send/", "upload", "s1"), ("odd", "/odd/", "new", "s1"),
          ("info", "/info/", "safe", "s1")]
RATE = 5
BURST = 5


def tenants_config(version, **keys):
    """A configuration whose tenants have these keys; `info` is public."""
    record = config(version, ROUTES, ["s1"])
    record["Routes"]["Columns"].append("Public")
    for row in record["Routes"]["Rows"]:
        row.append(row[0] == "info")
    record["Tenants"] = {
        "Columns": ["Name", "ApiKeys", "Priority", "RatePerS", "Burst"],
        "Rows": [[name, list(own), 0, RATE if name == "small" else None, BURST]
                 for name, own in keys.items()]}
    return record


def ask(entry, path, request, key=None, method="GET", **named):
    headers = {"Host": "shop.example", "X-Request-Id": request,
               "X-Deadline-Ms": "1500", "X-Tenant": "forged"}
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    return harness.call(entry.front, method, path, headers=headers, **named)


def in_force(version):
    wait_until(lambda: all(f'configuration in force" version="{version}"'
                           in entry.log() for entry in entries),
               "the configuration is in force")


with harness.Case(__file__) as case:
    store = Store(case.at(STORE_PORT))
    store.append("keyed.op", "config",
                 tenants_config(1, big=["k-big", "k-old"], small=["k-small"]))
    targets = [Target(store, case.at(TARGET_PORT + n), f"t{n}", "s1")
               for n in range(4)]
    for n, target in enumerate(targets):
        target.register(Zone="zone-a" if n % 2 else "zone-b")
    entries = [case.start_process(Entry(case, n, case.at(STORE_PORT),
                                        seeds=[peers_of(case, 0)]))
               for n in range(2)]
    for entry in entries:
        wait_until(entry.is_ready, "the instance is ready")
    wait_until(lambda: all('state="live"' in entry.log() for entry in entries),
               "the instances know each other")
    first, second = entries

    def ran(request):
        return [target.requests[request] for target in targets
                if request in target.runs]

    with case.section("a request runs for the tenant of its key"):
        for path, method, body in (("/read/1", "GET", None),
                                   ("/pay/1", "POST", b"pay"),
                                   ("/send/1", "POST", b"x" * 900),
                                   ("/odd/1", "POST", b"odd")):
            request = f"own{path.replace('/', '-')}"
            answer = ask(first, path, request, "k-big", method, body=body)
            check(answer.status == 200, f"{path}: {answer}: {answer.body}")
            sent, = ran(request)
            check(sent.headers.get("X-Tenant") == "big", str(sent.headers))
            check("Authorization" not in sent.headers, str(sent.headers))

    with case.section("one without a known key doesn't run"):
        for number, key in enumerate((None, "k-none", "", "k-big k-big")):
            answer = ask(first, "/read/2", f"bad-{number}", key)
            check(answer.status == 401, f"{key}: {answer}")
            check(not ran(f"bad-{number}"), f"{key}: ran")

    with case.section("a public route needs no key"):
        answer = ask(first, "/info/1", "public")
        check(answer.status == 200, f"{answer}: {answer.body}")
        sent, = ran("public")
        check("X-Tenant" not in sent.headers, str(sent.headers))

    with case.section("a tenant gets its limit over all instances, and no more"):
        begin = time.monotonic()
        answers = [ask(entries[number % 2], "/read/3", f"limit-{number}",
                       "k-small") for number in range(60)]
        seconds = time.monotonic() - begin
        served = sum(answer.status == 200 for answer in answers)
        refused = [answer for answer in answers if answer.status == 429]
        check(served + len(refused) == len(answers), "another answer came")
        check(served <= 1.1 * (RATE * seconds + BURST) + 20,
              f"{served} in {seconds:.2f} s")
        check(served >= BURST, f"only {served} were served")
        check(all(float(answer.header("Retry-After")) > 0
                  for answer in refused), "a refusal has no time")
        check(ask(first, "/read/3", "other", "k-big").status == 200,
              "another tenant is refused")

    with case.section("a key that is taken away stops, and a new one works"):
        store.append("keyed.op", "config", tenants_config(
            2, big=["k-big", "k-new"], small=["k-small"]))
        in_force(2)
        for entry in entries:
            check(ask(entry, "/read/4", f"old-{entry.front}",
                      "k-old").status == 401, "the old key works")
            check(ask(entry, "/read/4", f"new-{entry.front}",
                      "k-new").status == 200, "the new key doesn't work")

    with case.section("no key is logged"):
        for entry in entries:
            check("k-" not in entry.log(), "a key is in the log")

    with case.section("an evacuated zone gets nothing"):
        store.append("keyed.op", "evacuate/zone-b", {})
        wait_until(lambda: all("zone evacuated" in entry.log()
                               for entry in entries), "the zone is evacuated")
        before = [len(target.runs) for target in targets]
        for number in range(20):
            check(ask(entries[number % 2], "/read/5", f"evac-{number}",
                      "k-big").status == 200, "a request isn't served")
        after = [len(target.runs) for target in targets]
        check(after[0] == before[0] and after[2] == before[2],
              f"{before} before, {after} after")

    with case.section("and requests again when it returns"):
        store.append("keyed.op", "evacuate/zone-b", None)
        wait_until(lambda: all("evacuation ended" in entry.log()
                               for entry in entries), "the zone returns")
        for target in targets[1::2]:
            target.register("draining")
        wait_until(lambda: all(entry.log().count('change="draining"') >= 2
                               for entry in entries), "the others drain")
        check(ask(second, "/read/6", "back", "k-big").status == 200,
              "a request isn't served")
