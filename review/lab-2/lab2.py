"""Stand-ins of the second review: the platform's store, backends, requesters and the processes of the project.

They use the standard library only. Everything listens on 127.0.0.1, on free ports.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LOOPBACK = "127.0.0.1"
_taken = set()


def free_port():
    """A port that is free for TCP and UDP, below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(12000, 32000)
        if port in _taken:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((LOOPBACK, port))
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
        _taken.add(port)
        return port


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **fields):
        if self.file.closed:
            return
        self.file.write(json.dumps({"at_s": round(self.now(), 4), "event": event, **fields}) + "\n")

    def close(self):
        self.file.close()


class Message:
    def __init__(self, line, headers, body):
        self.line = line
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.line.split(" ")[1])


async def read_head(reader):
    """The start line and the headers of a message; None where the connection ends before the first byte."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    line, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(line, headers, body)


def response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} -"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines + [f"Content-Length: {len(body)}", "", ""])).encode("latin-1") + body


class Server:
    """An HTTP/1.1 server; answer(message) returns the bytes of the answer, or None to close the connection."""

    def __init__(self, port=None):
        self.port = port or free_port()
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port, limit=1 << 20, backlog=1024)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                answer = await self.answer(await read_message(reader))
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, message):
        raise NotImplementedError

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store: rows only, linearizable, loses nothing."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        self.version += 1
        self._apply(table, part, key, value)

    def _apply(self, table, part, key, value):
        name = (table, part, key)
        row = {"table": table, "part": part, "key": key, "rowVersion": self.version}
        if value is None:
            self.rows.pop(name, None)
            self.history.append({**row, "tombstone": True})
        else:
            row["value"] = base64.b64encode(value).decode()
            self.rows[name] = row
            self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_configuration(self, configuration):
        self.put("op", "config", json.dumps(configuration).encode())

    def _reply(self, status, **fields):
        body = {"rowVersion": self.version, "nowMs": int(time.monotonic() * 1000), **fields}
        return response(status, {"Content-Type": "application/json", "Store-Era": "1"}, json.dumps(body).encode())

    async def answer(self, message):
        from urllib.parse import parse_qs, urlsplit

        _, target, _ = message.line.split(" ")
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/-/rows-get":
            return self._get(query)
        if url.path == "/-/rows-tx":
            return self._transact(json.loads(message.body))
        if url.path == "/-/rows-feed":
            return await self._feed(query)
        if url.path == "/-/rows-parts":
            parts = sorted({part for table, part, _ in self.rows if table == query["table"]})
            return self._reply(200, parts=parts, hasMore=False)
        return self._reply(404)

    def _get(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= query.get("from", "")
            and ("target" not in query or key < query["target"])
        ]
        return self._reply(200, rows=found[:limit], hasMore=len(found) > limit)

    def _transact(self, body):
        names = [(row["table"], row.get("part", ""), row["key"], row["rowVersion"]) for row in body.get("expect", [])]
        current = [self.rows.get(name[:3], {"rowVersion": 0})["rowVersion"] for name in names]
        if any(version != name[3] for version, name in zip(current, names)):
            return self._reply(412, rows=[self.rows[name[:3]] for name in names if name[:3] in self.rows])
        self.version += 1
        for row in body.get("puts", []):
            self._apply(row["table"], row.get("part", ""), row["key"], base64.b64decode(row["value"]))
        for row in body.get("remove", []):
            self._apply(row["table"], row.get("part", ""), row["key"], None)
        return self._reply(200)

    async def _feed(self, query):
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1000
        while True:
            rows = [
                row
                for row in self.history
                if row["table"] == query["table"] and row["rowVersion"] > int(query["after"])
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return self._reply(200, rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Backend(Server):
    """A sound backend with its liveness reports. work(message) returns (status, body) after the work."""

    def __init__(self, record, name, service, zone, slots=6, work_s=0.05, body=b"done", heartbeat_s=1.5):
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.body = body
        self.heartbeat_s = heartbeat_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.control_port = None
        self.running = 0
        self.waiting = []
        self.runs = []
        self.beats = None

    async def answer(self, message):
        method, target, _ = message.line.split(" ")
        echo = {"Instance-Id": self.name}
        identity = message.headers.get("request-id", "")
        if identity:
            echo["Request-Id"] = identity
        if target == "/health":
            return response(200 if self.state == "ready" else 503, echo)
        wanted = message.headers.get("target-instance")
        if wanted is not None and wanted != self.name:
            return response(421, echo)
        if not identity:
            return response(400, {**echo, "Not-Executed": "1"})
        if self.running >= self.slots:
            if len(self.waiting) >= 4 * self.slots:
                return response(503, {**echo, "Not-Executed": "1"})
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await turn
        self.running += 1
        self.runs.append((identity, time.monotonic()))
        self.record.write("run", backend=self.name, request=identity, method=method, bytes=len(message.body))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            if self.waiting:
                self.waiting.pop(0).set_result(None)
        load = f"{self.running},{len(self.waiting)},{self.slots}"
        return response(200, {**echo, "Response-Signature": f"s.{self.name}.{identity}", "Server-Load": load}, self.body)

    def beat_body(self):
        self.sequence += 1
        info = {"service": self.service, "version": "v1", "zone": self.zone, "maxConcurrency": self.slots}
        status = {"state": self.state, "sequence": self.sequence, "coldLeftMs": 0}
        return json.dumps(
            {"address": f"{LOOPBACK}:{self.port}", "born": self.born, "info": info, "status": status}
        ).encode()

    async def report(self, call="heartbeat", body=None):
        """One call to the proxy on the machine of the backend; the status, or None without an answer within a second."""
        if body is None:
            body = self.beat_body() if call == "heartbeat" else json.dumps({"born": self.born}).encode()
        path = f"/-/instances/{self.name}/{call}"
        try:
            answer = await asyncio.wait_for(
                call_once(self.control_port, "POST", path, {"Content-Type": "application/json"}, body), 1.0
            )
            status = answer.status
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
            status = None
        self.record.write(call, backend=self.name, body=body.decode(), status=status)
        return status

    def start_beats(self):
        async def beat():
            while True:
                await self.report()
                await asyncio.sleep(self.heartbeat_s)

        self.beats = asyncio.create_task(beat())

    def stop_beats(self):
        self.beats.cancel()


async def connect(port, receive_buffer):
    """A connection with packets and windows of a network; those of the loopback device are far larger."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (LOOPBACK, port))
    return await asyncio.open_connection(sock=sock, limit=receive_buffer)


async def call_once(port, method, path, headers, body=b"", connection=None):
    """One call on a new connection, or on the one that is given."""
    reader, writer = connection or await asyncio.open_connection(LOOPBACK, port, limit=1 << 20)
    try:
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines + ["", ""])).encode("latin-1") + body)
        return await read_message(reader)
    finally:
        if connection is None:
            writer.close()


class Proxy:
    """A process of the deploy file, with settings as the template of the deploy file gives them."""

    def __init__(self, lab, name, zone, backend, memory_mb=260, link_mbps=1000, grace_s=6, extra=None):
        self.lab = lab
        self.name = name
        self.backend = backend
        self.ports = {role: free_port() for role in ("callers", "control", "readiness", "peers")}
        backend.control_port = self.ports["control"]
        self.process = None
        listen = {role: f"{LOOPBACK}:{port}" for role, port in self.ports.items()}
        self.settings = {
            "proxy_id": name,
            "data_centre": zone,
            "region": "region-1",
            "link_mbps": link_mbps,
            "listen": listen,
            "platform": {"url": f"http://{LOOPBACK}:{lab.store.port}", "timeout_ms": 1000},
            "edge": "platform",
            "upstream": {
                "address": f"{LOOPBACK}:{backend.port}",
                "service": backend.service,
                "heartbeat_ms": int(backend.heartbeat_s * 1000),
            },
            "seeds": [],
            "distribution": {"readers": 4},
            "retries": {"ratio": 0.2, "slack": 64, "window_ms": 10000},
            "data_centres": lab.zones,
            "placement": {"sample": 3},
            "limits": {
                "queue_ms": 2000,
                "queue_per_slot": 8,
                "grace_s": grace_s,
                "linger_ms": 2300,
                "memory_mb": memory_mb,
                "descriptors": 4100,
            },
            "log_level": "info",
            "log_output": "stdout",
            **(extra or {}),
        }

    def start(self):
        path = os.path.join(self.lab.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        command = [path if word.endswith("boot.json") else word for word in self.lab.command]
        log = open(os.path.join(self.lab.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.lab.started.append(self.process)
        self.lab.record.write("proxy started", proxy=self.name)

    def signal(self, number):
        self.process.send_signal(number)
        self.lab.record.write("signal", proxy=self.name, signal=signal.Signals(number).name)

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(call_once(self.ports["readiness"], "GET", "/-/ready", {}), 1.0)
            return answer.status == 200
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
            return False


def private_mb(proxy):
    """Memory that the process alone has, without its program and libraries, in megabytes."""
    try:
        with open(f"/proc/{proxy.process.pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) * 1024 / 1e6
    except OSError:
        pass
    return 0.0


class Platform:
    """Kills a process above the memory of its machine, and starts it again after a short delay."""

    RESTART_DELAY_S = 0.5

    def __init__(self, lab, memory_mb):
        self.lab = lab
        self.memory_mb = memory_mb
        self.peaks = {proxy.name: 0.0 for proxy in lab.proxies}
        self.ends = {proxy.name: 0 for proxy in lab.proxies}
        self.restarts = set()

    async def watch(self):
        while True:
            for proxy in self.lab.proxies:
                used = private_mb(proxy)
                self.peaks[proxy.name] = max(self.peaks[proxy.name], used)
                if proxy.process.poll() is None and used > self.memory_mb:
                    self.end(proxy, used)
            await asyncio.sleep(0.01)

    def end(self, proxy, used):
        self.ends[proxy.name] += 1
        self.lab.record.write("over the memory of its machine", proxy=proxy.name, used_mb=round(used, 1))
        proxy.signal(signal.SIGKILL)
        proxy.process.wait()
        restart = asyncio.create_task(self.restart(proxy))
        self.restarts.add(restart)
        restart.add_done_callback(self.restarts.discard)

    async def restart(self, proxy):
        await asyncio.sleep(self.RESTART_DELAY_S)
        proxy.start()


class Lab:
    def __init__(self, case_file, zones=("zone-a", "zone-b", "zone-c")):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(os.path.dirname(os.path.abspath(case_file)))
        self.zones = list(zones)
        self.started = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["proxy"]["run"].split()
        self.command[0] = os.path.join(ROOT, self.command[0])
        self.store = Store()
        self.backends = []
        self.proxies = []

    def add(self, name, service, zone, proxy=None, **backend):
        server = Backend(self.record, "i-" + name, service, zone, **backend)
        self.backends.append(server)
        self.proxies.append(Proxy(self, "sidecar-" + name, zone, server, **(proxy or {})))
        return server, self.proxies[-1]

    async def start(self, configuration):
        await self.store.start()
        self.store.put_configuration(configuration)
        for backend in self.backends:
            await backend.start()
        for proxy in self.proxies:
            proxy.start()
        for backend in self.backends:
            backend.start_beats()
        await self.until_ready(self.proxies)

    async def until_ready(self, proxies, timeout_s=15):
        end = time.monotonic() + timeout_s
        for proxy in proxies:
            while not await proxy.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(proxy.name + " is not ready")
                await asyncio.sleep(0.1)

    def stop(self):
        for process in self.started:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, kind, timeout_ms, target_ms, attempts=2, priority=1):
    return {
        "name": name,
        "host": "shop.example",
        "prefix": prefix,
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": priority,
        "service": service,
        "attempts": attempts,
    }


def columns(items):
    """A list of objects in the shape that deploy/wire.toml chooses for the configuration."""
    names = list(items[0])
    return {"columns": names, "rows": [[item[name] for name in names] for item in items]}


def configuration(version, routes, limits=None):
    services = sorted({entry["service"] for entry in routes})
    return {
        "version": f"r{version}",
        "routes": columns(routes),
        "services": columns(
            [
                {"name": name, "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": False}
                for name in services
            ]
        ),
        "limits": limits
        or {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


LONGEST_S = 110


def run_case(main):
    """Runs main(); 0 and 1 are its results, 2 stands for a case that could not run."""
    try:
        code = asyncio.run(asyncio.wait_for(main(), LONGEST_S))
    except Exception as error:  # pylint: disable=broad-except
        print("the case could not run:", repr(error), file=sys.stderr)
        code = 2
    sys.exit(code)


TROUBLE = os.environ.get("TROUBLE", "1") != "0"
