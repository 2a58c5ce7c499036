"""Bad clients send hundreds of requests at once: the host's memory passes its limit, and the platform kills the host."""

import asyncio
import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import standin
from standin import Client, Discovery, Endpoints, Node, entry, main, new_id, request, settings, trouble

MEMORY_MB = 64
SOCKETS = 512
BAD_CLIENTS = 250
REQUESTS = 200
BODY = b"b" * 30_000
USUAL_CLIENTS = 8
DURATION = 15.0


def resident_kb(pid):
    """Returns the memory that the process itself has taken, without the pages of its program file."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("RssAnon:"):
                return int(line.split()[1])
    return 0


class MemoryWatch(threading.Thread):
    """The platform's limit on memory: kills the host that passes it."""

    def __init__(self, record, host):
        super().__init__(daemon=True)
        self.record, self.host, self.most, self.killed_at, self.stopped = record, host, 0, None, False

    def run(self):
        last = 0.0
        while not self.stopped and self.killed_at is None:
            try:
                now_kb = resident_kb(self.host.process.pid)
            except OSError:
                return
            self.most = max(self.most, now_kb)
            if time.monotonic() - last >= 0.5:
                last = time.monotonic()
                self.record.write(f"platform sees {now_kb} kB of memory in {self.host.name}")
            if now_kb > MEMORY_MB * 1024:
                self.killed_at = self.record.now()
                self.record.write(f"platform kills {self.host.name}: {now_kb} kB, the limit is {MEMORY_MB * 1024} kB")
                self.host.process.kill()
            time.sleep(0.01)


async def usual(case, host, random_source, lost, counts):
    client = Client(case.record, host)
    end = case.record.now() + DURATION - 3.0
    while case.record.now() < end and host.is_running():
        identity = new_id(random_source)
        kind = random_source.choice(["read", "write"])
        deadline = 1200 if kind == "read" else 1000
        data = request(random_source, kind, random_source.randrange(2), identity, deadline,
                       body=b"v" * 212 if kind == "write" else None)
        case.record.write(f"usual client sends {kind} {identity}")
        answer, sent = await client.ask(data, identity, deadline / 1000 + 0.5)
        if answer == "unreachable":
            case.record.write(f"usual client gets no answer to {identity}: the host is gone")
            return
        if answer is None:
            case.record.write(f"usual client gets no answer to {identity}")
            lost.append((identity, sent))
        else:
            case.record.write(f"usual client gets {answer[0]} for {identity}")
            counts[answer[0]] = counts.get(answer[0], 0) + 1
        await asyncio.sleep(random_source.uniform(0.05, 0.15))


async def bad(case, host, random_source, counts):
    """Sends hundreds of requests at once, and reads what is sent back."""
    try:
        reader, writer = await asyncio.open_connection(standin.LOOPBACK, host.port)
    except OSError:
        counts["refused"] = counts.get("refused", 0) + 1
        return

    async def read():
        try:
            while True:
                chunk = await reader.read(1 << 16)
                if not chunk:
                    return
                counts["answers"] = counts.get("answers", 0) + chunk.count(b"HTTP/1.1 ")
        except ConnectionError:
            pass

    reading = asyncio.create_task(read())
    try:
        for _ in range(REQUESTS):
            shard, identity = random_source.randrange(2), new_id(random_source)
            writer.write(request(random_source, "write", shard, identity, 1000, body=BODY))
            counts["sent"] = counts.get("sent", 0) + 1
            await writer.drain()
        await reading
    except ConnectionError:
        pass
    finally:
        reading.cancel()
        writer.close()


async def play(case):
    record = case.record
    endpoints = Endpoints()
    for number in range(2):
        node = Node(record, f"s-{number}", work=0.02, cores=2)
        node.quiet = True
        await node.start()
        endpoints.change(entry(node.name, node.port, number))
    discovery = Discovery(record, endpoints)
    await discovery.start()
    host = case.host("n1", discovery.address, settings(), known=endpoints.full(), memory_mb=MEMORY_MB, sockets=SOCKETS)
    host.start()
    await host.ready()
    watch = MemoryWatch(record, host)
    watch.start()
    lost, counts, bad_counts = [], {}, {}
    tasks = [asyncio.create_task(usual(case, host, random.Random(seed), lost, counts)) for seed in range(USUAL_CLIENTS)]
    await asyncio.sleep(3.0)
    if trouble():
        record.write(f"{BAD_CLIENTS} bad clients send {REQUESTS} requests each at once")
        tasks += [asyncio.create_task(bad(case, host, random.Random(1000 + n), bad_counts)) for n in range(BAD_CLIENTS)]
    end = time.monotonic() + DURATION - 3.0
    while time.monotonic() < end and host.is_running():
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.2)
    watch.stopped = True
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    record.say(f"most memory of the host: {watch.most} kB of {MEMORY_MB * 1024} kB; usual clients' answers {counts}; "
               f"without an answer {len(lost)}; bad clients {bad_counts}")
    if watch.killed_at is not None:
        breaks = [f"the host passed its limit of memory ({watch.most} kB) and was killed at {watch.killed_at:.2f} s"]
        return breaks + [f"request {identity}, sent at {sent:.2f} s, was taken and got no answer" for identity, sent in lost]
    return [] if host.is_running() else ["the host ended by itself"]


main(play, FOLDER, limit=60)
