"""Stand-ins for the clients, the config servers and discovery, and the start and end of sidecars.

Everything listens on 127.0.0.1. The pages that each part follows are named beside it.
"""

import asyncio
import ctypes
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def __call__(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.file.write(f"{at - self.start:9.3f} {text}\n")
        self.file.flush()


class CannotRun(Exception):
    """The case could not run: the script ends with 2."""


def deploy_command(key):
    """The command that the deploy file gives for a key (DEPLOY)."""
    for line in (ROOT / "deploy" / "balancer.toml").read_text().splitlines():
        if line.startswith(f"{key} = "):
            return json.loads(line.split(" = ", 1)[1])
    raise CannotRun(f"deploy/balancer.toml has no {key}")


async def read_head(reader):
    """Reads a head; returns its first line, its fields by lower-case name, and when the first byte came."""
    first = await reader.readexactly(1)
    first_byte_at = time.monotonic()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = dict(line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.lower(): value.strip() for name, value in fields.items()}, first_byte_at


def http(status, body=b"", fields=()):
    """An answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listening:
    """A stand-in that listens on a free port of 127.0.0.1."""

    def __init__(self):
        self.server, self.writers, self.port = None, set(), 0

    async def listen(self):
        self.server = await asyncio.start_server(self._accept, HOST, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, asyncio.TimeoutError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class ConfigServer(Listening):
    """A config server (PROTOCOL, 'Sidecars to config servers'): one request at a time on each connection, an idle
    connection is closed after 5 s, GET /stats and /health/live are probes."""

    def __init__(self, name, record, service_s=0.05, zone="a", cell=0):
        super().__init__()
        self.name, self.record, self.service_s, self.zone, self.cell = name, record, service_s, zone, cell
        self.phase, self.started_ms, self.inflight = "in_service", 0, 0
        self.runs = []  # (request id, class, first byte, last byte)
        self.behave = None  # coroutine (request, writer) -> True if it has dealt with the request itself

    def entry(self):
        return {"id": self.name, "host_port": self.address, "locality": self.zone, "flavor": "c2-fast",
                "cell": self.cell, "phase": self.phase, "size": 1.0, "up_since_ms": self.started_ms}

    async def serve(self, reader, writer):
        while True:
            line, fields, first_at = await asyncio.wait_for(read_head(reader), 5.0)
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            last_at = time.monotonic()
            method, path, _ = line.split(" ", 2)
            if path in ("/stats", "/health/live"):
                load = f"TEXT inflight={self.inflight}, queue=0, util={min(1.0, self.inflight / 8):.2f}"
                writer.write(http(200, load.encode()))
                await writer.drain()
                continue
            request = {"id": fields.get("request-id", ""), "method": method, "path": path, "fields": fields,
                       "body": body, "class": path.strip("/").split("?")[0].split("/")[0],
                       "first_at": first_at, "last_at": last_at}
            self.record(f"{self.name} has {request['id']} whole, first byte {first_at - self.record.start:.3f}, "
                        f"timeout {fields.get('request-timeout')}", last_at)
            self.runs.append(request)
            self.inflight += 1
            try:
                if self.behave is not None and await self.behave(request, writer):
                    return
                await asyncio.sleep(self.service_s)
            finally:
                self.inflight -= 1
            writer.write(http(200, f"{request['id']} by {self.name}".encode()))
            await writer.drain()
            self.record(f"{self.name} answers {request['id']} with 200")


class Discovery(Listening):
    """Discovery (PROTOCOL, 'Discovery'): the whole list, and watches with an empty line every 2 s."""

    def __init__(self, record, name="discovery"):
        super().__init__()
        self.record, self.name = record, name
        self.revision, self.members, self.changes, self.watches = 1, {}, [], set()
        self.on_call = None  # coroutine (path, writer) -> True if it has dealt with the call itself

    def put(self, entry):
        """Changes one entry and tells it on every open watch."""
        self.revision += 1
        self.changes.append((self.revision, entry))
        if entry["phase"] == "terminated":
            self.members.pop(entry["id"], None)
        else:
            self.members[entry["id"]] = entry
        self.record(f"{self.name} has {entry['id']} {entry['phase']}, revision {self.revision}")
        for writer in list(self.watches):
            self.tell(writer, [entry])

    def listing(self, entries, complete):
        return json.dumps({"revision": self.revision, "complete": complete, "members": entries}).encode()

    def whole(self):
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def tell(self, writer, entries):
        self._chunk(writer, self.listing(entries, False) + b"\n")

    @staticmethod
    def _chunk(writer, data):
        if not writer.is_closing():
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def end_watches(self):
        for writer in list(self.watches):
            self.watches.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        while True:
            line, _, _ = await read_head(reader)
            path = line.split(" ")[1]
            self.record(f"{self.name} is called: {path}")
            if self.on_call is not None and await self.on_call(path, writer):
                return
            if "stream=1" not in path:
                writer.write(http(200, json.dumps(self.whole()).encode()))
                await writer.drain()
                continue
            after = int(path.split("index=")[1].split("&")[0])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if after < self.revision:
                self.tell(writer, [entry for revision, entry in self.changes if revision > after])
            self.watches.add(writer)
            try:
                while True:
                    await writer.drain()
                    await asyncio.sleep(2.0)
                    self._chunk(writer, b"\n")
            finally:
                self.watches.discard(writer)


CLASSES = [
    {"name": "quote", "aim": 600000, "give_up": 1500000, "late_worth": 0.0, "worth": 2.0, "effect": "retryable"},
    {"name": "place-order", "aim": 500000, "give_up": 2000000, "late_worth": 0.0, "worth": 8.0, "effect": "fragile"},
]


def settings(fleet=1, classes=None, **limits):
    """Settings as in WIRE, with the figures of costanera-prod."""
    return {
        "azs": ["a", "b", "c"], "discovery": "on_request", "domain_type": "mesh", "fleet_size": fleet, "locality": "a",
        "kinds": ["c2-fast", "c2-slow"], "family_info": {"warm_keys": True}, "over_share_worth": 0.1,
        "limits": {"cancel": True, "conn_idle": 5000000, "connect_timeout": 250000, "max_attempts": 3,
                   "max_open": 20000, "max_retry_after": 1000000, "peer_messages": False, "probes": True,
                   "retry_after": True, "second_copies": True, "streams_per_conn": 1, **limits},
        "obligations": {"cold_from": 0.12, "drain_grace": 1500000, "fall_multiple": 4.0, "grace_to_answer": 20000,
                        "must_ask_in": 10000000, "overload_for": 1500000, "warm_up": 23000000},
        "prices": {"cross_zone": 0.03, "handshake": 0.02, "late_fail": 0.033, "probe": 0.01, "waste": 0.04},
        "report": {"how": "on_probe", "names": ["active", "waiting", "cpu"]},
        "request_classes": classes or CLASSES,
        "scoring_mix": {"whole": 0.35, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.35},
    }


def end_with_parent():
    """Has the kernel end this process when the script ends, however that ends (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def free_port():
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        return listener.getsockname()[1]


class Sidecar:
    """One sidecar, started by `run` of the deploy file from the root of the repository (DEPLOY)."""

    numbers = itertools.count(1)

    def __init__(self, record, folder, discovery, settings, sockets=1024, known=None):
        number = next(self.numbers)
        self.record, self.name, self.port = record, f"n{number}", free_port()
        self.path = Path(folder) / f"{self.name}.json"
        self.log_path = Path(folder) / f"{self.name}.log"
        self.config = {"name": self.name, "listen": f"{HOST}:{self.port}", "discovery": discovery.address,
                       "seed": f"{0x8c1f + number:x}", "settings": settings,
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}}
        if known is not None:
            self.config["known"] = known
        self.process, self.exit_code = None, None

    def write_config(self):
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.replace(self.path)

    async def start(self, ready_s=30.0):
        self.write_config()
        env = {**os.environ, "LB_CONFIG": str(self.path), "TMPDIR": str(self.path.parent)}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy_command("run"), cwd=ROOT, env=env,
            stdout=open(self.log_path, "ab"), stderr=asyncio.subprocess.STDOUT, preexec_fn=end_with_parent)
        self.record(f"{self.name} is started, process {self.process.pid}")
        if ready_s is not None:
            await self.wait_ready(ready_s)
        return self

    async def wait_ready(self, limit_s=30.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            try:
                if (await self.get("/health/ready"))[0] == 200:
                    self.record(f"{self.name} is ready")
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} was not ready")

    async def get(self, path):
        reader, writer = await asyncio.open_connection(HOST, self.port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: origin.svc\r\n\r\n".encode())
            return await asyncio.wait_for(read_answer(reader), 2.0)
        finally:
            writer.close()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.record(f"{self.name} gets signal {signal.Signals(number).name}")

    async def end(self):
        """Ends the process, if it still runs."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), 5.0)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()


async def read_answer(reader):
    """Reads a whole answer with a length; returns its status and body."""
    line, fields, _ = await read_head(reader)
    body = await reader.readexactly(int(fields["content-length"]))
    return int(line.split(" ")[1]), body, fields


ids = itertools.count(1)


def request_bytes(name, timeout_s, key="7f3a9c21", fields=(), body=None, method=None):
    """A request in the form of PROTOCOL; returns its id and its bytes."""
    request_id = f"{os.getpid():x}-{next(ids):06x}"
    post = name != "quote" if method is None else method == "POST"
    body = (b'{"order":1}' if post else b"") if body is None else body
    lines = [f"{'POST' if post else 'GET'} /{name}?obj={key} HTTP/1.1", "Host: origin.svc", f"Request-Id: {request_id}",
             f"Request-Class: {name}", "Tenant: vidrios-del-este", f"Request-Timeout: {timeout_s:.3f}", *fields]
    if post:
        lines.append(f"Content-Length: {len(body)}")
    return request_id, ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Application:
    """The client of one sidecar (PROTOCOL, 'The application to its sidecar'): one request at a time on a connection,
    connections are kept, and more are opened when every one is busy. A request whose connection is closed between
    requests, before anything came back, is sent once more on a new connection.

    It waits half a second and the 50 ms of PROTOCOL beyond a request's time, as an answer up to then only earns
    nothing (STANDING)."""

    LATE_S = 0.5 + 0.05

    def __init__(self, record, sidecar, seed):
        self.record, self.sidecar, self.random = record, sidecar, random.Random(seed)
        self.idle, self.tasks, self.lost, self.counts = [], [], [], {}

    async def connect(self):
        return await asyncio.wait_for(asyncio.open_connection(HOST, self.sidecar.port), 5.0)

    async def send(self, name, timeout_s):
        key = f"{self.random.randrange(300):08x}"
        request_id, data = request_bytes(name, timeout_s, key)
        while True:
            kept = bool(self.idle)
            try:
                reader, writer = self.idle.pop() if kept else await self.connect()
            except (OSError, asyncio.TimeoutError):
                return self.count(request_id, "no connection")
            try:
                writer.write(data)
                await writer.drain()
                sent_at = time.monotonic()
                self.record(f"{self.sidecar.name} is sent {request_id} {name}, timeout {timeout_s:.3f}, on a "
                            f"{'kept' if kept else 'new'} connection", sent_at)
                status, _, fields = await asyncio.wait_for(read_answer(reader), timeout_s + self.LATE_S)
            except asyncio.TimeoutError:
                writer.close()
                return self.lose(request_id, f"has no answer {timeout_s + self.LATE_S:.2f} s after its last byte")
            except (OSError, asyncio.IncompleteReadError):
                writer.close()
                if kept:
                    self.record(f"{request_id} was crossed by a close, and is sent once more")
                    self.idle.clear()
                    continue
                return self.lose(request_id, "was closed upon without an answer")
            waited = time.monotonic() - sent_at
            if waited > timeout_s + self.LATE_S:
                self.lose(request_id, f"has its answer {status} only {waited:.2f} s after its last byte")
            self.count(request_id, f"{status} after {waited:.3f} s")
            if fields.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
            return

    def count(self, request_id, result):
        kind = result.split(" after")[0]
        self.counts[kind] = self.counts.get(kind, 0) + 1
        self.record(f"{request_id} ends: {result}")

    def lose(self, request_id, what):
        self.lost.append(request_id)
        self.record(f"BROKEN: {request_id} {what}")

    async def load(self, per_s, seconds):
        """Sends quotes and orders as the brief's mix, each with a try's time: 40 to 55 % of the class's deadline."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            name, deadline = ("quote", 1.5) if self.random.random() < 0.6 else ("place-order", 2.0)
            self.tasks.append(asyncio.ensure_future(self.send(name, deadline * self.random.uniform(0.4, 0.55))))
            await asyncio.sleep(self.random.expovariate(per_s))
        await asyncio.gather(*self.tasks)
        for _, writer in self.idle:
            writer.close()


def run(folder, case):
    """Runs a case; `case(record, folder)` returns the number of times the rule was broken."""
    record = Record(folder)
    try:
        with tempfile.TemporaryDirectory() as scratch:
            broken = asyncio.run(asyncio.wait_for(case(record, scratch), 115.0))
    except Exception as error:  # the case could not run, for whatever reason
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    verdict = f"the rule was broken {broken} times" if broken else "the rule held"
    record(verdict)
    print(f"{verdict} (TROUBLE={1 if TROUBLE else 0})")
    sys.exit(1 if broken else 0)
