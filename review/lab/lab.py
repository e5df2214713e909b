"""Stand-ins for one small deployment: the platform's store, upstreams, callers, and the project's proxies as processes.

Standard library only. Every address is a loopback address; ports are free ones of this machine.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def now():
    return time.monotonic()


# ---------------------------------------------------------------- settings template

def lookup(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value, found = scope, True
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                found = False
                break
        if found:
            return value
    return None


def render(text, scopes):
    """Fills in the placeholders and sections that the settings template uses."""
    out, position = [], 0
    for match in iter(lambda: re.compile(r"\{\{([#^]?)([^{}|]+?)(\|json)?\}\}").search(text, position), None):
        out.append(text[position:match.start()])
        kind, name, as_json = match.groups()
        if not kind:
            value = lookup(scopes, name)
            if as_json:
                out.append(json.dumps(value))
            elif value is not None:
                out.append(",".join(map(str, value)) if isinstance(value, list) else str(value))
            position = match.end()
            continue
        end_tag = "{{/" + name + "}}"
        end = text.index(end_tag, match.end())
        body = text[match.end():end]
        value = lookup(scopes, name)
        if kind == "#" and value:
            items = value if isinstance(value, list) else [value]
            for index, item in enumerate(items):
                comma = "," if index + 1 < len(items) else ""
                out.append(render(body.replace("{{,}}", comma), scopes + [item]))
        if kind == "^" and not value:
            out.append(render(body, scopes))
        position = end + len(end_tag)
    out.append(text[position:])
    return "".join(out)


# ---------------------------------------------------------------- HTTP

class Closed(Exception):
    pass


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        raise Closed()
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return body
                body += chunk[:-2]
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        raise Closed()


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def free_ports(count):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind(("127.0.0.1", 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Lab:
    """One run: addresses, record of what happened, and all processes that were started."""

    def __init__(self, folder):
        self.folder = folder
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.started = now()
        self.record_file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.nodes = []
        net = 16 + os.getpid() % 200
        second = random.Random(os.getpid()).randrange(1, 250)
        self.prefix = f"127.{net}.{second}."
        self.next_host = 1
        names = ("inbound", "outbound", "ready", "control", "app", "peers", "store")
        self.ports = dict(zip(names, free_ports(len(names))))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def ip(self):
        self.next_host += 1
        return self.prefix + str(self.next_host)

    def at(self):
        return now() - self.started

    def record(self, text):
        self.record_file.write(f"{self.at():9.3f} {text}\n")
        self.record_file.flush()

    def close(self):
        for node in self.nodes:
            node.kill()
        self.record_file.close()
        shutil.rmtree(self.tmp, ignore_errors=True)


# ---------------------------------------------------------------- the platform's store

class Store:
    """Rows of the platform's store, as the page on the protocol describes them."""

    def __init__(self, lab):
        self.lab = lab
        self.rows = {}
        self.version = 0
        self.log = []
        self.changed = asyncio.Event()
        self.address = f"{lab.ip()}:{lab.ports['store']}"
        self.server = None
        self.hook = None

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def put(self, table, key, value, part=""):
        self.version += 1
        self.rows[(table, part, key)] = (value, self.version)
        self.log.append((self.version, table, part, key))
        self.wake()

    def wake(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def write_config(self, document):
        self.put("op", "config", json.dumps(document).encode())
        self.lab.record(f"operator writes op/config {document['version']} and has it acknowledged")

    def row(self, place):
        value, version = self.rows[place]
        table, part, key = place
        return {"table": table, "part": part, "key": key, "rowVersion": version, "value": base64.b64encode(value).decode()}

    def tail(self):
        return {"rowVersion": self.version, "nowMs": int(now() * 1000)}

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if self.hook and await self.hook(first, body, writer):
                    return
                status, answer = await self.handle(first, body)
                text = json.dumps(answer).encode()
                writer.write(message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json", "Content-Length": len(text)}, text))
                await writer.drain()
        except (Closed, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def handle(self, first, body):
        from urllib.parse import parse_qs, urlsplit
        method, target, _ = first.split(" ", 2)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/-/rows-get":
            start, end = query.get("from", ""), query.get("target")
            limit = min(int(query.get("limit", 500)), 500)
            found = sorted(place for place in self.rows
                           if place[0] == query["table"] and place[1] == query.get("part", "")
                           and place[2] >= start and (not end or place[2] < end))
            return 200, {"rows": [self.row(p) for p in found[:limit]], "hasMore": len(found) > limit, **self.tail()}
        if url.path == "/-/rows-feed":
            after, until = int(query["after"]), now() + int(query.get("waitMs", 0)) / 1000
            while True:
                places = {}
                for version, table, part, key in self.log:
                    if version > after and table == query["table"]:
                        places[(table, part, key)] = version
                if places or now() >= until:
                    ordered = sorted(places, key=lambda p: places[p])
                    return 200, {"rows": [self.row(p) for p in ordered if p in self.rows], **self.tail()}
                event = self.changed
                try:
                    await asyncio.wait_for(event.wait(), max(0.001, until - now()))
                except asyncio.TimeoutError:
                    pass
        if url.path == "/-/rows-tx":
            request = json.loads(body)
            for row in request.get("expect", []):
                place = (row["table"], row.get("part", ""), row["key"])
                if self.rows.get(place, (None, 0))[1] != row["rowVersion"]:
                    return 412, {"rows": [self.row(place)] if place in self.rows else [], **self.tail()}
            if any(row["table"] in ("op", "servers") for row in request.get("puts", [])):
                return 403, {}
            self.version += 1
            for row in request.get("puts", []):
                place = (row["table"], row.get("part", ""), row["key"])
                self.rows[place] = (base64.b64decode(row["value"]), self.version)
                self.log.append((self.version, *place))
            for row in request.get("remove", []):
                self.rows.pop((row["table"], row.get("part", ""), row["key"]), None)
            self.wake()
            return 200, self.tail()
        return 404, {}


# ---------------------------------------------------------------- upstreams

class Upstream:
    """One application backend beside a proxy."""

    def __init__(self, lab, ip, zone, service, name, slots=6):
        self.lab, self.ip, self.zone, self.service, self.id, self.slots = lab, ip, zone, service, name, slots
        self.address = f"{ip}:{lab.ports['app']}"
        self.control = f"{ip}:{lab.ports['control']}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.beats = True
        self.running = 0
        self.server = None
        self.tasks = []
        self.runs = []
        # Seconds of work and bytes of the answer of a request.
        self.work = lambda head, headers, body: (0.05, b"ok")
        self.behave = None

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=256)
        self.tasks.append(asyncio.ensure_future(self.beat_loop()))

    def beat(self, state=None, **changes):
        self.sequence += 1
        report = {"address": self.address, "born": self.born,
                  "info": {"service": self.service, "version": "v1", "zone": self.zone, "maxConcurrency": self.slots},
                  "status": {"state": state or self.state, "sequence": self.sequence, "coldLeftMs": 0}}
        report.update(changes)
        return report

    async def post(self, path, body):
        host, port = self.control.split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            data = body if isinstance(body, bytes) else json.dumps(body).encode()
            writer.write(message(f"POST {path} HTTP/1.1", {"Host": self.control, "Content-Type": "application/json",
                                                          "Content-Length": len(data)}, data))
            await writer.drain()
            first, headers = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return int(first.split(" ")[1])
        except (Closed, OSError, asyncio.TimeoutError):
            return 0

    async def send_beat(self, report=None):
        report = report or self.beat()
        status = await self.post(f"/-/instances/{self.id}/heartbeat", report)
        return status

    async def beat_loop(self):
        while self.beats:
            await self.send_beat()
            await asyncio.sleep(1.5)

    async def deregister(self):
        status = await self.post(f"/-/instances/{self.id}/deregister", {"born": self.born})
        self.lab.record(f"{self.id} deregisters: {status}")
        return status

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self.run(first, headers, body, writer):
                    return
        except (Closed, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def run(self, first, headers, body, writer):
        request = headers.get("request-id", "")
        common = {"Request-Id": request, "Instance-Id": self.id, "Server-Load": f"{self.running},0,{self.slots}"}
        if headers.get("target-instance", self.id) != self.id:
            self.lab.record(f"{self.id} answers 421 to {request}")
            writer.write(message("HTTP/1.1 421 Misdirected Request", {**common, "Content-Length": 0}))
            return True
        if self.running >= self.slots:
            self.lab.record(f"{self.id} is full for {request}")
            writer.write(message("HTTP/1.1 503 Service Unavailable", {**common, "Not-Executed": 1, "Content-Length": 0}))
            return True
        self.running += 1
        self.runs.append((self.lab.at(), request, first))
        self.lab.record(f"{self.id} runs {request} {first} caller={headers.get('caller-service')} deadline={headers.get('deadline-ms')}")
        try:
            if self.behave:
                handled = await self.behave(first, headers, body, writer, common)
                if handled is not None:
                    return handled
            seconds, answer = self.work(first, headers, body)
            await asyncio.sleep(seconds)
        finally:
            self.running -= 1
        writer.write(message("HTTP/1.1 200 OK", {**common, "Response-Signature": "sig-" + request, "Content-Length": len(answer)}, answer))
        await writer.drain()
        self.lab.record(f"{self.id} has answered {request} with {len(answer)} bytes")
        return True

    async def stop(self):
        self.beats = False
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()


# ---------------------------------------------------------------- proxies

class Node:
    """One proxy process, started with the command of the deploy file."""

    def __init__(self, lab, store, zone, service, name, link_mbps=1000.0, grace_s=6, slack=62):
        self.lab, self.name, self.service, self.zone = lab, name, service, zone
        self.ip = lab.ip()
        ports = lab.ports
        self.outbound = (self.ip, ports["outbound"])
        self.ready = (self.ip, ports["ready"])
        self.fields = {
            "nodeName": name, "zone": zone, "region": "munster", "ip": self.ip,
            "limits": {"linkMbps": link_mbps},
            "listenAddrs": {"outbound": f"{self.ip}:{ports['outbound']}", "inbound": f"{self.ip}:{ports['inbound']}",
                            "readyAddr": f"{self.ip}:{ports['ready']}", "control": f"{self.ip}:{ports['control']}"},
            "portRange": [ports["peers"], ports["peers"]], "seeds": [], "platform": {"address": store.address},
            "appAddr": f"{self.ip}:{ports['app']}", "service": service, "heartbeatMs": 1500,
            "bounds": {"retryBudgetRatio": 0.2, "retryBudgetSlack": slack, "budgetWindowS": 10, "graceS": grace_s},
        }
        self.process = None
        self.log = os.path.join(lab.tmp, name + ".log")
        lab.nodes.append(self)

    def start(self):
        with open(os.path.join(ROOT, "deploy", "settings.json"), encoding="utf-8") as file:
            settings = render(file.read(), [self.fields])
        path = os.path.join(self.lab.tmp, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            run = re.search(r'^run = "(.*)"', file.read(), re.M).group(1).split()
        command = [os.path.join(ROOT, run[0])] + [path if word.startswith("/etc/") else word for word in run[1:]]
        self.process = subprocess.Popen(command, stdout=open(self.log, "ab"), stderr=subprocess.STDOUT, cwd=ROOT)
        self.lab.record(f"{self.name} starts, process {self.process.pid}")

    def signal(self, number):
        self.lab.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 1)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return first.split(" ")[1] == "200"
        except (Closed, OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=15):
        end = now() + limit
        while now() < end:
            if await self.is_ready():
                self.lab.record(f"{self.name} is ready")
                return True
            await asyncio.sleep(0.1)
        return False


# ---------------------------------------------------------------- callers

class Reply:
    def __init__(self, request):
        self.request, self.status, self.headers, self.body, self.error, self.at = request, 0, {}, b"", "", 0.0


counter = [0]


def request_id():
    counter[0] += 1
    return f"{random.getrandbits(40):010x}{counter[0]:06x}"


class Caller:
    """One connection of a caller."""

    def __init__(self, lab, address):
        self.lab, self.address, self.reader, self.writer = lab, address, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)

    def send(self, method, path, host="shop.example", deadline_ms=2000, body=b"", headers=None, request=None):
        request = request or request_id()
        fields = {"Host": host, "Request-Id": request, "Deadline-Ms": deadline_ms, **(headers or {})}
        if body or method == "POST":
            fields["Content-Length"] = len(body)
        self.writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
        self.lab.record(f"caller at {self.address[0]} sends {request} {method} {path} deadline={deadline_ms}")
        return request

    async def receive(self, request, limit=10):
        reply = Reply(request)
        try:
            first, reply.headers = await asyncio.wait_for(read_head(self.reader), limit)
            reply.status = int(first.split(" ")[1])
            reply.length = int(reply.headers.get("content-length", "0"))
            while len(reply.body) < reply.length:
                chunk = await asyncio.wait_for(self.reader.read(min(65536, reply.length - len(reply.body))), limit)
                if not chunk:
                    reply.error = f"closed after {len(reply.body)} of {reply.length} bytes"
                    break
                reply.body += chunk
        except Closed:
            reply.error = "closed without an answer"
        except asyncio.TimeoutError:
            reply.error = "nothing in time"
        except (ConnectionError, OSError) as error:
            reply.error = f"broken: {error}"
        reply.at = self.lab.at()
        self.lab.record(f"caller at {self.address[0]} has {reply.status} {reply.error} {len(reply.body)} bytes for {request} "
                        f"signature={reply.headers.get('response-signature')} id={reply.headers.get('request-id')}")
        return reply

    async def call(self, method, path, **more):
        limit = more.pop("limit", 10)
        request = self.send(method, path, **more)
        return await self.receive(request, limit)

    def close(self):
        if self.writer:
            self.writer.close()


async def call(lab, address, method, path, **more):
    caller = Caller(lab, address)
    try:
        await caller.open()
    except OSError as error:
        reply = Reply("-")
        reply.error = f"no connection: {error}"
        return reply
    try:
        return await caller.call(method, path, **more)
    finally:
        caller.close()


def route(name, prefix, service, kind="idempotent", timeout_ms=2000, target_ms=600, attempts=3, priority=1, host="shop.example"):
    return {"name": name, "host": host, "prefix": prefix, "service": service, "weightedServices": None, "routeType": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "attempts": attempts, "priority": priority}


def columns(items):
    names = list(items[0])
    return {"columns": names, "rows": [[item[name] for name in names] for item in items]}


def config(version, routes, services, limits=None):
    return {"version": f"r{version}", "routes": columns(routes), "services": columns([{"name": name} for name in services]),
            "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000}}


class Deployment:
    """Proxies with an upstream beside each, the store and the first configuration."""

    def __init__(self, lab, places, **settings):
        self.lab = lab
        self.store = Store(lab)
        self.nodes, self.upstreams = [], []
        for number, (zone, service) in enumerate(places, 1):
            node = Node(lab, self.store, zone, service, f"node-{number}", **settings)
            self.nodes.append(node)
            self.upstreams.append(Upstream(lab, node.ip, zone, service, f"i-{number}"))
        for node in self.nodes:
            node.fields["seeds"] = [f"{other.ip}:{lab.ports['control']}" for other in self.nodes[:3]]

    async def start(self, first_config):
        await self.store.start()
        self.store.write_config(first_config)
        for node, upstream in zip(self.nodes, self.upstreams):
            node.start()
            await upstream.start()
        for node in self.nodes:
            if not await node.wait_ready():
                raise RuntimeError(f"{node.name} does not become ready")
        # The machines count as in touch 3 s after their start (contactMs); every upstream has reported by then.
        await asyncio.sleep(4)

    async def stop(self):
        for upstream in self.upstreams:
            await upstream.stop()


async def expect_served(lab, address, path, count=5):
    """The case cannot run where the calm deployment does not serve."""
    for _ in range(count):
        reply = await call(lab, address, "GET", path)
        if reply.status != 200 or reply.error:
            raise RuntimeError(f"{path} is not served in calm: {reply.status} {reply.error}")


def on_terminate(number, frame):
    raise SystemExit(2)


def main(case, folder):
    """Runs a case, which returns True where the rule held. Exit codes: 0 held, 1 broken, 2 the case could not run."""
    signal.signal(signal.SIGTERM, on_terminate)
    lab = Lab(folder)
    code = 2
    try:
        held = asyncio.run(asyncio.wait_for(case(lab), 110))
        code = 0 if held else 1
        lab.record("the rule held" if held else "the rule was broken")
    except Exception as error:  # noqa: BLE001: anything unexpected means that the case could not run.
        lab.record(f"the case could not run: {type(error).__name__}: {error}")
        import traceback
        traceback.print_exc()
    finally:
        lab.close()
    raise SystemExit(code)
