"""A small deployment on loopback: the project's programs as processes, with stand-ins for the
platform's store and routers, for endpoints and for clients. One event loop runs all stand-ins, so
that all times in the record are of one clock.
"""

import asyncio
import hashlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "monsoonrouter-platform")

SYN, ACK, FIN, RST, BOUNCED = 16, 64, 8, 1, 4
HEAD = struct.Struct("<BBIIHIIHIHI")
KEY = os.urandom(16)
M32 = 0xFFFFFFFF


def ip_number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def checksum(flags, seq, ack, dst, src, data):
    text = repr((flags & ~BOUNCED, seq, ack, dst, src)).encode() + data
    return zlib.crc32(KEY + text)


class Packet:
    """Head and data of a packet. `src` and `dst` are pairs of address and port."""

    def __init__(self, flags, seq, ack, src, dst, data=b"", echo=0, pad=0, total=None):
        self.flags, self.seq, self.ack = flags, seq & M32, ack & M32
        self.src, self.dst, self.data = src, dst, data
        self.echo, self.pad = echo, pad
        self.total = checksum(flags, self.seq, self.ack, dst, src, data) if total is None else total

    def encode(self):
        (src, sport), (dst, dport) = self.src, self.dst
        head = HEAD.pack(self.flags, self.pad, self.echo, self.total, len(self.data), self.seq,
                         self.ack, dport, ip_number(dst), sport, ip_number(src))
        return head + self.data

    @staticmethod
    def decode(datagram):
        flags, pad, echo, total, length, seq, ack, dport, dst, sport, src = HEAD.unpack_from(datagram)
        data = datagram[HEAD.size:]
        if len(data) != length:
            raise ValueError("wrong length")
        return Packet(flags, seq, ack, (ip_text(src), sport), (ip_text(dst), dport), data, echo,
                      pad, total)

    def is_genuine(self):
        return self.total == checksum(self.flags, self.seq, self.ack, self.dst, self.src, self.data)


class Record:
    """Lines of `record.txt`."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")

    def close(self):
        self.file.close()


async def read_request(reader):
    """Method, path, query and body of an HTTP request; `None` at the end of the connection."""
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode().split(" ", 2)
    length = 0
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode().partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
    body = await reader.readexactly(length) if length else b""
    path, _, query = target.partition("?")
    return method, path, dict(pair.partition("=")[::2] for pair in query.split("&") if pair), body


def response(status, body, headers=""):
    text = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{headers}"
            f"Content-Length: {len(text)}\r\n\r\n").encode() + text


class Store:
    """The platform's store. The operator's writes are direct calls; a return is the ack."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def write(self, kind, name, fields):
        self.revision += 1
        old = self.objects.get((kind, name))
        meta = {"name": name, "rev": self.revision, "finalizers": [], "deleting": False,
                "created_rev": old["meta"]["created_rev"] if old else self.revision}
        base = old or {"spec": None, "status": None}
        entry = {"meta": meta, "spec": base["spec"], "status": base["status"], **fields}
        self.objects[(kind, name)] = entry
        self.notify(kind, entry, False)
        return entry

    def delete(self, kind, name):
        entry = self.objects.pop((kind, name), None)
        if entry:
            self.revision += 1
            self.notify(kind, entry, True)

    def notify(self, kind, entry, deleted):
        self.events.append((self.revision, kind, {"object": entry, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while request := await read_request(reader):
                status, body = await self.answer(*request)
                writer.write(response(status, body, "Store-Era: 1\r\n"))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) < 2:
            return 404, {}
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if method == "GET" and name:
            entry = self.objects.get((kind, name))
            return (200, entry) if entry else (404, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000)
        if method == "GET":
            after = query.get("after", "")
            items = [entry for (k, n), entry in sorted(self.objects.items())
                     if k == kind and n > after]
            return 200, {"items": items, "more": False, "at": self.revision}
        given = json.loads(body) if body else {}
        name = name or given.get("meta", {}).get("name")
        old = self.objects.get((kind, name))
        rev = query.get("rev", given.get("meta", {}).get("rev"))
        if method == "POST":
            return (409, old) if old else (200, self.write(kind, name, {"spec": given.get("spec")}))
        if not old:
            return 404, {}
        if rev is not None and int(rev) != old["meta"]["rev"]:
            return 409, old
        if method == "PUT":
            return 200, self.write(kind, name, {"spec": given.get("spec")})
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        return 404, {}

    async def watch(self, kind, after, wait):
        if after > self.revision:
            return 410, {}
        end = time.monotonic() + wait
        while True:
            events = [event for at, of, event in self.events if at > after and of == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Endpoint(asyncio.DatagramProtocol):
    """One lifetime of an endpoint. It sends its packets to `outbound` of its own machine."""

    def __init__(self, deployment, machine, identity, cold_s=0.0, work_s=0.016, slots=4):
        self.deployment, self.machine, self.identity = deployment, machine, identity
        self.record = deployment.record
        self.born = time.time()
        self.started = time.monotonic()
        self.cold_s, self.work_s = cold_s, work_s
        self.slots_count = slots
        self.slots = asyncio.Semaphore(slots)
        self.state = "ready"
        self.sequence = 0
        self.acked = {}
        self.flows = {}
        self.ended = set()
        self.alive = True
        self.ran = []

    def warm_left(self):
        return max(0.0, self.cold_s - (time.monotonic() - self.started))

    async def start(self):
        loop = asyncio.get_running_loop()
        address = (self.machine["ip"], self.machine["app"])
        self.server = await asyncio.start_server(self.serve_health, *address)
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self.task = asyncio.create_task(self.beat())
        self.record.write(f"endpoint {self.identity} starts at {address} cold_s={self.cold_s}")

    async def serve_health(self, reader, writer):
        try:
            while await read_request(reader):
                ok = self.state == "ready"
                writer.write(response(200 if ok else 503, {}))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, method, body):
        """Calls the `control` address of the own machine. Returns whether it acknowledged."""
        text = json.dumps(body).encode() if body is not None else b""

        async def exchange():
            reader, writer = await asyncio.open_connection(
                self.machine["ip"], self.machine["control"])
            try:
                head = (f"{method} /instances/{self.identity} HTTP/1.1\r\nHost: control\r\n"
                        f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n")
                writer.write(head.encode() + text)
                line = await reader.readline()
                return line.split(b" ")[1:2] == [b"200"]
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(exchange(), 1.0)
        except (OSError, asyncio.TimeoutError):
            return False

    def next_beat(self):
        """Body of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.deployment.service_of(self.machine),
            "addr": "%s:%d" % (self.machine["ip"], self.machine["app"]),
            "zone": self.machine["zone"], "version": "v1", "slots": self.slots_count,
            "state": self.state, "warm_left_ms": round(self.warm_left() * 1000),
            "seq": self.sequence, "born": round(self.born * 1000)}

    async def send_beat(self):
        state, body = self.state, self.next_beat()
        done = await self.call("PUT", body)
        if done and state not in self.acked:
            self.acked[state] = time.monotonic()
            self.record.write(f"endpoint {self.identity} state {state} acknowledged")
        return done

    async def beat(self):
        interval = self.deployment.heartbeat_ms / 1000
        while self.alive:
            done = await self.send_beat()
            if not self.alive:
                return
            # A call that was not acknowledged is repeated soon, at the only node there is.
            await asyncio.sleep(interval * random.uniform(0.95, 1.05) if done else 0.2)

    async def crash(self):
        self.alive = False
        # A call in progress ends by itself; the loop of the heartbeats does not begin another.
        self.server.close()
        self.transport.close()
        self.record.write(f"endpoint {self.identity} ends")

    def send(self, packet):
        if self.alive:
            to = (self.machine["ip"], self.machine["outbound"])
            self.transport.sendto(packet.encode(), to)

    def datagram_received(self, datagram, _):
        arrived = time.monotonic()
        packet = Packet.decode(datagram)
        if not packet.is_genuine():
            self.record.write(f"endpoint {self.identity} got a forged packet")
            self.deployment.forged += 1
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow and flow["start"] == packet.seq:
                self.answer_syn(packet, flow)
                return
            own = random.getrandbits(32)
            flow = {"start": packet.seq, "own": own, "arrived": arrived, "open": False,
                    "reply": None, "received": (packet.seq + 1) & M32, "sent": (own + 1) & M32}
            self.flows[key] = flow
            self.answer_syn(packet, flow)
            return
        if not flow or (not flow["open"] and packet.ack != (flow["own"] + 1) & M32):
            if key in self.ended and packet.flags & FIN:
                return
            bounced = Packet.decode(datagram)
            bounced.flags |= BOUNCED
            bounced.pad = 0
            self.send(bounced)
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        flow["open"] = True
        if packet.data and packet.seq == flow["received"]:
            flow["received"] = (packet.seq + len(packet.data)) & M32
            flow["reply"] = None
            asyncio.create_task(self.run(flow, packet))
        elif packet.data and flow["reply"]:
            self.send(flow["reply"])
        if packet.flags & FIN:
            self.send(Packet(ACK, flow["sent"], packet.seq + 1, packet.dst, packet.src))
            self.ended.add(key)
            self.flows.pop(key, None)

    def answer_syn(self, packet, flow):
        self.send(Packet(SYN | ACK, flow["own"], packet.seq + 1, packet.dst, packet.src))

    async def run(self, flow, packet):
        """Runs one request of a flow and answers it."""
        async with self.slots:
            request = packet.data.decode()
            self.ran.append((request, flow["arrived"], self.warm_left() > 0))
            self.record.write(f"endpoint {self.identity} runs {request}")
            self.deployment.ran.setdefault(request, []).append(self.identity)
            await asyncio.sleep(self.work_s)
        data = f"{request} by {self.identity}".encode()
        flow["reply"] = Packet(ACK, flow["sent"], flow["received"], packet.dst, packet.src, data)
        flow["sent"] = (flow["sent"] + len(data)) & M32
        self.send(flow["reply"])


class Client:
    """One flow with one or more requests."""

    def __init__(self, deployment, number, route):
        self.deployment = deployment
        self.src = (deployment.client_ip, number)
        self.dst = route
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.inbox = asyncio.Queue()
        self.sent = {}
        self.is_open = False

    def send(self, flags, data=b"", ack=None):
        packet = Packet(flags, self.seq, self.ack if ack is None else ack, self.src, self.dst, data)
        self.deployment.route(packet)

    async def next_packet(self, timeout):
        try:
            return await asyncio.wait_for(self.inbox.get(), max(timeout, 0.0))
        except asyncio.TimeoutError:
            return None

    async def open(self):
        """Opens the flow. Returns "open", "reset" or "timeout"."""
        self.deployment.clients[self.src] = self
        start = time.monotonic()
        self.opened_at = start
        for copy, until in ((0, 0.2), (1, 0.6), (2, 1.4)):
            self.send(SYN, ack=copy)
            while packet := await self.next_packet(start + until - time.monotonic()):
                if packet.flags & RST:
                    return "reset"
                if packet.flags & SYN and packet.flags & ACK and packet.ack == (self.seq + 1) & M32:
                    self.seq = (self.seq + 1) & M32
                    self.ack = (packet.seq + 1) & M32
                    self.is_open = True
                    return "open"
        return "timeout"

    async def request(self, name, deadline_s=2.5):
        """Sends a request. Returns the answer, "reset" or "timeout"."""
        data = name.encode()
        end, wait = time.monotonic() + deadline_s, 0.2
        while time.monotonic() < end:
            self.send(ACK, data)
            until = min(end, time.monotonic() + wait)
            wait = min(wait * 2, 1.6)
            while packet := await self.next_packet(until - time.monotonic()):
                if packet.flags & RST:
                    # A reset of the system's own has the sum 0 and counts within its window.
                    near = (packet.seq - self.ack + 76_800) & M32 <= 153_600
                    if packet.total != 0 or near:
                        return "reset"
                elif packet.data and packet.seq == self.ack:
                    self.seq = (self.seq + len(data)) & M32
                    self.ack = (self.ack + len(packet.data)) & M32
                    return packet.data.decode()
        return "timeout"

    def close(self):
        if self.is_open:
            self.send(ACK | FIN)
        self.deployment.clients.pop(self.src, None)


class ClientSocket(asyncio.DatagramProtocol):
    def __init__(self, deployment):
        self.deployment = deployment

    def datagram_received(self, datagram, _):
        packet = Packet.decode(datagram)
        client = self.deployment.clients.get(packet.dst)
        if client and packet.src == client.dst:
            client.inbox.put_nowait(packet)


class Deployment:
    """Machines, processes and stand-ins."""

    def __init__(self, record, zones=("brno-a", "olomouc"), heartbeat_ms=1200, bounds=None):
        self.record = record
        self.zones = zones
        self.heartbeat_ms = heartbeat_ms
        # The bounds of the site karavanex-brno-large.
        self.bounds = {"seed_lag_s": 3, "reuse_s": 2, "contact_ms": 6000, "ack_ms": 10000,
                       "sync_s": 6, "drain_ms": 6000, "grace_s": 6, "slack_ms": 200,
                       "config_propagation_ms": 6000, "revert_ms": 250, "stretch_ms": 20000,
                       "warmup_factor": 1.5, "warmup_burst": 5, "evacuation_ms": 5000,
                       "recover_s": 15, "flow_ms": 2000, "flow_ttl_s": 60, **(bounds or {})}
        self.network = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        self.client_ip = f"{self.network}.200"
        self.folder = tempfile.TemporaryDirectory()
        self.machines = {}
        self.processes = {}
        self.in_rotation = {}
        self.clients = {}
        self.ran = {}
        self.forged = 0
        self.bootstrap = True
        self.ports = {}

    def free_ports(self):
        names = ["udp", "ready", "control", "app", "outbound", "metrics"]
        while True:
            base = random.randint(20_000, 30_000)
            ports = {name: base + index for index, name in enumerate(names)}
            ports["internal"] = base + 10
            try:
                for port in [*ports.values(), ports["internal"] + 1]:
                    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((f"{self.network}.10", port))
                return ports
            except OSError:
                continue

    async def start(self, config, fronts, sides):
        """Starts the store, the routers and all machines. `sides` names the services."""
        self.store = Store()
        await self.store.start()
        self.ports = self.free_ports()
        self.store.write("config", "main", {"spec": config})
        loop = asyncio.get_running_loop()
        self.client_transport, _ = await loop.create_datagram_endpoint(
            lambda: ClientSocket(self), local_addr=(self.client_ip, self.ports["udp"]))
        for index in range(fronts):
            self.add_machine(f"front-{index + 1}", "balancer", 10 + index, index, None)
        for index, service in enumerate(sides):
            self.add_machine(f"side-{index + 1}", "agent", 50 + index, index, service)
        for name in self.machines:
            self.start_process(name)
        self.probes = [asyncio.create_task(self.probe(name)) for name, machine in
                       self.machines.items() if machine["role"] == "balancer"]
        self.bootstrap = False

    def add_machine(self, name, role, last, index, service):
        self.machines[name] = {"name": name, "role": role, "ip": f"{self.network}.{last}",
                               "zone": self.zones[index % len(self.zones)], "service": service,
                               **self.ports}

    def service_of(self, machine):
        return machine["service"]

    def settings(self, machine):
        ip, ports = machine["ip"], self.ports
        seeds = [m["ip"] for m in self.machines.values() if m["role"] == "balancer"][:3]
        is_front = machine["role"] == "balancer"
        lines = {
            "node": machine["name"], "role": machine["role"],
            "class": "front" if is_front else "side",
            "serves": "front,control" if is_front else "side",
            "ip": ip, "zone": machine["zone"], "region": "morava",
            **{f"zones.{zone}": "morava" for zone in self.zones},
            "listen.udp_addr": f"{ip}:{ports['udp']}", "listen.ready": f"{ip}:{ports['ready']}",
            "listen.control": f"{ip}:{ports['control']}",
            "internal_port_range": f"{ports['internal']},{ports['internal'] + 15}",
            "seeds": ",".join(f"{seed}:{ports['control']}" for seed in seeds),
            "bootstrap": "true" if self.bootstrap else "false", "in_tolerance": "false",
            "limits.cpu_share": 0.25, "limits.cores": 1, "limits.memory_mb": 260,
            "limits.max_fds": 4100, "limits.link_mbps": 1000.0, "limits.disk_mb": 0,
            "discovery": "local", "entry": "announce", "heartbeat_ms": self.heartbeat_ms,
            "contracts": "base,drain,config,cost,recover,flows,places,platform",
            "tolerate.machines": 2, "tolerate.zones": 1, "tolerate.regions": 0,
            **{f"bounds.{key}": value for key, value in self.bounds.items()},
            "hash": "steady", "mode": "agent", "platform.addr": self.store.address,
            "platform.mode": "objects", "platform.writes_per_s": 400,
            "platform.reads_per_s": 2000, "platform.history_s": 20,
            "platform.value_bytes": 1048576, "platform.ttl_min_ms": 1000}
        if not is_front:
            lines["listen.outbound"] = f"{ip}:{ports['outbound']}"
            lines["app"] = f"{ip}:{ports['app']}"
            lines["service"] = machine["service"]
        path = os.path.join(self.folder.name, machine["name"] + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{key}={value}\n" for key, value in lines.items())
        return path

    def start_process(self, name):
        machine = self.machines[name]
        path = self.settings(machine)
        log = open(os.path.join(self.folder.name, name + ".log"), "ab")
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.processes[name] = subprocess.Popen(
            [PROGRAM, machine["role"], "--metrics", str(self.ports["metrics"])], cwd=ROOT,
            env={**kept, "MONSOONROUTER_CONFIG": path}, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        log.close()
        self.record.write(f"process {name} starts")

    def signal(self, name, number):
        self.record.write(f"process {name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    async def kill(self, name, down_s):
        """Kills a process, as a crash or a loss of the process would; the platform starts it again."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()
        await asyncio.sleep(down_s)
        self.start_process(name)

    def log(self, name):
        path = os.path.join(self.folder.name, name + ".log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()

    async def probe(self, name):
        """The routers' check of one front, twice a second. Two misses take it out of rotation."""
        machine, misses = self.machines[name], 2
        while True:
            try:
                async def exchange():
                    reader, writer = await asyncio.open_connection(
                        machine["ip"], self.ports["ready"])
                    try:
                        writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                        return (await reader.readline()).split(b" ")[1:2] == [b"200"]
                    finally:
                        writer.close()
                ready = await asyncio.wait_for(exchange(), 0.5)
            except (OSError, asyncio.TimeoutError):
                ready = False
            misses = 0 if ready else misses + 1
            now_in = ready or misses < 2
            if self.in_rotation.get(name) != now_in:
                self.in_rotation[name] = now_in
                self.record.write(f"router: {name} in rotation: {now_in}")
            await asyncio.sleep(0.5)

    def route(self, packet):
        """Sends a client's packet to a front, chosen by a steady hash of the four-tuple."""
        fronts = [name for name, ok in self.in_rotation.items() if ok]
        fronts = fronts or [name for name, m in self.machines.items() if m["role"] == "balancer"]

        def weight(name):
            return hashlib.blake2b(repr((name, packet.src, packet.dst)).encode()).digest()

        front = self.machines[max(fronts, key=weight)]
        self.client_transport.sendto(packet.encode(), (front["ip"], self.ports["udp"]))

    async def wait_until_served(self, route, timeout=20.0):
        """Waits until a request is served, before traffic starts."""
        end = time.monotonic() + timeout
        number = 60_000
        while time.monotonic() < end:
            client = Client(self, number, route)
            number += 1
            if await client.open() == "open":
                answer = await client.request(f"first-{number}")
                client.close()
                if " by " in answer:
                    return True
            client.close()
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        # Connections that are cut off by the end of the case are no findings.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for probe in getattr(self, "probes", []):
            probe.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()

    def exits(self):
        return {name: process.poll() for name, process in self.processes.items()}


def config(version, routes, services, idle_ms=15000):
    """A configuration in the form of the pages. `routes` and `services` are lists of fields."""
    base = {"type": "non_idempotent", "timeout_ms": 2500, "target_latency_ms": 150, "priority": 1,
            "attempts": 2}
    plain = {"health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False,
             "warmup_s": 2.0, "warmup_per_s": 0.0}
    return {"version": version, "routes": [{**base, **route} for route in routes],
            "services": [{**plain, **service} for service in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": idle_ms}}


def main(play):
    """Runs a case. `play` returns whether the rule was broken, or `None` if it could not run. The
    first argument of the program is the path of the record."""
    record = Record(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble={trouble}")
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, trouble), 110))
    except Exception as error:  # The case could not run to its end.
        record.write(f"could not run: {error!r}")
        broken = None
    text = {True: "the rule was broken", False: "the rule held", None: "the case could not run"}
    record.write(text[broken])
    record.close()
    print(text[broken])
    sys.exit({True: 1, False: 0, None: 2}[broken])
