"""Stand-ins for the platform, its nodes, discovery service and clients, by the users' protocol page.

Standard library only. All addresses are loopback addresses, all ports are free ports, all files but record.txt are in a
temporary folder. Times in records are milliseconds since the start of the test.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LOOPBACK = "127.0.0.1"
MS = 1_000_000  # nanoseconds


def trouble():
    """Returns whether the test plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        """Returns the time since the start of the test in seconds."""
        return time.monotonic() - self.start

    def write(self, text, at=None):
        at = self.now() if at is None else at
        self.file.write(f"{at * 1000:10.1f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)


taken_ports = set()


def free_port():
    """Returns a port on which nothing listens, below those that the system gives to outgoing connections."""
    for _ in range(1000):
        port = random.randrange(12_000, 32_000)
        if port in taken_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        taken_ports.add(port)
        return port
    raise CannotRun("no free port")


def run_command():
    """Returns the command by which the deploy file starts a host."""
    with open(os.path.join(REPOSITORY, "deploy", "balancer.toml")) as file:
        for line in file:
            match = re.match(r'\s*run\s*=\s*"(.*)"\s*$', line)
            if match:
                return match.group(1)
    raise CannotRun("deploy/balancer.toml names no run command")


class Host:
    """One host of the project, started by the command of the deploy file."""

    def __init__(self, record, folder, name, discovery, settings, known=None, memory_mb=192, sockets=1024, seed=1):
        self.record, self.folder, self.name = record, folder, name
        self.port = free_port()
        self.listen = f"{LOOPBACK}:{self.port}"
        self.discovery = discovery
        self.memory_mb = memory_mb
        self.config = {
            "name": name, "listen": self.listen, "discovery": discovery, "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": known, "settings": settings,
        }
        self.path = os.path.join(folder, f"{name}.json")
        self.write_config()
        self.process = None

    def write_config(self):
        with open(self.path + ".new", "w") as file:
            json.dump(self.config, file)
        os.replace(self.path + ".new", self.path)

    def start(self):
        environment = {
            "PATH": os.environ.get("PATH", ""), "TMPDIR": self.folder, "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.listen, "PROXY_DISCOVERY": self.config["discovery"], "PROXY_CONFIG": self.path,
        }
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()], cwd=REPOSITORY, env=environment,
            stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.write(f"platform starts {self.name} listen={self.listen} pid={self.process.pid}")

    def signal(self, number):
        self.record.write(f"platform sends {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def resident_kb(self):
        """Returns the resident memory now and at most so far."""
        values = {}
        with open(f"/proc/{self.process.pid}/status") as file:
            for line in file:
                if line.startswith(("VmRSS:", "VmHWM:")):
                    name, value = line.split()[:2]
                    values[name] = int(value)
        return values["VmRSS:"], values["VmHWM:"]

    async def ready(self, limit=10.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if not self.is_running():
                raise CannotRun(f"{self.name} ended before it was ready")
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                answer = await asyncio.wait_for(read_message(reader), 1.0)
                writer.close()
                if answer and answer[0].split(b" ")[1] == b"200":
                    self.record.write(f"{self.name} is ready")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun(f"{self.name} did not become ready")

    def end(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()


async def read_message(reader):
    """Reads one message: (first line, headers by lower-case name, body), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers[name.strip().lower().decode()] = value.strip().decode()
    body = b""
    if "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


def settings(**changes):
    """Returns the settings of a small deployment, with changes by section."""
    base = {
        "balancers": 1, "zones": ["recife-1"], "registry_mode": "ask", "round_ns": 2 * MS, "family": "stores",
        "profiles": [
            {"name": "read", "slo_ns": 200 * MS, "hard_limit_ns": 1200 * MS, "worth": 3.0, "late_worth": 0.2,
             "semantics": "idempotent", "key_scope": "all", "window_ns": 5000 * MS, "stream": False},
            {"name": "write", "slo_ns": 200 * MS, "hard_limit_ns": 1000 * MS, "worth": 3.0, "late_worth": 0.1,
             "semantics": "deduplicated", "key_scope": "cell", "window_ns": 1500 * MS, "stream": False},
            {"name": "scan", "slo_ns": 1000 * MS, "hard_limit_ns": 3000 * MS, "worth": 1.0, "late_worth": 0.3,
             "semantics": "idempotent", "key_scope": "all", "window_ns": 5000 * MS, "stream": False},
        ],
        "service_levels": [
            {"name": "basico", "price": 0.96, "proportion": 1.0, "rate": 5.3, "reservation": 0.0,
             "never_over": 0.0, "cap_depth": 0.0, "limit_slack": 0.0},
            {"name": "padrao", "price": 1.0, "proportion": 2.0, "rate": 11.0, "reservation": 11.0,
             "never_over": 0.0, "cap_depth": 0.0, "limit_slack": 0.0},
            {"name": "prioritario", "price": 1.8, "proportion": 6.0, "rate": 16.0, "reservation": 16.0,
             "never_over": 0.0, "cap_depth": 0.0, "limit_slack": 0.0},
        ],
        "limits": {"cancelling": True, "probing": False, "max_attempts": 3, "retry_after": True,
                   "max_retry_after_ns": 500 * MS, "dial_timeout_ns": 250 * MS, "keepalive_ns": 30000 * MS,
                   "second_copies": False, "may_tell": False, "streams_per_conn": 1},
        "safety": {"must_ask_in_ns": 10000 * MS, "stop_sending_within_ns": 250 * MS, "answer_slack_ns": 8 * MS,
                   "cold_share": 0.15, "cold_ns": 18000 * MS, "tip_after_ns": 2000 * MS, "fall_multiple": 4.0},
        "specifics": {"changes_data": [False, True, False], "n_shards": 8, "units_top": 6, "unit_mean": 1.97,
                      "cold_bears": 34.0, "counts_others": True, "share_worth": 0.35, "spare_worth": 0.08},
    }
    for section, values in changes.items():
        if isinstance(values, dict):
            base[section].update(values)
        else:
            base[section] = values
    return base


class Endpoints:
    """The list of nodes, with its versions."""

    def __init__(self):
        self.generation = 1
        self.entries = {}
        self.history = []  # (generation, entry)
        self.changed = asyncio.Event()

    def change(self, entry):
        self.generation += 1
        if entry["lifecycle"] == "DELETED":
            self.entries.pop(entry["instanceId"], None)
        else:
            self.entries[entry["instanceId"]] = entry
        self.history.append((self.generation, entry))
        self.changed.set()
        self.changed = asyncio.Event()

    def full(self):
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def since(self, after):
        if after > self.generation:
            return self.full()
        latest = {}
        for generation, entry in self.history:
            if generation > after:
                latest[entry["instanceId"]] = entry
        return {"generation": self.generation, "reset": False, "instances": list(latest.values())}


def entry(name, port, cell, lifecycle="SERVING", started_ms=0):
    return {"instanceId": name, "hostPort": f"{LOOPBACK}:{port}", "zone": "recife-1", "machineType": "node-full",
            "cell": cell, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started_ms}


class Discovery:
    """The discovery service. `admit` is called for each call before it is handled and may delay it; it returns False
    for a call that waited too long, which ends with 503."""

    def __init__(self, record, endpoints, admit=None):
        self.record, self.endpoints, self.admit = record, endpoints, admit
        self.last_call_failed = False
        self.port = free_port()
        self.address = f"{LOOPBACK}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[1]
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                target = message[0].split(b" ")[1].decode()
                self.record.write(f"discovery gets call {target} on connection {peer}")
                if self.admit is not None and not await self.admit(peer):
                    self.record.write(f"discovery answers 503 on connection {peer}: waited too long")
                    self.last_call_failed = True
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                self.last_call_failed = False
                answer = await self.answer(target)
                body = json.dumps(answer).encode()
                self.record.write(
                    f"discovery answers 200 on connection {peer}: generation {answer['generation']} "
                    f"reset {answer['reset']} instances "
                    f"{[(e['instanceId'], e['lifecycle']) for e in answer['instances']]}")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(body), body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        after = re.search(r"after=(\d+)", target)
        if not after:
            return self.endpoints.full()
        after = int(after.group(1))
        wait = re.search(r"wait_ms=(\d+)", target)
        wait = min(int(wait.group(1)), 60000) / 1000 if wait else 0
        if self.endpoints.generation <= after and wait > 0:
            try:
                await asyncio.wait_for(self.endpoints.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        return self.endpoints.since(after)


class Case:
    """One run of a case: its record, its folder, its processes, and its limit of time."""

    def __init__(self, folder, limit=110):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.limit = limit
        self.hosts = []
        self.processes = []

    def host(self, *args, **kwargs):
        host = Host(self.record, self.folder, *args, **kwargs)
        self.hosts.append(host)
        return host

    def run(self, play):
        """Plays the case. `play(case)` returns a list of the breaks of the rule. Returns the exit code."""
        try:
            breaks = asyncio.run(asyncio.wait_for(play(self), self.limit))
            for text in breaks[:20]:
                self.record.say(f"BROKEN: {text}")
            self.record.say(f"RESULT: {'broken' if breaks else 'held'} ({len(breaks)} breaks)")
            return 1 if breaks else 0
        except Exception as error:  # whatever stops the play says nothing about the rule
            self.record.say(f"RESULT: could not run: {error!r}")
            return 2
        finally:
            for host in self.hosts:
                host.end()
            for process in self.processes:
                if process.poll() is None:
                    process.kill()
                    process.wait()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                shutil.copytree(self.folder, keep, dirs_exist_ok=True)
            shutil.rmtree(self.folder, ignore_errors=True)


def main(play, folder, limit=110):
    sys.exit(Case(folder, limit).run(play))


class Node:
    """A node: takes requests on TCP, works `work` seconds on each, one after another on `cores` cores, and answers 200
    with a body of its own for each request. Records every attempt when its last byte has arrived."""

    def __init__(self, record, name, work=0.01, cores=2, stated_length=None):
        self.record, self.name, self.work, self.stated_length = record, name, work, stated_length
        self.port = free_port()
        self.cores = asyncio.Semaphore(cores)
        self.attempts = []  # (time of the last byte, request id, method)
        self.quiet = False  # where many requests would fill the record
        self.store = {}  # data of the shard by path

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port, limit=1 << 17, backlog=512)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, data = message
                identity = headers.get("x-request-id")
                if identity is None:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                method = line.split(b" ")[0].decode()
                at = self.record.now()
                self.attempts.append((at, identity, method))
                if not self.quiet:
                    self.record.write(f"node {self.name} gets {method} {identity}", at)
                async with self.cores:
                    await asyncio.sleep(self.work)
                path = line.split(b" ")[1].decode()
                if method == "PUT":
                    self.store[path] = data
                value = self.store.get(path, b"none") if method == "GET" else b"stored"
                body = f"{self.name} {identity} ".encode() + value
                length = len(body) if self.stated_length is None else self.stated_length(identity, body)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (length, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def new_id(random_source):
    return f"{random_source.getrandbits(64):016x}"


def request(random_source, kind, shard, identity, deadline_ms, volume=None, piece=None, units=2, hosts=1,
            plan="padrao", body=None):
    """Returns the bytes of a request of a usual client: a write where there is a body."""
    method = "GET" if body is None else "PUT"
    volume = random_source.randrange(1, 8) if volume is None else volume
    piece = random_source.getrandbits(63) | 1 if piece is None else piece
    lines = [
        f"{method} /api/{volume:016x}/{piece:016x} HTTP/1.1", "Host: backend.local",
        f"X-Request-Id: {identity}", f"X-Class: {kind}", f"X-Qos-Policy: {plan}", f"X-Deadline: {deadline_ms}m",
        f"X-Placement: units={units},shard={shard},hosts={hosts}",
    ]
    if method == "PUT":
        lines += [f"Idempotency-Key: {identity}", f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


class Client:
    """A usual client: sends one request at a time on a connection, keeps the connection, and sends a request once more
    on a new connection if the host closed the old one without sending anything on for it."""

    def __init__(self, record, host):
        self.record, self.host, self.stream, self.fresh = record, host, None, True

    async def ask(self, data, identity, wait):
        """Returns (status, body), or None where no answer came, and the time at which the last byte was sent."""
        end = time.monotonic() + wait
        for _ in range(2):
            if self.stream is None:
                try:
                    self.stream = await asyncio.open_connection(LOOPBACK, self.host.port)
                except OSError:
                    return "unreachable", None
                self.fresh = True
            reader, writer = self.stream
            try:
                writer.write(data)
                await writer.drain()
                sent = self.record.now()
                answer = await asyncio.wait_for(read_message(reader), max(end - time.monotonic(), 0.01))
            except asyncio.TimeoutError:
                writer.close()
                self.stream = None
                return None, sent
            except ConnectionError:
                answer = None
            if answer is None:
                writer.close()
                self.stream = None
                if self.fresh:
                    return None, self.record.now()
                continue
            self.fresh = False
            if answer[1].get("connection", "").lower() == "close":
                writer.close()
                self.stream = None
            return (int(answer[0].split(b" ")[1]), answer[2]), sent
        return None, self.record.now()
