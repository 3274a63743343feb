#!/usr/bin/env python3
"""Guards against a page's command that fails as it is written there.

A flag that was left out used to be refused although `--help` shows a default
for it, so the README's first command ended at once. Each command of the pages
is taken from the page and run; only addresses, file names and the length of a
demo are replaced. A flag with a default must act as if its default were given.
"""
import fcntl
import pathlib
import re
import shlex
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
import platform_entry

from harness import check

PAGES = ["README.md", "INSTALL.md", "docs/OPERATORS.md", "docs/OPERATIONS.md",
         "docs/operators/configuration.md"]
PROGRAMS = ("scripts/", "guavacross ", "cmake ")
# Commands that the case doesn't run, with the reason.
NOT_RUN = {
    "scripts/install-packages": "the first step of .ci/run",
    "cmake --preset release": "a step of .ci/run",
    "cmake --build build": "a step of .ci/run",
    "scripts/test": "would run this case again",
    "scripts/test [BUILD_DIR]": "would run this case again",
}
# Commands that run until SIGTERM.
RUN_UNTIL_STOPPED = ("guavacross serve", "guavacross platform")
DEMO_SECONDS = 3
DEMO_CLOSING = "0 ran twice"
COMMAND_TIMEOUT_S = 120
# Exit codes of the first `publish`, which no instance has in force, and of
# later ones, which change nothing.
NOT_IN_FORCE = 5
UNCHANGED = 0
# Exit codes for an instance that doesn't answer.
NO_ANSWER = {"status": 1, "addresses": 3}
DEMO_LOCK = "/tmp/guavacross-demo.lock"


def block_commands(text):
    """The commands in indented blocks, without comments and continuations."""
    joined = text.replace("\\\n", " ")
    for line in re.findall(r"^    (\S.*)$", joined, re.MULTILINE):
        command = re.sub(r"\s+#.*", "", line).strip()
        if command.startswith(PROGRAMS):
            yield re.sub(r"\s+", " ", command)


def table_commands(text):
    """The commands in the first column of tables."""
    return re.findall(r"^\| `(guavacross [^`]+)` \|", text, re.MULTILINE)


def commands_of(page):
    text = (harness.ROOT / page).read_text()
    return [*block_commands(text), *table_commands(text)]


def concrete(case, command):
    """`command` with the page's examples replaced by files and addresses of
    the case; only the log service listens, so that no instance connects to
    the targets of an example document."""
    words = shlex.split(command)
    values = {"--log-service": case.at(harness.LOG_PORT),
              "--instances": case.at(harness.OPERATORS_PORT),
              "--instance": case.at(harness.CALLERS_PORT),
              "--team": "imaging", "--service": "catalog"}
    for flag, value in values.items():
        if flag in words:
            words[words.index(flag) + 1] = value
    files = {"DOCUMENT": harness.ROOT / "examples/darkframe.toml",
             "examples/darkframe.toml":
                 harness.ROOT / "examples/darkframe.toml",
             "entry-1.toml": case.out / "serve.toml",
             "FILE": case.out / "serve.toml",
             "FILE...": case.out / "log.txt", "REQUEST-ID": "r2"}
    words = [str(files.get(word, word)) for word in words]
    if words[0] == "scripts/demo":
        words += ["--seconds", str(DEMO_SECONDS)]
    if words[0] == "guavacross":
        words[0] = str(case.build / "guavacross")
    return words


def expected_exit(command, already_published):
    verb = command.split()[1]
    if verb == "publish":
        return UNCHANGED if already_published else NOT_IN_FORCE
    return NO_ANSWER.get(verb, 0)


def environment(case):
    return {"PATH": "/usr/bin:/bin", "BUILD": str(case.build),
            "GUAVACROSS_SETTINGS": str(case.out / "e0.toml")}


def run(case, words):
    return subprocess.run(words, cwd=harness.ROOT, env=environment(case),
                          stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                          text=True, timeout=COMMAND_TIMEOUT_S)


def run_until_stopped(case, words):
    popen = subprocess.Popen(words, cwd=harness.ROOT, env=environment(case),
                             stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                             text=True)
    try:
        line = popen.stdout.readline()
        check("started" in line or "start" in line,
              f"the first line is not that of a start: {line}")
        popen.terminate()
        output, _ = popen.communicate(timeout=COMMAND_TIMEOUT_S)
    finally:
        popen.kill()
    check(popen.returncode == 0, f"exit code {popen.returncode}: {output}")


def write_settings(case):
    """The settings files that the commands name."""
    platform_entry.write_settings(
        case.out / "e0.toml",
        platform_entry.default_settings(case, 0, case.at(harness.LOG_PORT)))
    values = {"name": "entry-1", "region": "eu", "zone": "a",
              "callers": case.at(harness.CALLERS_PORT),
              "operators": case.at(harness.OPERATORS_PORT),
              "peers": case.at(harness.PEERS_PORT),
              "log_service": case.at(harness.LOG_PORT),
              "instance_list": case.at(harness.LIST_PORT)}
    (case.out / "serve.toml").write_text(
        "".join(f'{key} = "{value}"\n' for key, value in values.items()))
    (case.out / "log.txt").write_text(
        '2026-12-04T00:34:00.153 level=INFO instance=e1 package=requests '
        'event="request refused" request="r2" why="no-matching-class"\n')


def run_command(case, command, earlier=()):
    words = concrete(case, command)
    if command.startswith(RUN_UNTIL_STOPPED) and "--check" not in words:
        run_until_stopped(case, words)
        return
    done = run(case, words)
    published = any("publish" in other for other in earlier)
    check(done.returncode == expected_exit(command, published),
          f"exit code {done.returncode}: {done.stdout[-2000:]}")
    if words[0] == "scripts/demo":
        check(DEMO_CLOSING in done.stdout, done.stdout[-2000:])


def flags_with_defaults(help_text):
    """Flags and defaults in a help text whose lines may be wrapped."""
    text = re.sub(r"\n {10,}", " ", help_text)
    return re.findall(r"^ +--([\w-]+) arg .*\(default: +(\S+)\)$", text,
                      re.MULTILINE)


# Arguments with which a command ends soon by itself.
SHORT_RUNS = {
    "publish": ["--remove", "none"],
    "status": ["--instances", "127.0.0.1:1"],
    "addresses": ["--service", "catalog", "--instance", "127.0.0.1:1"],
    "demo": ["--darkframe"],
}
# Flags that must be given: leaving one out has a message of its own.
REQUIRED = {"publish": "log-service", "status": "instances",
            "addresses": "instance"}


def check_defaults(case, verb, arguments):
    program = str(case.build / "guavacross")
    help_text = run(case, [program, verb, "--help"]).stdout
    defaults = flags_with_defaults(help_text)
    check(defaults or verb not in SHORT_RUNS, f"no default in: {help_text}")
    left_out = run(case, [program, verb, *arguments])
    for flag, value in defaults:
        if f"--{flag}" in arguments:
            continue
        given = run(case, [program, verb, *arguments,
                           f"--{flag}={value.strip(chr(34))}"])
        check((given.returncode, given.stdout)
              == (left_out.returncode, left_out.stdout),
              f"--{flag} {value}: {given.stdout}; left out: {left_out.stdout}")


with harness.Case(__file__) as case, open(DEMO_LOCK, "w") as lock:
    # The demo's ports are fixed; another run of the suite may be using them.
    fcntl.flock(lock, fcntl.LOCK_EX)
    case.start_platform({})
    write_settings(case)
    earlier = []
    for page in PAGES:
        for command in dict.fromkeys(commands_of(page)):
            if command in NOT_RUN:
                print(f"  {page}: {command}: not run, {NOT_RUN[command]}")
                continue
            with case.section(f"{page}: {command}"):
                run_command(case, command, earlier)
            earlier.append(command)
    with case.section("README: the demo's other deployment"):
        run_command(case, "scripts/demo --cedarbloom")
    for verb, arguments in SHORT_RUNS.items():
        with case.section(f"{verb}: a default acts like the same value given"):
            check_defaults(case, verb, arguments)
    for verb, flag in REQUIRED.items():
        with case.section(f"{verb}: a missing --{flag} is called missing"):
            arguments = [a for a in SHORT_RUNS[verb]
                         if a not in (f"--{flag}", "127.0.0.1:1")]
            done = case.run_guavacross(verb, *arguments)
            check(done.returncode == 2 and f"--{flag} is missing" in done.stdout,
                  f"exit code {done.returncode}: {done.stdout}")
