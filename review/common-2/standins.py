"""Stand-ins for the application, config servers and discovery, and a runner of the program.

All of them speak the HTTP/1.1 of the operators' protocol page, on loopback addresses and in real time.
Only the standard library is used. Every case of the second review builds on this file.
"""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Classes and obligations of the site costanera-prod, in the form of the settings.
CLASSES = [
    {"name": "quote", "aim": 600000, "give_up": 1500000, "worth": 2.0, "late_worth": 0.0, "effect": "retryable",
     "group": "all", "window": 5000000, "stream": False},
    {"name": "place-order", "aim": 500000, "give_up": 2000000, "worth": 8.0, "late_worth": 0.0, "effect": "fragile",
     "group": "all", "window": 5000000, "stream": False},
]


def settings(fleet_size, **changes):
    """The settings of the site, with `changes` at the top level."""
    base = {
        "azs": ["zonamerica", "aguada", "carrasco"],
        "discovery": "on_request",
        "fleet_size": fleet_size,
        "locality": "zonamerica",
        "family_info": {"warm_keys": True},
        "kinds": ["c2-fast", "c2-slow"],
        "limits": {"cancel": True, "conn_idle": 5000000, "connect_timeout": 250000, "max_attempts": 3,
                   "max_open": 20000, "max_retry_after": 1000000, "probes": True, "retry_after": True,
                   "second_copies": True, "streams_per_conn": 1},
        "obligations": {"cold_from": 0.12, "drain_grace": 1500000, "fall_multiple": 4.0, "grace_to_answer": 20000,
                        "must_ask_in": 10000000, "overload_for": 1500000, "warm_up": 23000000},
        "over_share_worth": 0.1,
        "prices": {"connection": 0.0, "cross_zone": 0.03, "handshake": 0.02, "late_fail": 0.033, "probe": 0.01,
                   "waste": 0.04},
        "report": {"how": "on_probe", "names": ["active", "waiting", "cpu"]},
        "request_classes": CLASSES,
        "weights": "rough",
    }
    return {**base, **changes}


def free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


class Record:
    """The record of a run: one event a line, with the time since the start of the run in seconds."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")

    def close(self):
        self.file.close()


class Sidecar:
    """One process of the program, started with the command of the deploy file."""

    def __init__(self, name, fleet, listen=None, **config):
        self.name, self.fleet = name, fleet
        self.port = listen or free_port()
        self.config = {"name": name, "listen": f"127.0.0.1:{self.port}", "seed": "8c1f30d27a5be964",
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, **config}
        self.path = os.path.join(fleet.folder, name + ".json")
        self.process = None
        self.ready_at = None

    def write_config(self, **changes):
        self.config.update(changes)
        with open(self.path + ".new", "w") as file:
            json.dump(self.config, file)
        os.replace(self.path + ".new", self.path)

    def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1)
        self.write_config()
        self.log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        environment = {**os.environ, "LB_CONFIG": self.path}
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)
        self.ready_at = None
        self.fleet.record.write("sidecar_started", name=self.name, pid=self.process.pid)

    def signal(self, number):
        self.fleet.record.write("signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def get(self, path, timeout=5.0):
        """One GET at the program's own address; returns status and body, status 0 if there is no answer."""
        try:
            return await asyncio.wait_for(simple_get(self.port, path), timeout)
        except (OSError, EOFError, asyncio.TimeoutError, ValueError):
            return 0, b""

    async def wait_ready(self, timeout=30.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.process.poll() is not None:
                return False
            status, _ = await self.get("/health/ready", 1.0)
            if status == 200:
                self.ready_at = self.fleet.record.now()
                self.fleet.record.write("sidecar_ready", name=self.name)
                return True
            await asyncio.sleep(0.05)
        return False

    async def counters(self):
        _, body = await self.get("/health/counters")
        lines = (line.split() for line in body.decode().splitlines())
        return {line[0]: int(line[1]) for line in lines if len(line) == 2 and line[1].isdigit()}


async def simple_get(port, path):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n".encode())
        status, _, body = await read_answer(reader)
        return status, body
    finally:
        writer.close()


async def read_head(reader):
    """The first line and the headers (names in lower case) of a message; None at the end of the stream."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise EOFError("a head without its end")
        return None, {}
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_answer(reader):
    line, headers = await read_head(reader)
    if line is None:
        raise EOFError("closed without an answer")
    return int(line.split()[1]), headers, await read_body(reader, headers)


class ConfigServer:
    """A config server: serves each request after `work` seconds, and records when each attempt arrived."""

    def __init__(self, fleet, name, zone="zonamerica", work=0.03, cell=0):
        self.fleet, self.name, self.zone, self.work = fleet, name, zone, work
        self.cell = cell
        self.port, self.server, self.in_flight = None, None, 0
        self.attempts = []
        self.behave = None  # a coroutine (reader, writer, request) that answers in place of the usual answer
        self.up_since_ms = 0
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port or 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, phase="in_service"):
        return {"id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": self.zone, "flavor": "c2-fast",
                "cell": self.cell, "phase": phase, "size": 1.0, "up_since_ms": self.up_since_ms}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                # The platform closes what has been idle for the time in the settings.
                line, headers = await asyncio.wait_for(read_head(reader), 5.0)
                if line is None:
                    return
                began = self.fleet.record.now()
                method, path, _ = line.split(" ")
                if path in ("/stats", "/health/live"):
                    report = f"inflight={self.in_flight}, queue=0, util={min(1.0, self.in_flight / 8):.2f}"
                    writer.write(answer(200, report.encode()))
                    continue
                body = await read_body(reader, headers)
                request = {"server": self.name, "id": headers.get("request-id", "-"), "began": began,
                           "whole": self.fleet.record.now(), "path": path, "method": method, "body": body,
                           "timeout": headers.get("request-timeout", "-")}
                self.attempts.append(request)
                self.fleet.attempts.append(request)
                self.fleet.record.write("attempt", server=self.name, id=request["id"], told=request["timeout"])
                self.in_flight += 1
                try:
                    if self.behave is not None:
                        if not await self.behave(reader, writer, request):
                            return
                        continue
                    await asyncio.sleep(self.work)
                finally:
                    self.in_flight -= 1
                self.fleet.record.write("ran", server=self.name, id=request["id"])
                writer.write(answer(200, made_for(request["id"])))
                await writer.drain()
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


def answer(status, body, **headers):
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def made_for(request_id):
    return f"configuration for {request_id}".encode()


class Discovery:
    """Discovery: one service that handles calls in turn, `capacity` of them a second (0: without a limit).

    A call that has waited for over 2 s ends with 503. A watch gets an empty line every 2 s.
    """

    def __init__(self, fleet, name="discovery", capacity=0.0, queue_timeout=2.0):
        self.fleet, self.name, self.capacity, self.queue_timeout = fleet, name, capacity, queue_timeout
        self.members, self.revision, self.history = {}, 0, []
        self.watches, self.queue, self.server, self.port = set(), [], None, None
        self.connections = set()
        self.turned_away = self.handled = 0
        self.made_at = {}  # when each revision was made

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port or 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        self.worker = asyncio.ensure_future(self.work())

    def address(self):
        return f"127.0.0.1:{self.port}"

    def change(self, *entries):
        """Makes a change, which all open watches are told at once."""
        self.revision += 1
        for entry in entries:
            if entry["phase"] == "terminated":
                self.members.pop(entry["id"], None)
            else:
                self.members[entry["id"]] = entry
        self.history.append((self.revision, list(entries)))
        self.made_at[self.revision] = self.fleet.record.now()
        names = ",".join(f"{entry['id']}:{entry['phase']}" for entry in entries)
        self.fleet.record.write("change", discovery=self.name, revision=self.revision, entries=names)
        for watch in list(self.watches):
            watch.set()

    async def leave(self):
        """Accepts no new connection any more, and closes the open ones after 1.5 s."""
        self.server.close()
        await asyncio.sleep(1.5)
        for writer in list(self.connections):
            writer.close()

    def copy_from(self, other):
        self.members, self.revision = dict(other.members), other.revision
        self.history, self.made_at = list(other.history), dict(other.made_at)

    def whole(self):
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def work(self):
        """Handles the calls in turn."""
        while True:
            now = self.fleet.record.now()
            while self.queue and now - self.queue[0][0] > self.queue_timeout:
                self.queue.pop(0)[1].set_result(False)
            if self.queue:
                self.queue.pop(0)[1].set_result(True)
                await asyncio.sleep(1.0 / self.capacity if self.capacity else 0)
            else:
                await asyncio.sleep(0.002)

    async def turn(self):
        """Waits for this call's turn; false if it has waited too long."""
        if not self.capacity:
            return True
        turn = asyncio.get_event_loop().create_future()
        self.queue.append((self.fleet.record.now(), turn))
        return await turn

    async def serve(self, reader, writer):
        self.connections.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                line, _ = await read_head(reader)
                if line is None:
                    return
                path = line.split(" ")[1]
                self.fleet.record.write("call", discovery=self.name, path=path)
                if not await self.turn():
                    self.turned_away += 1
                    self.fleet.record.write("turned_away", discovery=self.name, path=path)
                    writer.write(answer(503, b""))
                    await writer.drain()
                    continue
                self.handled += 1
                if "stream=1" in path:
                    index = int(path.split("index=")[1].split("&")[0])
                    await self.watch(reader, writer, index)
                    return
                writer.write(answer(200, json.dumps(self.whole()).encode()))
                self.told(writer, self.revision)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def told(self, writer, revision):
        self.fleet.record.write("told", discovery=self.name, revision=revision)

    async def watch(self, reader, writer, index):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        changed = asyncio.Event()
        self.watches.add(changed)
        closed = asyncio.ensure_future(reader.read(1))
        try:
            first = True
            while not closed.done():
                news = [(revision, entries) for revision, entries in self.history if revision > index]
                if first and index > self.revision:
                    chunk(writer, json.dumps(self.whole()))
                    index = self.revision
                for revision, entries in news:
                    chunk(writer, json.dumps({"revision": revision, "complete": False, "members": entries}))
                    self.told(writer, revision)
                    index = revision
                if first and not news:
                    chunk(writer, "")
                first = False
                changed.clear()
                waits = [asyncio.ensure_future(changed.wait()), closed]
                done, _ = await asyncio.wait(waits, timeout=2.0, return_when=asyncio.FIRST_COMPLETED)
                waits[0].cancel()
                if not done:
                    chunk(writer, "")
                await writer.drain()
        finally:
            closed.cancel()
            self.watches.discard(changed)


def chunk(writer, text):
    data = text.encode() + b"\n"
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


class Application:
    """The application beside a sidecar: sends requests at a steady rate, one at a time on each connection."""

    def __init__(self, fleet, sidecar, rate, classes=("quote",), keys=40, seed=1):
        self.fleet, self.sidecar, self.rate, self.classes = fleet, sidecar, rate, classes
        self.idle, self.count, self.keys = [], 0, keys
        self.stopped, self.tasks = False, set()
        self.name = sidecar.name
        self.results = []
        self.keyed = False  # whether requests that are not safe to repeat carry an idempotency key

    async def run(self):
        period = 1.0 / self.rate
        # The applications of a fleet don't send in step.
        offset = (sum(map(ord, self.name)) % 17) / 17.0 * period
        due = time.monotonic() + offset
        while not self.stopped:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due += period
            if self.stopped:
                break
            task = asyncio.ensure_future(self.request(self.classes[self.count % len(self.classes)]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def stop(self):
        self.stopped = True
        if self.tasks:
            await asyncio.wait(list(self.tasks), timeout=5.0)

    def order_headers(self, request_id):
        """Further headers of a request that is not safe to repeat."""
        return f"Idempotency-Key: {request_id}\r\n" if self.keyed else ""

    async def request(self, name, timeout=None):
        """Sends one request and returns its status; 0 if the connection was not to be had or was closed unread."""
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        kind = next(c for c in CLASSES if c["name"] == name)
        timeout = timeout or kind["give_up"] / 1e6
        path = f"/{name}?obj=dealer-{self.count % self.keys}"
        head = (f"Host: origin.svc\r\nRequest-Id: {request_id}\r\nRequest-Class: {name}\r\n"
                f"Tenant: vidrios-del-este\r\nRequest-Timeout: {timeout:.3f}\r\n")
        if kind["effect"] == "retryable":
            text = f"GET {path} HTTP/1.1\r\n{head}\r\n".encode()
        else:
            body = f"order {request_id}"
            text = f"POST {path} HTTP/1.1\r\n{head}{self.order_headers(request_id)}Content-Length: {len(body)}\r\n\r\n{body}".encode()
        status, result, sent_at = 0, "none", self.fleet.record.now()
        connection = None
        try:
            connection = self.idle.pop() if self.idle else await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.sidecar.port), timeout)
            reader, writer = connection
            sent_at = self.fleet.record.now()
            self.fleet.record.write("sent", client=self.name, id=request_id, kind=name)
            writer.write(text)
            status, headers, body = await asyncio.wait_for(read_answer(reader), timeout + 0.5)
            result = str(status)
            if status == 200 and body != made_for(request_id):
                result = "foreign"
            if headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append(connection)
        except asyncio.TimeoutError:
            result = "late"
            if connection:
                connection[1].close()
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError) as error:
            result = "closed:" + type(error).__name__
            if connection:
                connection[1].close()
        self.fleet.record.write("answer", client=self.name, id=request_id, result=result)
        entry = {"id": request_id, "kind": name, "sent": sent_at, "ended": self.fleet.record.now(),
                 "status": status, "result": result, "sidecar": self.name}
        self.results.append(entry)
        self.fleet.results.append(entry)
        return status


class Fleet:
    """Everything of one run. Use as `async with`, which ends all processes that were started."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.sidecars, self.attempts, self.results = [], [], []

    def sidecar(self, name, **config):
        sidecar = Sidecar(name, self, **config)
        self.sidecars.append(sidecar)
        return sidecar

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for sidecar in self.sidecars:
            sidecar.kill()
        if os.environ.get("KEEP_LOGS"):
            subprocess.run(["cp", "-r", self.folder, os.environ["KEEP_LOGS"]], check=False)
        self.record.close()
        self.temporary.cleanup()

    def summary(self):
        counts = {}
        for result in self.results:
            counts[result["result"]] = counts.get(result["result"], 0) + 1
        return counts


def disturbed():
    """Whether the case runs with its disruption (`TROUBLE=0` leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder, limit_s=110):
    """Runs a case and exits with 0 (the rule held), 1 (it was broken) or 2 (the case couldn't run)."""
    async def bounded():
        return await asyncio.wait_for(case(os.path.join(folder, "record.txt")), limit_s)
    try:
        code = asyncio.run(bounded())
    except Exception as error:  # whatever it is, the case didn't run
        print(f"the case couldn't run: {type(error).__name__}: {error}")
        code = NOT_RUN
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code])
    sys.stdout.flush()
    os._exit(code)
