"""Connections to targets go silent while answers are on their way.

Three instances, six targets behind proxies that carry 15 Mbit/s a connection.
Clients download. Five times half of the open connections to targets of two of the
instances go silent for good, without a reset; new ones work. A request that is
unanswered at its route's TimeoutMs must have its final answer, or the end of its
connection, half a second later."""

import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from support_2 import *  # noqa: E402,F403

TIMEOUT_S = 4.0
TIME_LIMIT_S = 8.0
STABLE_S = 3.0
ANSWER_SLACK_S = 0.5
RATE_PER_S = 60
INSTANCES, HIT = 3, 2
SHARE_SILENT = 0.5
BYTES_PER_S = 15e6 / 8
PIECE = 8192
SILENT_AT_S = (4.0, 12.0, 20.0, 28.0, 36.0)
LENGTH_S = 38.0


class Proxy:
    """Carries connections to a target; each may go silent for good."""

    # Of all proxies.
    links = []

    def __init__(self, ip, port, target):
        self.address = f"{ip}:{port}"
        self._ip, self._port, self._target = ip, port, target

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self._ip,
                                                  self._port)

    async def _serve(self, reader, writer):
        other_reader, other_writer = await connect(self._target.address)
        link = {"silent": False,
                "from": writer.get_extra_info("peername")[0]}
        self.links.append(link)
        both = [asyncio.ensure_future(self._carry(reader, other_writer, link)),
                asyncio.ensure_future(self._carry(other_reader, writer, link))]
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            while link["silent"]:
                await asyncio.sleep(1)
        finally:
            for each in both:
                each.cancel()
            self.links.remove(link)
            writer.close()
            other_writer.close()

    async def _carry(self, reader, writer, link):
        while True:
            data = await reader.read(PIECE)
            while link["silent"]:
                await asyncio.sleep(1)
            if not data:
                return
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(len(data) / BYTES_PER_S)


async def play(deployment):
    record = deployment.record
    rng = random.Random(7)
    await deployment.start_store()
    proxies = []
    for index in range(6):
        target = Target(deployment.store, record, deployment.ip(20 + index),
                        PORTS["target"], f"i-desk-{index}", "stylist-desk",
                        work=lambda request: (0.057, rng.randint(300_000,
                                                                 540_000)))
        proxy = Proxy(deployment.ip(60 + index), PORTS["target"], target)
        await target.start(advertised=proxy.address)
        await proxy.start()
        proxies.append(proxy)
    deployment.publish(
        [{"Name": "lookbook-pull", "PathPrefix": "/pull/", "Kind": "download",
          "TimeoutMs": int(TIMEOUT_S * 1000), "SloMs": 1200,
          "Service": "stylist-desk"}], ["stylist-desk"])
    for index in range(INSTANCES):
        ip = deployment.ip(1 + index)
        deployment.instances.append(Instance(
            deployment.folder, f"edge-{index}", ip, "zone-a",
            [deployment.ip(1 + each) for each in range(INSTANCES)],
            deployment.store.address, more=f'targets_from = "{ip}"\n'))
        deployment.instances[-1].start()
    await deployment.wait_ready()
    await asyncio.sleep(2)

    begun = time.monotonic()
    results = []
    silences = []

    async def download():
        request_id = deployment.new_id()
        instance = rng.choice(deployment.instances)
        sent = time.monotonic()
        record.add("sent", id=request_id, to=instance.name)
        how, ended = "nothing", None
        writer = None
        try:
            reader, writer = await connect(instance.front)
            writer.write(request_bytes("GET", f"/pull/{request_id}", request_id,
                                       int(TIME_LIMIT_S * 1000)))
            status, _, body, _ = await asyncio.wait_for(read_answer(reader),
                                                        TIME_LIMIT_S)
            how, ended = str(status), time.monotonic()
            if status == 200 and body != body_of(request_id, len(body)):
                how = "foreign bytes"
        except Ended as error:
            how, ended = f"connection ended {error.args[0]}", time.monotonic()
        except (asyncio.TimeoutError, OSError):
            pass
        finally:
            if writer is not None:
                abort(writer)
        record.add("answered", id=request_id, how=how,
                   after_s=None if ended is None else round(ended - sent, 3))
        results.append((sent, ended, how))

    async def silence():
        if not trouble():
            return
        for at in SILENT_AT_S:
            await asyncio.sleep(max(0, begun + at - time.monotonic()))
            for instance in rng.sample(deployment.instances, HIT):
                links = [link for link in Proxy.links
                         if not link["silent"] and link["from"] == instance.ip]
                count = int(SHARE_SILENT * len(links))
                for link in rng.sample(links, count):
                    link["silent"] = True
                record.add("connections silent", instance=instance.name,
                           of=len(links), count=count)
            silences.append(time.monotonic())

    tasks = [asyncio.ensure_future(silence())]
    while time.monotonic() < begun + LENGTH_S:
        tasks.append(asyncio.ensure_future(download()))
        await asyncio.sleep(rng.expovariate(RATE_PER_S))
    await asyncio.gather(*tasks)

    def in_touch(moment):
        return not any(0 <= moment - at < STABLE_S for at in silences)

    long = [(sent, ended) for sent, ended, _ in results
            if (ended is None or ended > sent + TIMEOUT_S)
            and in_touch(sent + TIMEOUT_S)
            and in_touch(sent + TIMEOUT_S + ANSWER_SLACK_S)]
    late = [1 for sent, ended in long
            if ended is None or ended > sent + TIMEOUT_S + ANSWER_SLACK_S]
    never = sum(1 for _, ended, _ in results if ended is None)
    served = sum(1 for _, _, how in results if how == "200")
    summary = {"requests": len(results), "served": served,
               "unanswered at TimeoutMs, in touch": len(long),
               "of these unanswered 0.5 s later": len(late),
               "unanswered at the client's time limit": never}
    record.add("summary", **summary)
    print(summary)
    if served < len(results) / 2:
        raise RuntimeError("most requests weren't served")
    return not (len(late) >= 8 and len(late) > len(long) / 4)


main(__file__, play)
