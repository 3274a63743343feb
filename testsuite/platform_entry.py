"""Entry instances in platform mode, for the integration cases."""

import http.client
import json

import harness


# All instances use the same ports, each on its own loopback address.
(FRONT_PORT, READY_PORT, DIRECTORY_PORT, PEERS_PORT, OPERATORS_PORT,
 RELAY_PORT) = range(9000, 9006)
# Second octets: instance N has the case's address with FIRST_IP_PART + N there,
# and the proxy between it and its peers has FIRST_PROXY_IP_PART + N.
FIRST_IP_PART = 100
FIRST_PROXY_IP_PART = 180


def ip_of(case, number, first=FIRST_IP_PART):
    """The IP address of an instance, which peers use as a seed."""
    parts = case.ip.split(".")
    return ".".join([parts[0], str(first + number), *parts[2:]])


def front_of(case, number):
    """The address on which an instance accepts callers."""
    return f"{ip_of(case, number)}:{FRONT_PORT}"


def peers_of(case, number):
    """The address on which an instance accepts its peers."""
    return f"{ip_of(case, number)}:{PEERS_PORT}"


def peers_proxy_of(case, number):
    """The address of the proxy in front of an instance's peer address."""
    return f"{ip_of(case, number, FIRST_PROXY_IP_PART)}:{PEERS_PORT}"


def default_settings(case, number, store, seeds=()):
    """The settings of an instance as the platform sets them."""
    ip = ip_of(case, number)
    front, ready, directory, peers, operators, relay = (
        f"{ip}:{port}" for port in (FRONT_PORT, READY_PORT, DIRECTORY_PORT,
                                    PEERS_PORT, OPERATORS_PORT, RELAY_PORT))
    return {
        "name": f"e{number}", "region": "r", "zone": "zone-a",
        "callers": front, "ready": ready, "directory": directory,
        "peers": peers, "operators": operators, "relay": relay,
        "seeds": list(seeds), "store": store, "drain_ms": 2000,
        "grace_s": 6, "address_lifetime_s": 2, "max_descriptors": 1024,
        "retry_share": 0.2, "retry_extra": 62,
        "probes_per_target_second": 60}


def write_settings(path, settings):
    """Writes a settings file in TOML."""
    path.write_text("".join(f"{key} = {json.dumps(value)}\n"
                            for key, value in settings.items()))


class KeptConnection:
    """A caller's connection, used until the instance closes it and then opened
    anew. Requests aren't retried."""

    def __init__(self, address, timeout_s):
        self._connection = http.client.HTTPConnection(address,
                                                      timeout=timeout_s)

    def send(self, method, path, request, body, deadline_ms):
        """Sends a request; returns the answer, or None without a whole one."""
        try:
            self._connection.request(
                method, path, body=body,
                headers={"Host": "shop.example", "X-Request-Id": request,
                         "X-Deadline-Ms": str(deadline_ms)})
            response = self._connection.getresponse()
            answer = harness.Answer(response.status, response.getheaders(),
                                    response.read())
        except (OSError, http.client.HTTPException):
            self._connection.close()
            return None
        if answer.header("Connection") == "close":
            self._connection.close()
        return answer


class Entry(harness.Process):
    """An instance in platform mode."""

    def __init__(self, case, number, store, seeds=(), **changes):
        self.settings_path = case.out / f"e{number}.toml"
        self.settings = default_settings(case, number, store, seeds)
        self.front, self.ready, self.directory, self.peers = (
            self.settings[key]
            for key in ("callers", "ready", "directory", "peers"))
        self.write_settings(**changes)
        super().__init__(case, f"e{number}", [
            case.build / "guavacross", "platform", "--settings",
            self.settings_path])

    def write_settings(self, **changes):
        self.settings.update(changes)
        write_settings(self.settings_path, self.settings)

    def is_ready(self):
        answer = harness.try_call(self.ready, "GET", "/ready", timeout_s=2)
        return answer is not None and answer.status == 200

    def call(self, method, path, request, **named):
        return harness.call(self.front, method, path, headers={
            "Host": "shop.example", "X-Request-Id": request,
            "X-Deadline-Ms": "1500"}, **named)

    def status(self, path, request, method="GET", **named):
        return self.call(method, path, request, **named).status
