"""A key that was taken away still runs while the nodes' open reads of the store are silent."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_2"))
import harness as h

APPLY_S = 2.0  # configApplyMs
STABLE_S = 3.0  # stableWindowMs
ROUNDS = 5


async def case(record, folder):
    net = h.Network()
    own = net.host(1)
    store = h.Store()
    await store.open(own)
    replicas = []
    for number in range(2):
        replica = h.Replica(record, store, "portal", "i-%d" % number, "z1")
        await replica.open(own)
        replicas.append(replica)
    keys = {"k%d" % n for n in range(ROUNDS)}
    version = 0

    def write_config(timeout_ms=1500):
        nonlocal version
        version += 1
        routes = [h.route("status", "safe", "portal", timeout_ms=timeout_ms)]
        tenants = [{"name": "t", "apiKeys": ["stays"] + sorted(keys)}]
        store.put("keyed.op", "config", h.config(version, routes, ["portal"], tenants))
        record("version %d is acknowledged, keys %s" % (version, sorted(keys)))
        return h.now()

    write_config()
    proxies, nodes = [], []
    try:
        for number in range(3):
            proxy = h.Proxy(store.address[:2])
            await proxy.open(own)
            proxies.append(proxy)
            seeds = [net.host(10 + n) for n in range(3)]
            node = h.Node(record, folder, "node-%d" % number, net.host(10 + number),
                          "z%d" % (number + 1), seeds, proxy.address)
            await node.start()
            nodes.append(node)
        for node in nodes:
            await node.wait_ready()
        await asyncio.sleep(5)

        async def ask(node, key):
            headers = {"Host": "ficu95.example", "X-Bluebellpond-Request-Id": h.request_id(),
                       "X-Bluebellpond-Deadline-Ms": "1500", "X-Bluebellpond-Key": key}
            sent = h.now()
            got = await h.call(node.callers, "GET", "/status/x", headers)
            status = got[0] if got else None
            record("%s to %s with key %s, sent at %.3f: %s"
                   % (headers["X-Bluebellpond-Request-Id"], node.name, key, sent, status))
            return sent, status

        async def load():
            while True:
                await asyncio.gather(*(ask(node, "stays") for node in nodes))
                await asyncio.sleep(0.25)

        calm = asyncio.create_task(load())
        late = 0
        for number in range(ROUNDS):
            # A first version, after which the nodes begin to wait for the next one.
            write_config(timeout_ms=1500 + number)
            await asyncio.sleep(0.75)
            silent = 0
            for proxy in proxies:
                for link in proxy.links:
                    if h.TROUBLE and not link.silent and link.waits():
                        link.silent = True
                        silent += 1
            record("%d open connections to the store go silent; new ones work" % silent)
            await asyncio.sleep(STABLE_S + 0.1)
            key = "k%d" % number
            keys.discard(key)
            acked = write_config(timeout_ms=1600 + number)
            await asyncio.sleep(max(0.0, acked + APPLY_S + 0.05 - h.now()))
            until = acked + 8.0
            while h.now() < until:
                answers = await asyncio.gather(*(ask(node, key) for node in nodes))
                ran = [sent - acked for sent, status in answers if status == 200]
                late += len(ran)
                for after in ran:
                    record("BROKEN: a dropped key runs, sent %.3f s after the ack" % after)
                await asyncio.sleep(0.05)
        calm.cancel()
        record("%d requests ran with a dropped key" % late)
        return late == 0
    finally:
        for node in nodes:
            await node.end()


h.main(case)
