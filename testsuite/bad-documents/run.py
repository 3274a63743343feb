#!/usr/bin/env python3
"""Guards against invalid configuration being accepted or reported unclearly.

`guavacross check` must reject each invalid document with one line that names
line, column and key, and accept the valid ones; an invalid setting must end
`guavacross serve` with one line and exit code 2. The first line of each file in
testsuite/check-documents states the expected output: `# expect: TEXT` or
`# expect: ok`."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness

from harness import check

DOCUMENTS = harness.ROOT / "testsuite" / "check-documents"
EXAMPLES = harness.ROOT / "examples"

SETTINGS = {
    "name": '"entry-1"', "region": '"eu"', "zone": '"a"',
    "callers": '"127.0.0.1:1"', "operators": '"127.0.0.1:2"',
    "peers": '"127.0.0.1:3"', "log_service": '"127.0.0.1:4"',
    "instance_list": '"127.0.0.1:5"'}
BAD_SETTINGS = {
    "a name that is not a string": ({"name": "7"}, "name"),
    "an address without a port": ({"callers": '"127.0.0.1"'}, "callers"),
    "a host name": ({"peers": '"localhost:80"'}, "peers"),
    "a port out of range": ({"peers": '"127.0.0.1:70000"'}, "peers"),
    "no zone": ({"zone": None}, "zone"),
    "an unknown key": ({"colour": "1"}, "colour"),
    "too many workers": ({"workers": "100000"}, "workers"),
    "a negative lifetime": ({"address_lifetime_ms": "-1"},
                              "address_lifetime_ms"),
    "an unknown log level": ({"log_level": '"loud"'}, "log_level"),
}

with harness.Case(__file__) as case:
    for path in sorted(DOCUMENTS.glob("*.toml")):
        with case.section(path.stem):
            first = path.read_text().splitlines()[0]
            check(first.startswith("# expect: "), "no `# expect: ` line")
            expected = first.removeprefix("# expect: ")
            done = case.run_guavacross("check", path)
            if expected == "ok":
                check(done.returncode == 0, done.stdout)
                continue
            check(done.returncode == 1, f"{done.returncode}: {done.stdout}")
            check(expected in done.stdout,
                  f"expected {expected!r}, got {done.stdout!r}")
            check(len(done.stdout.splitlines()) == 1, done.stdout)
    for path in sorted(EXAMPLES.glob("*.toml")):
        with case.section(f"example document {path.stem}"):
            done = case.run_guavacross("check", path)
            check(done.returncode == 0, done.stdout)
    for name, (changes, key) in BAD_SETTINGS.items():
        with case.section(f"settings with {name}"):
            settings = {k: v for k, v in {**SETTINGS, **changes}.items() if v}
            path = case.out / "settings.toml"
            path.write_text("".join(f"{k} = {v}\n"
                                    for k, v in settings.items()))
            done = case.run_guavacross("serve", "--settings", path)
            check(done.returncode == 2, f"{done.returncode}: {done.stdout}")
            check(len(done.stdout.splitlines()) == 1 and key in done.stdout,
                  done.stdout)
