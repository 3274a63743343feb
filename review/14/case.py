"""Instances get SIGTERM in turn, the owner of a tenant's limit first, while the
tenant is hot.

Clients take addresses from the directory, keep them for as long as it says, a third
of them three times as long, and send each request on a new connection to one of them
at random. See claim.txt."""

import asyncio
import json
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from support_2 import (HOST, exchange, main, message, request_bytes,
                       trouble)  # noqa: E402
from tenant_cut_2 import (HOT_S, HOT_X, QUOTA_OVERAGE, QUOTA_SLACK,
                          QUOTA_WINDOW_S)  # noqa: E402

TENANT, KEY = "choir-1", "k-4711"
INSTANCES, CLIENTS = 3, 45
# Of the three names, rendezvous hashing gives the tenant to the first one.
STOPPED = ["edge-0", "edge-2"]
GAP_S = 1.0
RATE_PER_S, BURST, USUAL_PER_S = 100, 20, 80
TIMEOUT_MS, DEADLINE_MS = 750, 1500
HOT_AT_S, SIGTERM_AT_S = 8.0, 7.5
END_S = HOT_AT_S + HOT_S + 1


class Client:
    """Keeps an answer of the directory."""

    def __init__(self, deployment, rng, number):
        self.deployment, self.rng = deployment, rng
        self._keeps = 3 if number % 3 == 0 else 1
        self._addresses, self._until = [], 0.0

    async def address(self):
        if time.monotonic() >= self._until:
            await self._resolve()
        return self.rng.choice(self._addresses) if self._addresses else None

    async def _resolve(self):
        nodes = self.rng.sample(self.deployment.instances, INSTANCES)
        for node in nodes:
            answer = await exchange(node.directory, message(
                f"GET /resolve?Name={HOST}&Region=r&Zone=zone-a HTTP/1.1",
                [("Host", node.directory)]), 1)
            if answer is not None and answer[0] == 200:
                fields = json.loads(answer[2])
                self._addresses = fields["Addresses"]
                self._until = (time.monotonic()
                               + self._keeps * min(fields["TtlS"], 5))
                return

    def failed(self, address):
        self._addresses = [each for each in self._addresses if each != address]


def most_in_a_window(deployment, sent):
    """The most requests that were sent, and ran, in one QuotaWindowS."""
    runs = [(ran, sent[request_id]) for target in deployment.targets
            for ran, request_id in zip(target.run_times, target.runs)
            if request_id in sent]
    return max(sum(1 for ran, sent_at in runs
                   if sent_at >= begin and ran <= begin + QUOTA_WINDOW_S)
               for begin in sent.values())


async def play(deployment):
    allowed = ((RATE_PER_S * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVERAGE)
               + QUOTA_SLACK)
    record, rng = deployment.record, random.Random(7)
    await deployment.start_store()
    await deployment.add_targets("engrave-api", 16,
                                 work=lambda request: (0.03, 400))
    deployment.publish(
        [{"Name": "score-lookup", "PathPrefix": "/score/", "Kind": "safe",
          "TimeoutMs": TIMEOUT_MS, "SloMs": 400, "Service": "engrave-api"}],
        ["engrave-api"],
        Tenants={"Columns": ["Name", "ApiKeys", "Priority", "RatePerS",
                             "Burst"],
                 "Rows": [[TENANT, [KEY], 1, RATE_PER_S, BURST]]})
    deployment.add_instances(INSTANCES)
    await deployment.wait_ready()
    await asyncio.sleep(4)
    begun = time.monotonic()
    clients = [Client(deployment, rng, number) for number in range(CLIENTS)]
    sent, answers = {}, {}

    async def ask():
        client = rng.choice(clients)
        address = await client.address()
        if address is None:
            return
        request_id = deployment.new_id()
        sent[request_id] = time.monotonic()
        record.add("sent", id=request_id, to=address)
        answer = await exchange(address, request_bytes(
            "GET", f"/score/{request_id}", request_id, DEADLINE_MS,
            fields=[("Authorization", f"Bearer {KEY}")]), 3)
        how = "none" if answer is None else str(answer[0])
        if answer is None:
            client.failed(address)
        answers[how] = answers.get(how, 0) + 1
        record.add("answered", id=request_id, how=how)

    async def stop_and_start(name, at):
        """As the platform does: SIGTERM, and a start after the end."""
        await asyncio.sleep(max(0, begun + at - time.monotonic()))
        instance = next(each for each in deployment.instances
                        if each.name == name)
        record.add("SIGTERM", instance=name)
        instance.signal(signal.SIGTERM)
        while instance.process.poll() is None:
            await asyncio.sleep(0.05)
        record.add("ended", instance=name, code=instance.process.poll())
        await asyncio.sleep(0.5)
        instance.start()
        record.add("started", instance=name)

    tasks = [asyncio.ensure_future(
                 stop_and_start(name, SIGTERM_AT_S + number * GAP_S))
             for number, name in enumerate(STOPPED if trouble() else [])]
    while (now := time.monotonic() - begun) < END_S:
        is_hot = HOT_AT_S <= now < HOT_AT_S + HOT_S
        tasks.append(asyncio.ensure_future(ask()))
        await asyncio.sleep(
            rng.expovariate(USUAL_PER_S * (HOT_X if is_hot else 1)))
    await asyncio.gather(*tasks)
    summary = {"sent": len(sent), "answers": answers,
               "most in a window": most_in_a_window(deployment, sent),
               "allowed": round(allowed, 1)}
    record.add("summary", **summary)
    print(summary)
    if answers.get("200", 0) < USUAL_PER_S * HOT_AT_S / 2:
        raise RuntimeError("most requests weren't served")
    return summary["most in a window"] <= allowed


main(__file__, play)
