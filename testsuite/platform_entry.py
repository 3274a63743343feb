"""Instances on the platform for cases with real processes."""

import json

import harness


class Entry(harness.Process):
    """An instance on the platform: the real program, with settings as the
    platform would fill them in."""

    def __init__(self, case, number, store, seeds=(), **changes):
        port = 9000 + 10 * number
        self.front, self.ready, self.directory = (
            case.at(port), case.at(port + 1), case.at(port + 2))
        self.peers = case.at(port + 3)
        self.settings_path = case.out / f"e{number}.toml"
        self.settings = {
            "name": f"e{number}", "region": "r", "zone": "zone-a",
            "callers": self.front, "ready": self.ready,
            "directory": self.directory, "peers": self.peers,
            "operators": case.at(port + 4),
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
