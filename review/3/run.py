"""A replica that has left gets requests of machines in touch, as another machine was turned away by
the store before."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import harness as h  # noqa: E402

DRAIN_S = 2.0
ZONES = ["ulemiste", "kadriorg", "pirita", "mustamae"]
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
          "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
          "strict_revocation": True, "revoke_ms": 5000, "retry_budget_ratio": 0.9,
          "budget_window_s": 10, "retry_budget_extra": 58, "exposure_share": 0.15,
          "exposure_tolerance": 30, "rollback_ms": 5000, "recover_s": 12, "pass_ms": 120,
          "retry_after_s": 8.9, "session_s": 5}
HOST_NAME, PATH, KEY = "ficu95.example", "/lohu930/2f", "key-of-a-roaster"
REPLICAS, CYCLES, PAUSE_S = 20, 16, 3.4
# How long the store turns the machine away, in turn.
TURNED_AWAY_S = [1.3, 1.5, 1.7, 1.9]
# Requests a second of all clients together.
CLIENTS, RATE = 20, 250.0


def configuration():
    route = {"name": "order-status", "host": HOST_NAME, "path_prefix": "/lohu930/",
             "type": "non_idempotent", "timeout_ms": 800, "latency_goal_ms": 100,
             "max_attempts": 1, "priority": 2, "service": "tellimus-api"}
    return {"version": 3, "routes": [route],
            "services": [{"name": "tellimus-api", "max_connections": 110}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "roaster", "api_keys": [KEY], "priority": 1}]}


class Replica:
    """A sound replica: runs each request for 15 ms and answers it."""

    def __init__(self, name, arrivals):
        self.name, self.arrivals = name, arrivals

    async def start(self, store, zone):
        self.server = await asyncio.start_server(self.serve, h.HOST, 0)
        address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        await store.write("servers", self.name, {
            "service": "tellimus-api", "address": address, "zone": zone, "version": "v1",
            "capacity": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1})

    async def serve(self, reader, writer):
        try:
            while True:
                _, headers = await h.read_head(reader)
                id = headers.get("x-attempt-id", "")
                self.arrivals.append((id, self.name, h.now()))
                await h.read_body(reader, headers)
                await asyncio.sleep(0.015)
                writer.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\n"
                              "X-Server-Load: 1,0,6\r\nContent-Length: 4\r\n\r\ndone"
                              % (id, id)).encode())
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


async def case(record, processes):
    store = h.Store(processes)
    await store.wait()
    await store.write("config", "main", configuration())
    arrivals, done = [], []
    for index in range(REPLICAS):
        await Replica("i-%d" % index, arrivals).start(store, ZONES[index % len(ZONES)])
    vms = []
    for zone in sorted(ZONES[:3]):
        proxy = h.Proxy(store.address)
        await proxy.start()
        vm = h.Vm(processes, "edge-%s-1" % zone, proxy.address, zone, ZONES, BOUNDS)
        vm.proxy = proxy
        vms.append(vm)
    for vm in vms:
        await vm.wait_ready()
    # The VM of the first name reads the store; clients use the others, which are never disturbed.
    turned_away, in_touch = vms[0], vms[1:]
    await asyncio.sleep(4)
    record("3 VMs and %d replicas are ready" % REPLICAS)
    stop = asyncio.Event()

    async def client(number):
        connection, count = h.KeptConnection(in_touch[number % len(in_touch)].callers), 0
        await asyncio.sleep(number / RATE)
        while not stop.is_set():
            at = h.now()
            id = "%s.c%d-%d" % (in_touch[number % len(in_touch)].name, number, count)
            count += 1
            headers = {"X-Attempt-Id": id, "X-Deadline-Ms": "1500", "Authorization": "Token " + KEY}
            status = await connection.send("POST", PATH, HOST_NAME, headers, b"x" * 600)
            done.append((id, at, status, h.now()))
            await asyncio.sleep(max(0.0, CLIENTS / RATE - (h.now() - at)))
        connection.close()

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(2)
    left = {}
    for cycle in range(CYCLES):
        turned_away.proxy.refuses = h.TROUBLE
        if h.TROUBLE:
            record("the store turns %s away with 503" % turned_away.name)
        await asyncio.sleep(TURNED_AWAY_S[cycle % len(TURNED_AWAY_S)])
        turned_away.proxy.refuses = False
        if h.TROUBLE:
            record("the store serves %s again" % turned_away.name)
        name = "i-%d" % cycle
        status, _ = await h.call(store.address, "DELETE", "/v1/objects/servers/" + name)
        if status != 200:
            raise h.CannotRun("the store answered %d" % status)
        left[name] = h.now()
        record("%s leaves without a word: its entry is gone from the store, it serves on" % name)
        await asyncio.sleep(PAUSE_S)
    stop.set()
    await asyncio.gather(*clients)

    ran = {id: (name, at) for id, name, at in arrivals}
    for id, at, status, answered in done:
        name, arrived = ran.get(id, ("none", at))
        record("%s sent %.3f, reached %s %.3f, answered %s %.3f" % (
            id, at - record.start, name, arrived - record.start, status, answered - record.start))
    late = []
    for id, name, at in arrivals:
        if name in left and at > left[name] + DRAIN_S:
            late.append(id)
            record("%s reaches %s %.3f s after it has left" % (id, name, at - left[name]))
    served = sum(status == 200 for _, _, status, _ in done)
    record("%d requests, %d served; %d reached a replica later than %.1f s after it had left" % (
        len(done), served, len(late), DRAIN_S))
    if served < len(done) * 0.9:
        raise h.CannotRun("only %d of %d requests were served" % (served, len(done)))
    return 1 if late else 0


h.main(FOLDER, case)
