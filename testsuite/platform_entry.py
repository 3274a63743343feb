"""Instances on the platform for cases with real processes."""

import json

import harness


# All instances use the same ports, each on an IP number of its own.
FRONT_PORT, READY_PORT, DIRECTORY_PORT, PEERS_PORT, OPERATORS_PORT = range(
    9000, 9005)
# Instance N of a case has the case's IP number with this + N as second part, and
# a proxy between it and the other instances has this + N.
FIRST_IP_PART = 100
FIRST_PROXY_IP_PART = 180


def ip_of(case, number, first=FIRST_IP_PART):
    """The IP number of an instance, by which others name it as a seed."""
    parts = case.ip.split(".")
    return ".".join([parts[0], str(first + number), *parts[2:]])


def front_of(case, number):
    """Where an instance listens for callers."""
    return f"{ip_of(case, number)}:{FRONT_PORT}"


def peers_of(case, number):
    """Where an instance listens for the others."""
    return f"{ip_of(case, number)}:{PEERS_PORT}"


def peers_proxy_of(case, number):
    """Where a proxy before an instance's address for the others listens."""
    return f"{ip_of(case, number, FIRST_PROXY_IP_PART)}:{PEERS_PORT}"


class Entry(harness.Process):
    """An instance on the platform: the real program, with settings as the
    platform would fill them in."""

    def __init__(self, case, number, store, seeds=(), **changes):
        ip = ip_of(case, number)
        self.front, self.ready, self.directory, self.peers, operators = (
            f"{ip}:{port}" for port in (FRONT_PORT, READY_PORT, DIRECTORY_PORT,
                                        PEERS_PORT, OPERATORS_PORT))
        self.settings_path = case.out / f"e{number}.toml"
        self.settings = {
            "name": f"e{number}", "region": "r", "zone": "zone-a",
            "callers": self.front, "ready": self.ready,
            "directory": self.directory, "peers": self.peers,
            "operators": operators,
            "seeds": list(seeds), "store": store, "drain_ms": 2000,
            "grace_s": 6, "address_lifetime_s": 2, "max_descriptors": 1024,
            "retry_share": 0.2, "retry_extra": 62,
            "probes_per_target_second": 60}
        self.write_settings(**changes)
        super().__init__(case, f"e{number}", [
            case.build / "guavacross", "platform", "--settings",
            self.settings_path])

    def write_settings(self, **changes):
        self.settings.update(changes)
        self.settings_path.write_text("".join(
            f"{key} = {json.dumps(value)}\n"
            for key, value in self.settings.items()))

    def is_ready(self):
        answer = harness.try_call(self.ready, "GET", "/ready", timeout_s=2)
        return answer is not None and answer.status == 200

    def call(self, method, path, request, **named):
        return harness.call(self.front, method, path, headers={
            "Host": "shop.example", "X-Request-Id": request,
            "X-Deadline-Ms": "1500"}, **named)

    def status(self, path, request, method="GET", **named):
        return self.call(method, path, request, **named).status
