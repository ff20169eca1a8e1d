"""Nodes that start while a dead replica is still listed forget the one that has its address."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_2"))
import harness as h

RECOVER_S = 12.0  # recoverS
REUSE_S = 2.0  # addressReuseS
LAPSE_S = 3.6  # three heartbeats of 1.2 s
JUDGED_S = 15.0


async def case(record, folder):
    net = h.Network()
    own = net.host(1)
    store = h.Store(keep_s=20.0)
    await store.open(own)

    async def replica(service, instance, port=0):
        started = h.Replica(record, store, service, instance, "z1")
        await started.open(own, port)
        record("replica %s of %s starts at port %d" % (instance, service, started.address[1]))
        return started

    # Ids are drawn at random by the platform; these are in the order that matters.
    await replica("pool", "i-70")
    await replica("pool", "i-71")
    old_pool = await replica("pool", "i-91")
    old_portal = await replica("portal", "i-92")
    routes = [h.route("status", "safe", "portal"), h.route("draft", "safe", "pool")]
    store.put("keyed.op", "config", h.config(1, routes, ["pool", "portal"]))

    nodes = []
    results = []
    try:
        for number in range(3):
            seeds = [net.host(10 + n) for n in range(3)]
            node = h.Node(record, folder, "node-%d" % number, net.host(10 + number),
                          "z%d" % (number + 1), seeds, store.address)
            await node.start()
            nodes.append(node)
        for node in nodes:
            await node.wait_ready()

        async def ask(node, path):
            headers = {"Host": "ficu95.example", "X-Bluebellpond-Request-Id": h.request_id(),
                       "X-Bluebellpond-Deadline-Ms": "1500"}
            sent = h.now()
            got = await h.call(node.callers, "GET", path, headers)
            status = got[0] if got else None
            record("%s %s to %s, sent at %.3f: %s"
                   % (headers["X-Bluebellpond-Request-Id"], path, node.name, sent, status))
            results.append((sent, status))

        async def load():
            turn = 0
            while True:
                turn += 1
                path = "/draft/x" if turn % 8 == 0 else "/status/x"
                asyncio.create_task(ask(nodes[turn % 3], path))
                await asyncio.sleep(0.05)

        traffic = asyncio.create_task(load())
        # The store deletes what is older than 20 s, apart from the newest record of each key.
        await asyncio.sleep(22)
        crashed = h.now()
        if h.TROUBLE:
            record("the replicas i-91 of pool and i-92 of portal crash for good")
            old_pool.end()
            old_portal.end()
            await asyncio.sleep(REUSE_S + 0.1)
            # Their addresses go to the other service.
            await replica("portal", "i-11", old_pool.address[1])
            await replica("pool", "i-12", old_portal.address[1])
            await asyncio.sleep(0.2)
            record("all nodes are killed at the same moment")
            for node in nodes:
                node.signal(signal.SIGKILL)
            for node in nodes:
                await node.process.wait()
            await asyncio.sleep(0.2)
            for node in nodes:
                await node.start()
            for node in nodes:
                await node.wait_ready()
            record("all nodes are ready again")
        back = h.now()
        if h.TROUBLE:
            await asyncio.sleep(max(0.0, crashed + LAPSE_S - h.now()))
            record("the entries of i-91 and i-92 are removed after three heartbeats of silence")
            old_pool.remove_entry()
            old_portal.remove_entry()
        await asyncio.sleep(max(0.0, back + RECOVER_S + JUDGED_S - h.now()))
        traffic.cancel()
        await asyncio.sleep(2)

        def served(start, end):
            judged = [status for sent, status in results if start <= sent < end]
            return sum(status == 200 for status in judged), len(judged)

        before = served(crashed - 10, crashed)
        after = served(back + RECOVER_S, back + RECOVER_S + JUDGED_S)
        record("served before the faults: %d of %d" % before)
        record("served from %.0f s after the nodes were back: %d of %d" % ((RECOVER_S,) + after))
        if before[0] * 4 < before[1]:
            raise h.CouldNotRun("too little is served before the faults")
        return after[0] * 4 >= after[1]
    finally:
        for node in nodes:
            await node.end()


h.main(case)
