"""Stand-ins for review cases: the platform's store, backends, requesters, and a small installation of the project's own
proxies, started as separate processes on loopback addresses with the template of deploy/settings.json.

Only the standard library is used. Every case runs in one event loop; what was sent, answered and run goes to record.txt.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

PORTS = {"callers": 8147, "ready": 8141, "control": 8144, "inbound": 8146, "app": 8145, "peers": 7380}
HOST = "ficu95.example"


class Record:
    """Writes one JSON line for each event, with seconds since the start of the case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def write(self, event, **fields):
        line = json.dumps({"t": round(self.now(), 3), "event": event, **fields})
        self.file.write(line + "\n")
        self.file.flush()


# --- HTTP -------------------------------------------------------------------------------------------------------------


class HttpError(Exception):
    pass


async def read_message(reader):
    """Reads a head and a body. Returns (start line, headers with lower-case names, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise HttpError("the connection ended inside a head") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def format_message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Answers requests one after the other on each connection. The handler returns (status, headers, body)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 22, reuse_address=True)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                answer = await self.handler(*message, writer)
                if answer is None:
                    break
                status, headers, body = answer
                writer.write(format_message(f"HTTP/1.1 {status} Status", headers, body))
                await writer.drain()
        except (HttpError, ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset(self):
        """Ends like a process that is killed: the listener and every connection are gone at once."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()


class Connection:
    """A requester's connection."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.port, limit=1 << 22), 1)

    async def request(self, method, path, headers, body=b"", timeout=10):
        """Returns (status, headers, body). Status 0: no complete answer."""
        try:
            if self.writer is None:
                await self.open()
            fields = dict(headers)
            lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await self.writer.drain()
            message = await asyncio.wait_for(read_message(self.reader), timeout)
            if message is None:
                return 0, {}, b""
            start, answer_headers, answer_body = message
            return int(start.split()[1]), answer_headers, answer_body
        except (HttpError, ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, OSError):
            return 0, {}, b""

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


# --- The platform's store ---------------------------------------------------------------------------------------------


class Store:
    """Rows in tables, transactions under conditions and feeds, as PROTOCOL.md describes them."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.era = 1
        self.changed = asyncio.Condition()
        self.servers = {}
        # Machines, by the port that they were given, that are answered 503, and those that get no answer.
        self.rejected = set()
        self.silenced = set()
        self.began = time.monotonic()

    async def listen(self, ip, port):
        """Each machine has a port of its own, so that the store can turn single machines away."""
        self.servers[port] = HttpServer(lambda *request: self.handle_of(port, *request))
        await self.servers[port].listen(ip, port)

    def reset(self):
        for server in self.servers.values():
            server.reset()

    def copy(self):
        return dict(self.rows), self.version

    def come_back_from(self, copy):
        """A drill: what was written after the copy is gone, and connections from before are broken."""
        rows, self.version = copy
        self.rows = dict(rows)
        self.era += 1
        self.rejected.clear()
        for server in self.servers.values():
            for writer in list(server.writers):
                writer.transport.abort()

    async def handle_of(self, port, *request):
        if port in self.rejected:
            return 503, {}, b""
        answer = None if port in self.silenced else await self.handle(*request)
        if answer is None or port in self.silenced:
            # A connection on which an answer is lost delivers nothing further.
            await asyncio.sleep(30)
            return None
        if port in self.rejected:
            return 503, {}, b""
        status, headers, body = answer
        return status, {**headers, "Store-Era": self.era}, body

    async def put(self, table, key, value):
        """The operator or another writer writes; the return is the acknowledgement."""
        self.version += 1
        self.rows[(table, "", key)] = (value, self.version)
        async with self.changed:
            self.changed.notify_all()
        return self.version

    def content(self, rows, status=200):
        items = []
        for (table, part, key), (value, version) in rows:
            item = {"table": table, "part": part, "key": key, "rowVersion": version}
            if value is None:
                item["tombstone"] = True
            else:
                item["value"] = base64.b64encode(value).decode()
            items.append(item)
        body = {"rows": items, "hasMore": False, "rowVersion": self.version, "nowMs": int((time.monotonic() - self.began) * 1000)}
        return status, {"Content-Type": "application/json"}, json.dumps(body).encode()

    async def handle(self, start, headers, body, writer):
        method, target, _ = start.split(" ", 2)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        if url.path == "/-/rows-get":
            begin, end = query.get("from", ""), query.get("target", "")
            found = [
                item
                for item in sorted(self.rows.items())
                if item[0][0] == query["table"] and item[0][1] == query.get("part", "") and item[1][0] is not None
                and item[0][2] >= begin and (not end or item[0][2] < end)
            ]
            return self.content(found[: int(query.get("limit", 500))])
        if url.path == "/-/rows-feed":
            after, until = int(query["after"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                found = [item for item in self.rows.items() if item[0][0] == query["table"] and item[1][1] > after]
                left = until - time.monotonic()
                if found or left <= 0:
                    return self.content(sorted(found, key=lambda item: item[1][1]))
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/-/rows-tx" and method == "POST":
            request = json.loads(body)
            name = lambda row: (row["table"], row.get("part", ""), row["key"])
            version_of = lambda key: self.rows[key][1] if key in self.rows and self.rows[key][0] is not None else 0
            if any(version_of(name(row)) != row["rowVersion"] for row in request.get("expect", [])):
                keys = [name(row) for row in request["expect"]]
                return self.content([(key, self.rows[key]) for key in keys if key in self.rows], 412)
            self.version += 1
            for row in request.get("puts", []):
                self.rows[name(row)] = (base64.b64decode(row["value"]), self.version)
            for row in request.get("remove", []):
                self.rows[name(row)] = (None, self.version)
            async with self.changed:
                self.changed.notify_all()
            return self.content([])
        if url.path == "/-/blob-list":
            return 200, {"Content-Type": "application/json"}, b'{"names":[],"hasMore":false}'
        return 404, {}, b""


def configuration(version, routes, services, limits, tenants=None):
    """The operator's document in the shape of deploy/wire.toml. Routes, services and tenants are lists of dictionaries."""

    def table(items):
        columns = sorted({name for item in items for name in item})
        return {"columns": columns, "rows": [[item.get(name) for name in columns] for item in items]}

    document = {"version": f"r{version}", "routes": table(routes), "services": table(services), "limits": limits}
    if tenants is not None:
        document["tenants"] = table(tenants)
    return json.dumps(document).encode()


def service(name):
    return {"name": name, "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": False}


def route(name, prefix, kind, target, timeout_ms=1000, aim_ms=500, attempts=2):
    return {
        "name": name, "host": HOST, "prefix": prefix, "routeType": kind, "timeoutMs": timeout_ms, "targetLatencyMs": aim_ms,
        "priority": 1, "service": target, "attempts": attempts,
    }


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


# --- Backends ---------------------------------------------------------------------------------------------------------


class Backend:
    """A sound backend: it runs a request in `work_s`, echoes the id, and reports its liveness to the proxy beside it."""

    slots = 6
    version = "v1"

    def __init__(self, record, ip, service_name, zone):
        self.record, self.ip, self.service, self.zone = record, ip, service_name, zone
        self.http = HttpServer(self.handle)
        self.lifetimes = 0
        self.id = ""
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.work_s = 0.02
        self.beats = None
        self.runs = []

    async def start(self):
        self.lifetimes += 1
        self.id = f"i-{self.ip.replace('.', '-')}-{self.lifetimes}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        await self.http.listen(self.ip, PORTS["app"])
        self.beats = asyncio.create_task(self.beat())
        self.record.write("backend started", backend=self.id)

    def crash(self):
        """The process is gone: nothing is sent any more, connections are reset and nobody listens."""
        self.beats.cancel()
        self.http.reset()

    def report(self, **changes):
        self.sequence += 1
        body = {
            "address": f"{self.ip}:{PORTS['app']}",
            "born": self.born,
            "info": {"service": self.service, "version": self.version, "zone": self.zone, "maxConcurrency": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "coldLeftMs": 0},
        }
        body.update(changes)
        return body

    async def send_report(self, call, body=None, instance=None):
        connection = Connection(self.ip, PORTS["control"])
        headers = {"Host": f"{self.ip}:{PORTS['control']}", "Content-Type": "application/json"}
        path = f"/-/instances/{instance or self.id}/{call}"
        text = b"" if body is None else json.dumps(body).encode()
        status, _, _ = await connection.request("POST", path, headers, text, timeout=1)
        connection.close()
        return status

    async def beat(self):
        while True:
            await self.send_report("heartbeat", self.report())
            await asyncio.sleep(1.5)

    async def run(self, request_id, path, headers, body):
        """Overridden by cases. Returns the status and the body of the answer."""
        await asyncio.sleep(self.work_s)
        return 200, b"done " + request_id.encode()

    async def handle(self, start, headers, body, writer):
        method, path, _ = start.split(" ", 2)
        request_id = headers.get("request-id", "")
        if path == "/health":
            return 200, {"Instance-Id": self.id, "Server-Load": f"{self.running},0,{self.slots}"}, b""
        if headers.get("target-instance", self.id) != self.id:
            return 421, {"Request-Id": request_id, "Instance-Id": self.id}, b""
        if self.running >= self.slots:
            return 503, {"Request-Id": request_id, "Not-Executed": "1"}, b""
        self.running += 1
        self.runs.append((self.record.now(), request_id, path))
        self.record.write("run", backend=self.id, service=self.service, request=request_id, path=path, bytes=len(body),
                          deadline_ms=headers.get("deadline-ms"), key=headers.get("api-key"), tenant=headers.get("tenant-name"))
        try:
            status, answer = await self.run(request_id, path, headers, body)
        finally:
            self.running -= 1
        load = f"{self.running},0,{self.slots}"
        return status, {"Request-Id": request_id, "Response-Signature": f"s.{request_id}", "Server-Load": load}, answer


# --- Proxies ----------------------------------------------------------------------------------------------------------


def render(template, context):
    """Fills in a settings template as DEPLOY.md says."""

    def lookup(scopes, path):
        if path == ".":
            return scopes[-1].get("", scopes[-1])
        for scope in reversed(scopes):
            value = scope
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(map(text_of, value))
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def expand(text, scopes):
        pattern = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def section(match):
            value = lookup(scopes, match[2])
            if match[1] == "^":
                return expand(match[3], scopes) if value in (None, False) else ""
            if value in (None, False):
                return ""
            if isinstance(value, (list, dict)):
                items = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
                parts = []
                for index, (key, item) in enumerate(items):
                    scope = dict(item) if isinstance(item, dict) else {}
                    scope.update({"": item, "@": key, ",": "," if index + 1 < len(items) else ""})
                    parts.append(expand(match[3], scopes + [scope]))
                return "".join(parts)
            return expand(match[3], scopes)

        text = pattern.sub(section, text)
        return re.sub(r"\{\{([^}]+)\}\}", lambda match: text_of(lookup(scopes, match[1])), text)

    return expand(template, [context])


BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "downgradeSlackMs": 250, "outerMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
    "retryBudgetSlack": 62, "recoveryS": 15,
}


class Installation:
    """Machines with a proxy and a backend each, and the store. `plan` lists (zone, service) for each machine."""

    def __init__(self, folder, plan, backend_type=Backend, bounds=None):
        self.record = Record(folder)
        self.bounds = {**BOUNDS, **(bounds or {})}
        free = random.SystemRandom()
        self.net = f"127.{free.randint(16, 220)}.{free.randint(1, 250)}"
        self.store_ip = f"{self.net}.1"
        self.store = Store()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.zones = {zone: "munster" for zone, _ in plan}
        self.machines = []
        for number, (zone, service_name) in enumerate(plan):
            ip = f"{self.net}.{10 + number}"
            self.machines.append({
                "name": f"sidecar-{zone}-{number}", "ip": ip, "zone": zone, "service": service_name, "process": None,
                "store_port": 8142 + number,
                "backend": backend_type(self.record, ip, service_name, zone),
            })
        with open(os.path.join(ROOT, "deploy", "settings.json"), encoding="utf-8") as file:
            self.template = file.read()

    def settings(self, machine):
        ip = machine["ip"]
        return render(self.template, {
            "nodeName": machine["name"], "role": "proxy", "machineClass": "sidecar", "serves": ["sidecar", "control"], "ip": ip,
            "zone": machine["zone"], "region": "munster", "zones": self.zones,
            "listenAddrs": {
                "inbound": f"{ip}:{PORTS['inbound']}", "outbound": f"{ip}:{PORTS['callers']}",
                "readyAddr": f"{ip}:{PORTS['ready']}", "control": f"{ip}:{PORTS['control']}",
            },
            "portRange": [PORTS["peers"], PORTS["peers"] + 15],
            "seeds": [f"{other['ip']}:{PORTS['control']}" for other in self.machines[:3]],
            "bootstrap": True,
            "limits": {"cpuShare": 0.2, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "heartbeatMs": 1500, "bounds": self.bounds, "appAddr": f"{ip}:{PORTS['app']}", "service": machine["service"],
            "platform": {"address": f"{self.store_ip}:{machine['store_port']}", "form": "table"},
        })

    async def start_proxy(self, machine):
        path = os.path.join(self.temporary.name, machine["name"] + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(machine))
        log = open(os.path.join(self.temporary.name, machine["name"] + ".log"), "ab")
        program = os.path.join(ROOT, "target", "bin", "fuchsiastepd")
        machine["process"] = await asyncio.create_subprocess_exec(program, "--settings", path, cwd=ROOT, stdout=log, stderr=log)
        log.close()
        self.record.write("proxy started", machine=machine["name"])

    async def start(self, machines=None):
        machines = self.machines if machines is None else machines
        for machine in machines:
            probe = socket.socket()
            probe.bind((machine["ip"], PORTS["callers"]))
            probe.close()
        for machine in machines:
            await self.store.listen(self.store_ip, machine["store_port"])
        await asyncio.gather(*(self.start_proxy(machine) for machine in machines))
        await asyncio.gather(*(machine["backend"].start() for machine in machines))

    async def apply(self, version, routes, services, limits, tenants=None):
        await self.store.put("op", "config", configuration(version, routes, services, limits, tenants))
        self.record.write("configuration acknowledged", version=version, limits=limits, tenants=tenants)

    async def is_ready(self, machine):
        connection = Connection(machine["ip"], PORTS["ready"])
        status, _, _ = await connection.request("GET", "/-/ready", {"Host": "ready"}, timeout=1)
        connection.close()
        return status == 200

    async def await_ready(self, machines=None, limit=20):
        until = time.monotonic() + limit
        for machine in self.machines if machines is None else machines:
            while not await self.is_ready(machine):
                if time.monotonic() > until:
                    raise RuntimeError(machine["name"] + " does not become ready")
                await asyncio.sleep(0.1)

    def kill(self, machine):
        machine["process"].send_signal(signal.SIGKILL)

    async def stop(self):
        for machine in self.machines:
            if machine["backend"].beats is not None:
                machine["backend"].crash()
            process = machine["process"]
            if process is not None and process.returncode is None:
                process.kill()
        for machine in self.machines:
            if machine["process"] is not None:
                await machine["process"].wait()
        self.store.reset()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            import shutil
            shutil.copytree(self.temporary.name, keep, dirs_exist_ok=True)
        self.temporary.cleanup()

    async def send(self, machine, method, path, body=b"", connection=None, deadline_ms=2500, **more):
        """One attempt of a requester, on a new connection where none is given. Returns (id, status)."""
        request_id = f"{random.getrandbits(64):016x}"
        own = connection or Connection(machine["ip"], PORTS["callers"])
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": deadline_ms, **more}
        sent = self.record.now()
        status, answer, text = await own.request(method, path, headers, body, timeout=deadline_ms / 1000 + 1)
        if connection is None:
            own.close()
        self.record.write("answer", machine=machine["name"], request=request_id, method=method, path=path, bytes=len(body),
                          sent=round(sent, 3), status=status, signed="response-signature" in answer, text=text[:120].decode("latin-1"))
        return request_id, status


def main(case, folder):
    """Runs the case and exits with its verdict."""

    async def limited():
        return await asyncio.wait_for(case(folder), 115)

    try:
        verdict = asyncio.run(limited())
    except Exception as error:  # The case could not run; the reason is in the output.
        print("could not run:", type(error).__name__, error, file=sys.stderr)
        verdict = NOT_RUN
    sys.exit(verdict)
