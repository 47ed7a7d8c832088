"""Stand-ins for the platform's store, plain servers and requesters, for the scripts in review/.

They speak what PROTOCOL.md says, on loopback addresses, and need the standard library only.
"""

import asyncio
import base64
import json
import os
import signal
import struct
import subprocess
import sys
import tempfile
import time

HEARTBEAT_S = 1.2  # `heartbeat_ms` of the small sites
SILENT_REPORTS = 3  # an entry is removed after so many report intervals of silence
HOST = "desk.example"
KEY = "i9n73hh2b9wu3fexd9dn"


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message with a length; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def message(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body


class Store:
    """The platform's store: topics of one partition each, never down or slow."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        """Appends a keyed record as the operator or a server does; no value drops the key."""
        record = bytes([len(key)]) + key.encode() + value
        self.append(topic, [record])

    def append(self, topic, records):
        log = self.topics.setdefault(topic, [])
        offset = len(log)
        log.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    async def serve(self, reader, writer):
        try:
            while True:
                line, _headers, body = await read_message(reader)
                method, target, _version = line.split(" ")
                status, answer = await self.call(method, target, body)
                writer.write(message(f"HTTP/1.1 {status} Answer", [], answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if pair)
        topic = query.get("topic", "")
        if (method, path) == ("POST", "/-/log-append"):
            records = []
            while body:
                length = struct.unpack(">I", body[:4])[0]
                records.append(body[4 : 4 + length])
                body = body[4 + length :]
            offset = self.append(topic, records)
            answer = {"offset": offset, "end_offset": offset + len(records)}
            return 200, json.dumps(answer).encode()
        if (method, path) == ("GET", "/-/log-read"):
            start = int(query["from"])
            deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while len(self.topics.get(topic, [])) <= start and time.monotonic() < deadline:
                left = deadline - time.monotonic()
                try:
                    await asyncio.wait_for(self.changed.wait(), max(left, 0.001))
                except asyncio.TimeoutError:
                    pass
            log = self.topics.get(topic, [])
            page = struct.pack(">QQ", len(log), 0)
            for record in log[start:]:
                page += struct.pack(">I", len(record)) + record
            return 200, page
        if (method, path) == ("GET", "/-/log-newest"):
            newest = {}
            log = self.topics.get(topic, [])
            for offset, record in enumerate(log):
                length = record[0]
                newest[record[1 : 1 + length].decode()] = (offset, record[1 + length :])
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items())
                if value
            ]
            answer = {"items": items, "has_more": False, "end_offset": len(log)}
            return 200, json.dumps(answer).encode()
        return 404, b"{}"


class DeskServer:
    """Server of the plain service: reports to the store and answers at once.

    From `full_from` on, for `full_s`, it is full: it rejects requests with 503, `X-Not-Executed`
    and `Retry-After`. While `is_cut` it does not reach the store, which removes its entry after
    three report intervals of silence.
    """

    def __init__(self, name, zone, store, record):
        self.name, self.zone, self.store, self.record = name, zone, store, record
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.is_cut = False
        self.is_listed = False
        self.reported_at = 0.0
        # Otherwise the store's entry changes only when more than `seq` changes.
        self.writes_each_report = True
        self.full_from, self.full_s, self.retry_after = None, 0.0, 0
        self.arrivals = []  # (time, id)
        self.refusals = []  # (time, id)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.task = asyncio.ensure_future(self.report())

    async def report(self):
        while True:
            now = self.record.now()
            if self.is_cut:
                silent_s = now - self.reported_at
                if self.is_listed and silent_s >= SILENT_REPORTS * HEARTBEAT_S:
                    self.store.put("keyed.servers", self.name, b"")
                    self.is_listed = False
                    self.record.write(f"store removes servers/{self.name}, silent {silent_s:.1f} s")
                await asyncio.sleep(0.1)
                continue
            self.seq += 1
            if self.is_listed and not self.writes_each_report:
                self.reported_at = now
                await asyncio.sleep(HEARTBEAT_S)
                continue
            entry = {
                "service": "ticket-desk",
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": self.seq,
                "born": self.born,
            }
            self.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            if not self.is_listed:
                self.record.write(f"store lists servers/{self.name}, seq {self.seq}")
            self.is_listed, self.reported_at = True, now
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while True:
                _line, headers, _body = await read_message(reader)
                attempt = headers.get("x-attempt-id", "")
                now = self.record.now()
                self.arrivals.append((now, attempt))
                answer_headers = [("X-Attempt-Id", attempt), ("X-Server-Load", "1,0,6")]
                if headers.get("x-expect-instance", self.name) != self.name:
                    answer = message("HTTP/1.1 421 Misdirected", answer_headers)
                elif self.is_full(now):
                    answer_headers += [("X-Not-Executed", "1"), ("Retry-After", self.retry_after)]
                    answer = message("HTTP/1.1 503 Full", answer_headers)
                    self.refusals.append((now, attempt))
                    self.record.write(
                        f"{self.name} answers {attempt} 503, Retry-After: {self.retry_after}"
                    )
                else:
                    self.record.write(f"{self.name} runs {attempt}")
                    await asyncio.sleep(0.01)
                    answer_headers.append(("X-Server-Stamp", f"{self.name}.{attempt}"))
                    answer = message("HTTP/1.1 200 OK", answer_headers, b"ok")
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def is_full(self, now):
        return self.full_from is not None and 0 <= now - self.full_from < self.full_s


MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "status",
            "host": HOST,
            "path_prefix": "/status/",
            "kind": "idempotent",
            "timeout_ms": 800,
            "target_latency_ms": 100,
            "priority": 2,
            "service": "ticket-desk",
            "max_attempts": 2,
            "public": False,
        }
    ],
    "services": [
        {"name": "ticket-desk", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False}
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {"name": "hule930", "api_keys": [KEY], "unit": "tokens", "plain_tokens": 200,
         "rate_per_s": 400000, "burst": 400000}
    ],
}

SETTINGS = """node=edge-{zone}-1
role=host
machine_class=edge
serves=edge,control_plane
ip={ip}
zone={zone}
region=ie-west
zones.galway=ie-west
zones.limerick=ie-west
zones.sligo=ie-west
listen.front={ip}:8221
listen.ready={ip}:8224
listen.control={ip}:8229
port_range=7600,7615
seeds={seeds}
bootstrap=true
heartbeat_ms=1200
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.lease_ms=3000
bounds.window_s=5
platform.address=127.0.0.1:{store_port}
platform.form=log
"""


class Fleet:
    """Hosts as separate processes, each at a loopback address of its own."""

    def __init__(self, root, zones, store_ports, record):
        """`store_ports` is the store's port, or one by zone."""
        self.program = os.path.join(root, "target", "release", "teaselglade-host")
        if not os.access(self.program, os.X_OK):
            raise CannotRun("target/release/teaselglade-host is not built")
        self.root, self.record = root, record
        self.folder = tempfile.mkdtemp(prefix="review-")
        # Addresses of 127.64.0.0/10 that depend on the process id, so that runs do not collide.
        pid = os.getpid()
        net = f"127.{64 + pid % 64}.{(pid // 64) % 250}"
        self.ips = {zone: f"{net}.{number}" for number, zone in enumerate(zones, 1)}
        if isinstance(store_ports, int):
            store_ports = dict.fromkeys(zones, store_ports)
        self.store_ports = store_ports
        self.processes = {}

    def start(self):
        seeds = ",".join(f"{ip}:8229" for ip in self.ips.values())
        for zone, ip in self.ips.items():
            path = os.path.join(self.folder, f"{zone}.conf")
            text = SETTINGS.format(zone=zone, ip=ip, seeds=seeds, store_port=self.store_ports[zone])
            with open(path, "w", encoding="utf-8") as file:
                file.write(text)
            log = open(os.path.join(self.folder, f"{zone}.log"), "w", encoding="utf-8")
            environment = {"TEASELGLADE_BOOT": path, "PATH": os.environ.get("PATH", "")}
            self.processes[zone] = subprocess.Popen(
                [self.program], cwd=self.root, env=environment, stdout=log, stderr=log
            )
            self.record.write(f"host {zone} starts")

    async def wait_until_ready(self):
        for zone, ip in self.ips.items():
            for _ in range(100):
                if await is_ready(ip):
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"host {zone} is not ready within 10 s")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()


async def is_ready(ip):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, 8224), 1)
        writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        return b" 200 " in line
    except (OSError, asyncio.TimeoutError):
        return False


class Requester:
    """Sends one request after another to one host on a channel that it keeps."""

    def __init__(self, zone, ip, interval_s, record):
        self.zone, self.ip, self.interval_s, self.record = zone, ip, interval_s, record
        self.statuses = {}

    async def run(self, until, path="/status/1", prefix=""):
        reader = writer = None
        number = 0
        while self.record.now() < until:
            number += 1
            attempt = f"{self.zone}-{prefix}{number:05d}"
            try:
                if writer is None:
                    opening = asyncio.open_connection(self.ip, 8221)
                    reader, writer = await asyncio.wait_for(opening, 1)
                headers = [
                    ("Host", HOST),
                    ("X-Attempt-Id", attempt),
                    ("X-Deadline-Ms", 1500),
                    ("Authorization", f"Bearer {KEY}"),
                ]
                writer.write(message(f"GET {path} HTTP/1.1", headers))
                line, answer, _body = await asyncio.wait_for(read_message(reader), 2)
                status = line.split(" ")[1]
                if answer.get("connection", "").lower() == "close":
                    writer.close()
                    writer = None
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                status = type(error).__name__
                if writer is not None:
                    writer.close()
                writer = None
            self.statuses[status] = self.statuses.get(status, 0) + 1
            self.record.write(f"requester {attempt} gets {status}")
            await asyncio.sleep(self.interval_s)


def count_in_rest(server, zones):
    """Counts, by host, what reaches a server in the time that it named in `Retry-After`.

    The rule counts from half a second after the answer; the id of a request names its host.
    """
    counts = {}
    for zone in zones:
        rests = [at for at, attempt in server.refusals if attempt.startswith(zone)]
        late = [
            at
            for at, attempt in server.arrivals
            if attempt.startswith(zone)
            and any(rest + 0.5 < at < rest + server.retry_after for rest in rests)
        ]
        counts[zone] = (len(rests), late)
    return counts


def run_case(main):
    """Runs a case; exits with its result, or with 2 if it could not run."""
    folder, root = sys.argv[1], sys.argv[2]
    # Ends the hosts also if the script itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_signal: sys.exit(2))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        is_broken = asyncio.run(asyncio.wait_for(main(folder, root, has_trouble), 115))
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print(f"cannot run: {error!r}")
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
