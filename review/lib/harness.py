"""Parts that the scripts of the cases share: processes of the project, a client of the store, a
proxy, and small stand-ins for replicas and clients. Standard library only; loopback only."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "kitepulley")
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; nothing is known of the rule."""


def now():
    return time.monotonic()


def free_port():
    """Returns a port that is free for TCP and UDP."""
    for _ in range(200):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((HOST, port))
            except OSError:
                continue
            return port
    raise CannotRun("no free port")


class Record:
    """Writes record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (now() - self.start, text))

    def close(self):
        self.file.close()


class Processes:
    """Processes of the project that the script started; all end with it."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="kitepulley-review-")
        self.started = []

    def start(self, name, args, env=None):
        log = open(os.path.join(self.folder.name, name + ".log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment.update(env or {})
        process = subprocess.Popen([PROGRAM] + args, stdout=log, stderr=log, cwd=ROOT,
                                   stdin=subprocess.DEVNULL, env=environment)
        self.started.append(process)
        return process

    def end_all(self):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.started:
            process.wait()
        self.folder.cleanup()

    def log(self, name):
        with open(os.path.join(self.folder.name, name + ".log"), errors="replace") as file:
            return file.read()


async def read_head(reader):
    """Reads a head; returns the first line and the headers with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(address, method, path, body=None, timeout=3.0):
    """Makes one call on a new connection; returns status and body."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(("%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: application/json\r\n"
                          "Content-Length: %d\r\nConnection: close\r\n\r\n"
                          % (method, path, address[0], address[1], len(data))).encode() + data)
            await writer.drain()
            line, headers = await read_head(reader)
            return int(line.split()[1]), await read_body(reader, headers)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


class Store:
    """The project's stand-in for the platform's store, as a process of its own."""

    def __init__(self, processes):
        self.address = (HOST, free_port())
        processes.start("store", ["standin", "platform", "--listen", "%s:%d" % self.address])

    async def wait(self):
        for _ in range(100):
            try:
                await call(self.address, "GET", "/v1/objects/config")
                return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.1)
        raise CannotRun("the store does not answer")

    async def write(self, kind, name, spec):
        """Creates or replaces the spec of an object; returns when the store has acknowledged it."""
        body = {"metadata": {"name": name}, "spec": spec}
        status, _ = await call(self.address, "POST", "/v1/objects/" + kind, body)
        if status == 409:
            path = "/v1/objects/%s/%s" % (kind, name)
            status, _ = await call(self.address, "PUT", path, body)
        if status not in (200, 201):
            raise CannotRun("the store answered %d" % status)


class Proxy:
    """Passes connections on to an address. The next answer on an open connection can be lost: that
    connection then stays open and says nothing more. New connections work."""

    def __init__(self, to):
        self.to = to
        self.address = None
        # While set, each call is answered 503: the store turns this machine away.
        self.refuses = False
        self.links = []
        self.on_request = lambda link, text: None
        self.on_loss = lambda link: None

    async def start(self):
        server = await asyncio.start_server(self.accept, HOST, 0)
        self.address = server.sockets[0].getsockname()[:2]
        self.server = server

    async def accept(self, reader, writer):
        link = {"loses_answer": False, "silent": False}
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.to)
        except OSError:
            writer.close()
            return
        self.links.append(link)

        async def copy(source, sink, is_request):
            try:
                while True:
                    data = await source.read(65536)
                    if not is_request and data and link["loses_answer"]:
                        link["silent"] = True
                        self.on_loss(link)
                    if link["silent"]:
                        # The store says nothing more, nor ends the connection; what the VM sends
                        # is read all the same.
                        if data:
                            continue
                        if not is_request:
                            await asyncio.Event().wait()
                        break
                    if not data:
                        break
                    if is_request:
                        self.on_request(link, data.decode("latin-1"))
                        if self.refuses:
                            writer.write(b"HTTP/1.1 503 Service Unavailable\r\n"
                                         b"Store-Era: 0\r\nContent-Length: 0\r\n\r\n")
                            continue
                    sink.write(data)
                    await sink.drain()
            except (OSError, asyncio.IncompleteReadError):
                pass
            sink.close()
        await asyncio.gather(copy(reader, far_writer, True), copy(far_reader, writer, False))


def settings(name, frontend, readiness, links, store, zone, zones, bounds):
    """Returns the settings file of an entry VM."""
    return {
        "node_name": name, "role": "entry", "machine_class": "edge", "serves": ["edge"],
        "ip": HOST, "zone": zone, "region": "here", "zones": {one: "here" for one in zones},
        "listen": {"frontend": "%s:%d" % (HOST, frontend),
                   "readiness": "%s:%d" % (HOST, readiness)},
        "port_range": [links, links], "seeds": [], "bootstrap": True, "in_tolerance": False,
        "limits": {"cpu_quota": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                   "link_mbps": 1000.0, "disk_mb": 0},
        "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
        "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                      "tenants", "platform", "rollout"],
        "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": bounds,
        "platform": {"address": "%s:%d" % store, "form": "objects", "writes_per_s": 400,
                     "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                     "ttl_min_ms": 1000},
    }


class Vm:
    """An entry VM: the command of the deploy file, with a settings file."""

    def __init__(self, processes, name, store, zone, zones, bounds):
        self.name = name
        self.callers, self.readiness = (HOST, free_port()), (HOST, free_port())
        path = os.path.join(processes.folder.name, name + ".json")
        with open(path, "w") as file:
            json.dump(settings(name, self.callers[1], self.readiness[1], free_port(), store, zone,
                               zones, bounds), file)
        self.process = processes.start(
            name, ["entry", "--metrics-port", str(free_port())], {"KITEPULLEY_CONFIG": path})

    async def wait_ready(self):
        for _ in range(150):
            try:
                status, _ = await call(self.readiness, "GET", "/v1/readyz", timeout=1.0)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("%s is not ready" % self.name)


class KeptConnection:
    """A client's connection to a VM, kept for many requests, one at a time."""

    def __init__(self, address):
        self.address, self.reader, self.writer = address, None, None

    async def send(self, method, path, host, headers, body=b"", timeout=3.0):
        """Sends one request; returns the status, or None if no complete answer came."""
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(*self.address), 1.0)
            lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + host,
                     "Content-Length: %d" % len(body)]
            lines += ["%s: %s" % one for one in headers.items()]
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, got = await asyncio.wait_for(read_head(self.reader), timeout)
            await asyncio.wait_for(read_body(self.reader, got), timeout)
            if "close" in got.get("connection", "").lower():
                self.close()
            return int(line.split()[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def main(folder, case):
    """Runs a case and ends with its exit code: 1 if the rule was broken, 0 if it held, 2 if the case
    could not run."""
    record, processes = Record(folder), Processes()
    code = 2

    async def run():
        # Connections that are open at the end are no matter.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(case(record, processes), 100)
    try:
        code = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as fault:
        record("could not run: %r" % fault)
    finally:
        processes.end_all()
    record("exit %d" % code)
    record.close()
    sys.stdout.write("exit %d, see %s\n" % (code, os.path.join(folder, "record.txt")))
    sys.stdout.flush()
    os._exit(code)
