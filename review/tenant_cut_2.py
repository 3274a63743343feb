"""A tenant's limit while one instance is cut off from the others.

The instances' connections to each other go through proxies; all reach the store and
the targets. A tenant with a limit sends less than that, and for some seconds 7.5
times its usual. Its requests that run in any QuotaWindowS must stay within the limit
and its tolerance."""

import random
import typing

from support_2 import *  # noqa: F403

TENANT, KEY = "choir-1", "k-4711"
QUOTA_WINDOW_S, QUOTA_OVERAGE, QUOTA_SLACK = 5, 0.1, 20
HOT_X, HOT_S, CUT_S = 7.5, 6.5, 12.0


class PeerProxy:
    """Carries the connections to an instance's address for peers. Messages
    begin with their sender's name, so that a cut between two instances is made
    by dropping what comes from one of them."""

    def __init__(self, ip, instance_name, instance_ip):
        self.ip, self._name = ip, instance_name
        self._to = f"{instance_ip}:{PORTS['peers']}"
        # Whether nothing passes between these two instances.
        self.is_cut = lambda one, other: False

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip,
                                                  PORTS["peers"])

    async def _serve(self, reader, writer):
        link = {"from": None}
        try:
            other_reader, other_writer = await connect(self._to)
        except (OSError, asyncio.TimeoutError):
            abort(writer)
            return
        both = [asyncio.ensure_future(
                    self._carry(reader, other_writer, link, True)),
                asyncio.ensure_future(
                    self._carry(other_reader, writer, link, False))]
        await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        for each in both:
            each.cancel()
        abort(writer)
        abort(other_writer)

    async def _carry(self, reader, writer, link, is_request):
        while True:
            try:
                data = await reader.read(65536)
            except OSError:
                return
            if not data:
                return
            if is_request and link["from"] is None:
                found = re.search(rb"edge-\d", data)
                link["from"] = found[0].decode() if found else None
            while link["from"] and self.is_cut(link["from"], self._name):
                # As behind a partition: held up, and sent on once it heals.
                await asyncio.sleep(0.02)
            writer.write(data)
            await writer.drain()


class Plan(typing.NamedTuple):
    """When one of the instances is cut off, and what a tenant sends."""
    instances: int
    # Of the tenant's limit, and what it usually sends a second.
    rate_per_s: int
    burst: int
    usual_per_s: int
    cut_off: str
    cut_at_s: float
    hot_at_s: float
    # How many of the instances the tenant's clients use until it is hot.
    instances_before: int


async def play(deployment, plan):
    """Whether the tenant's requests that ran stayed within the limit."""
    allowed = ((plan.rate_per_s * QUOTA_WINDOW_S + plan.burst)
               * (1 + QUOTA_OVERAGE) + QUOTA_SLACK)
    record = deployment.record
    rng = random.Random(7)
    await deployment.start_store()
    await deployment.add_targets("engrave-api", 8,
                                 work=lambda request: (0.03, 400))
    deployment.publish(
        [{"Name": "score-lookup", "PathPrefix": "/score/", "Kind": "safe",
          "TimeoutMs": 1500, "SloMs": 400, "Service": "engrave-api"}],
        ["engrave-api"],
        Tenants={"Columns": ["Name", "ApiKeys", "Priority", "RatePerS",
                             "Burst"],
                 "Rows": [[TENANT, [KEY], 1, plan.rate_per_s,
                          plan.burst]]})
    cut = {"on": False}
    peers_port = PORTS["peers"]
    proxies = []
    for index in range(plan.instances):
        proxies.append(PeerProxy(deployment.ip(100 + index), f"edge-{index}",
                                 deployment.ip(1 + index)))
        proxies[-1].is_cut = lambda one, other: (
            cut["on"] and plan.cut_off in (one, other))
        await proxies[-1].start()
    for index in range(plan.instances):
        deployment.instances.append(Instance(
            deployment.folder, f"edge-{index}", deployment.ip(1 + index),
            "zone-a", [proxy.ip for proxy in proxies],
            deployment.store.address,
            more=f'peers_advertised = "{proxies[index].ip}:{peers_port}"\n'))
        deployment.instances[-1].start()
    await deployment.wait_ready()
    await asyncio.sleep(4)

    begun = time.monotonic()
    sent, answers = {}, {}

    async def ask():
        request_id = deployment.new_id()
        is_early = time.monotonic() < begun + plan.hot_at_s
        instance = rng.choice(deployment.instances[:plan.instances_before if is_early
                                                  else plan.instances])
        sent[request_id] = time.monotonic()
        record.add("sent", id=request_id, to=instance.name)
        answer = await exchange(instance.front, request_bytes(
            "GET", f"/score/{request_id}", request_id, 1500,
            fields=[("Authorization", f"Bearer {KEY}")]), 3)
        how = "none" if answer is None else str(answer[0])
        answers[how] = answers.get(how, 0) + 1
        record.add("answered", id=request_id, how=how)

    async def cut_off():
        if trouble():
            await asyncio.sleep(plan.cut_at_s)
            cut["on"] = True
            record.add("cut off", instance=plan.cut_off)
            await asyncio.sleep(CUT_S / 2)
            instance = next(each for each in deployment.instances
                            if each.name == plan.cut_off)
            addresses = await exchange(instance.directory, message(
                f"GET /resolve?Name={HOST}&Region=r&Zone=zone-a HTTP/1.1",
                [("Host", instance.directory)]), 2)
            record.add("still cut off", is_ready=await instance.is_ready(),
                       addresses=addresses and addresses[2].decode())
            await asyncio.sleep(CUT_S / 2)
            cut["on"] = False
            record.add("healed", instance=plan.cut_off)

    tasks = [asyncio.ensure_future(cut_off())]
    while (now := time.monotonic() - begun) < plan.cut_at_s + CUT_S + 1:
        is_hot = plan.hot_at_s <= now < plan.hot_at_s + HOT_S
        rate = plan.usual_per_s * (HOT_X if is_hot else 1)
        tasks.append(asyncio.ensure_future(ask()))
        await asyncio.sleep(rng.expovariate(rate))
    await asyncio.gather(*tasks)

    runs = sorted((ran, sent[request_id])
                  for target in deployment.targets
                  for ran, request_id in zip(target.run_times, target.runs)
                  if request_id in sent)
    most, at = 0, 0.0
    for start in sorted(sent.values()):
        count = sum(1 for ran, sent_at in runs
                    if sent_at >= start and ran <= start + QUOTA_WINDOW_S)
        if count > most:
            most, at = count, start - begun
    summary = {"sent": len(sent), "answers": answers, "run": len(runs),
               "most in a window": most, "from second": round(at, 2),
               "allowed": allowed}
    record.add("summary", **summary)
    print(summary)
    if answers.get("200", 0) < plan.usual_per_s * plan.hot_at_s / 2:
        raise RuntimeError("most requests weren't served")
    return most <= allowed

