"""Stand-ins of the platform, its replicas and its clients, and the nodes as processes.

Standard library only. Every address is a loopback address. All times are in seconds of the
monotonic clock, printed from the start of the script.
"""

import asyncio
import base64
import json
import os
import random
import signal
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
NODE = os.path.join(ROOT, "target", "release", "bluebellpond")
START = time.monotonic()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def now():
    return time.monotonic() - START


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        self.file.write("%9.3f %s\n" % (now(), text))
        self.file.flush()


class Network:
    """Loopback addresses that other runs on the machine don't use."""

    def __init__(self):
        self.prefix = "127.%d.%d." % (random.randint(100, 250), random.randint(1, 250))

    def host(self, number):
        return self.prefix + str(number)


async def read_head(reader):
    """Returns the first line and the headers of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        whole = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            whole += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return whole
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer_bytes(status, body=b"", headers=None):
    lines = ["HTTP/1.1 %d x" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % pair for pair in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: keyed topics with a history that expires, over HTTP.

    Records of a topic older than `keep_s` are deleted, but the newest record of each key is
    retained and returned by `log-newest` in the order of the keys.
    """

    def __init__(self, keep_s=20.0):
        self.keep_s = keep_s
        self.topics = {}
        self.appended = asyncio.Event()

    async def open(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = self.server.sockets[0].getsockname()

    def put(self, topic, key, value):
        """Appends a record, and acknowledges it to the writer by returning."""
        self.put_bytes(topic, key, b"" if value is None else json.dumps(value).encode())

    def put_bytes(self, topic, key, data):
        log = self.topics.setdefault(topic, {"first": 0, "records": [], "newest": {}})
        self.append(log, key.encode(), data)

    def append(self, log, key, data):
        log["records"].append((now(), key, data))
        if data:
            log["newest"][key] = data
        else:
            log["newest"].pop(key, None)
        self.appended.set()
        self.appended = asyncio.Event()

    def expire(self, log):
        while log["records"] and now() - log["records"][0][0] > self.keep_s:
            log["records"].pop(0)
            log["first"] += 1

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                writer.write(await self.answer(line.split(" ")[1], body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, target, body):
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        log = self.topics.setdefault(
            args.get("topic", ""), {"first": 0, "records": [], "newest": {}}
        )
        self.expire(log)
        await asyncio.sleep(0.004)
        if path == "/bluebellpond/log-append":
            return self.append_body(log, body)
        if path == "/bluebellpond/log-newest":
            return self.page(log, args.get("after", "").encode())
        if path == "/bluebellpond/log-read":
            return await self.read(log, int(args["from"]), int(args.get("waitMs", 0)) / 1000)
        return answer_bytes(400)

    def append_body(self, log, body):
        count = 0
        while body:
            (length,) = struct.unpack(">I", body[:4])
            content, body = body[4 : 4 + length], body[4 + length :]
            key = content[1 : 1 + content[0]]
            self.append(log, key, content[1 + content[0] :])
            count += 1
        end = log["first"] + len(log["records"])
        return answer_bytes(200, json.dumps({"offset": end - count, "end": end}).encode())

    def page(self, log, after):
        """At most 500 records or 1 MB, in the order of their keys."""
        keys = sorted(key for key in log["newest"] if key > after)
        items, size = [], 0
        for key in keys:
            value = base64.b64encode(log["newest"][key]).decode()
            size += len(value)
            if items and (len(items) == 500 or size > 1000000):
                break
            items.append({"key": key.decode(), "value": value, "offset": 0})
        end = log["first"] + len(log["records"])
        page = {"items": items, "hasMore": len(keys) > len(items), "end": end}
        return answer_bytes(200, json.dumps(page).encode())

    async def read(self, log, start, wait_s):
        until = now() + min(wait_s, 30.0)
        while True:
            self.expire(log)
            end = log["first"] + len(log["records"])
            if start < log["first"] or start > end:
                return answer_bytes(410, json.dumps({"first": log["first"]}).encode())
            if start < end or now() >= until:
                break
            try:
                await asyncio.wait_for(self.appended.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        data = struct.pack(">QQ", end, log["first"])
        for _, key, value in log["records"][start - log["first"] :]:
            data += struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value
        return answer_bytes(200, data)


class Link:
    """One connection through a proxy."""

    def __init__(self):
        self.silent = False
        self.asked = None
        self.answered = None

    def waits(self):
        """True while a request was forwarded and nothing of its answer has arrived."""
        return self.asked is not None and (self.answered is None or self.answered < self.asked)


class Proxy:
    """Forwards connections. A connection may be made silent for good; new ones work."""

    def __init__(self, target):
        self.target = target
        self.links = set()

    async def open(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        link = Link()
        self.links.add(link)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            self.links.discard(link)
            return

        async def copy(source, sink, field):
            try:
                while data := await source.read(65536):
                    if link.silent:
                        continue
                    setattr(link, field, now())
                    sink.write(data)
                    await sink.drain()
            except ConnectionError:
                pass
            if not link.silent or field == "asked":
                sink.close()

        await asyncio.gather(
            copy(reader, far_writer, "asked"), copy(far_reader, writer, "answered")
        )
        far_writer.close()
        writer.close()
        self.links.discard(link)


class Replica:
    """A sound plain replica. `handle(path, headers, body)` returns (status, body, headers)."""

    def __init__(self, record, store, service, instance, zone, heartbeat_s=1.2):
        self.record, self.store = record, store
        self.service, self.instance, self.zone = service, instance, zone
        self.heartbeat_s = heartbeat_s
        self.slots, self.queue, self.work_s = 6, 24, 0.015
        self.running = self.waiting = 0
        self.free = asyncio.Condition()
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.tasks = set()
        self.runs = []

    async def open(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = self.server.sockets[0].getsockname()
        self.write_entry()

    def write_entry(self):
        self.store.put("keyed.servers", self.instance, {
            "service": self.service,
            "address": "%s:%d" % self.address[:2],
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        })

    def remove_entry(self):
        self.store.put("keyed.servers", self.instance, None)

    def end(self):
        """Ends the process: its port is closed and its connections end."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                writer.write(await self.answer(line, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def answer(self, line, headers, body):
        path = line.split(" ")[1]
        if path == "/health":
            return await self.health()
        request = headers.get("x-bluebellpond-request-id", "")
        own = {"X-Bluebellpond-Request-Id": request}
        not_run = dict(own, **{"X-Bluebellpond-Not-Executed": "1"})
        expected = headers.get("x-bluebellpond-expect-instance")
        if expected not in (None, self.instance):
            self.record("replica %s %s: 421" % (self.instance, request))
            return answer_bytes(421, headers=not_run)
        if self.running >= self.slots and self.waiting >= self.queue:
            self.record("replica %s %s: full, not run" % (self.instance, request))
            return answer_bytes(503, headers=not_run)
        await self.take_slot()
        tenant = headers.get("x-bluebellpond-tenant", "-")
        self.runs.append((now(), request))
        self.record("replica %s runs %s %s, tenant %s" % (self.instance, request, path, tenant))
        await asyncio.sleep(self.work_s)
        await self.free_slot()
        own["X-Bluebellpond-Response-Signature"] = "s." + request
        return answer_bytes(200, ("ran " + request).encode(), own)


    async def take_slot(self):
        self.waiting += 1
        async with self.free:
            while self.running >= self.slots:
                await self.free.wait()
            self.running += 1
        self.waiting -= 1

    async def free_slot(self):
        self.running -= 1
        async with self.free:
            self.free.notify()

    async def health(self):
        """Waits for a slot, or is rejected, as any other request."""
        named = {"X-Bluebellpond-Instance-Id": self.instance}
        if self.running >= self.slots and self.waiting >= self.queue:
            return answer_bytes(503, headers=named)
        await self.take_slot()
        await self.free_slot()
        return answer_bytes(200 if self.state == "ready" else 503, headers=named)


class Node:
    """A node, started with the command of the deploy file."""

    def __init__(self, record, folder, name, host, zone, seeds, store):
        self.record, self.name, self.host = record, name, host
        self.callers, self.ready = (host, 8227), (host, 8220)
        self.settings = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        with open(self.settings, "w") as file:
            json.dump({
                "nodeName": name, "role": "node", "machineClass": "front",
                "serves": ["front", "control"], "ip": host, "zone": zone, "region": "r",
                "zones": {"z1": "r", "z2": "r", "z3": "r"},
                "listen": {
                    "frontend": host + ":8227", "ready": host + ":8220", "control": host + ":8229",
                },
                "internalPortRange": [7340, 7355],
                "seeds": [seed + ":8229" for seed in seeds],
                "bootstrap": True, "heartbeatMs": 1200,
                "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4200,
                           "linkMbps": 1000.0, "diskMb": 0},
                "dataDir": None, "discovery": "platform", "entry": "vip",
                "bounds": {"seedLagS": 3, "addressReuseS": 2, "stableWindowMs": 3000,
                           "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
                           "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
                           "maxStretchMs": 5000, "revokeStrict": False, "revokeMs": 5000,
                           "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryBudgetExtra": 100,
                           "recoverS": 12, "passMs": 120, "retryAfterS": 0},
                "platform": {"address": "%s:%d" % store[:2], "form": "log"},
            }, file)

    async def start(self):
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["BLUEBELLPOND_BOOT"] = self.settings
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                NODE, "front", cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL)
        self.record("node %s starts" % self.name)

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.record("node %s gets %s" % (self.name, signal.Signals(number).name))

    async def is_ready(self):
        got = await call(self.ready, "GET", "/bluebellpond/ready", {"Host": "x"}, timeout_s=0.5)
        return got is not None and got[0] == 200

    async def wait_ready(self, limit_s=10.0):
        until = now() + limit_s
        while not await self.is_ready():
            if now() > until:
                raise CouldNotRun("node %s isn't ready" % self.name)
            await asyncio.sleep(0.05)

    async def end(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


class CouldNotRun(Exception):
    pass


async def call(address, method, path, headers, body=b"", timeout_s=2.0):
    """One request on a connection of its own. Returns (status, body, headers), or None."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = ["%s %s HTTP/1.1" % (method, path), "Content-Length: %d" % len(body)]
            lines += ["%s: %s" % pair for pair in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            if head is None:
                return None
            status = int(head[0].split(" ")[1])
            return status, await read_body(reader, head[1]), head[1]
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


_sent = 0


def request_id():
    global _sent
    _sent += 1
    return "%08x%08x" % (random.getrandbits(32), _sent)


def route(name, kind, service, timeout_ms=1500, attempts=2, **more):
    entry = {"name": name, "host": "ficu95.example", "pathPrefix": "/%s/" % name, "kind": kind,
             "timeoutMs": timeout_ms, "targetLatencyMs": 100, "priority": 1, "service": service,
             "maxAttempts": attempts}
    entry.update(more)
    return entry


def config(version, routes, services, tenants=None):
    document = {
        "version": version, "routes": routes,
        "services": [{"name": name, "maxConnections": 300, "healthPath": "/health"}
                     for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }
    if tenants is not None:
        document["tenants"] = tenants
    return document


def main(case):
    """Runs `case(record, folder)`, which returns True if the rule held."""
    record = Record(os.getcwd())
    if not os.path.exists(NODE):
        record("the node program isn't built")
        sys.exit(COULD_NOT_RUN)

    async def run():
        # A script that is stopped ends its nodes as well.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            return await asyncio.wait_for(case(record, folder), 115)

    try:
        held = asyncio.run(run())
    except (CouldNotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        record("the case couldn't run: %r" % (error,))
        sys.exit(COULD_NOT_RUN)
    record("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(HELD if held else BROKEN)
