"""Clients that stop in the middle of a request and stay: do the others get their answers?"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import TROUBLE, Application, ConfigServer, Discovery, Sidecar, request_bytes, run, settings  # noqa: E402

SIDECARS, SERVERS, ZONES = 4, 9, "abc"
# The least number of descriptors that the pages give a sidecar, and connections "by hundreds".
DESCRIPTORS, BAD_CLIENTS = 256, 120
SECONDS = 8.0


async def bad_client(record, application):
    """Sends the first half of a request, stays, and reads whatever it is sent."""
    reader, writer = await application.connect()
    _, data = request_bytes("quote", 0.7)
    writer.write(data[: len(data) // 2])
    try:
        while await reader.read(4096):
            pass
    except OSError:
        pass
    writer.close()


async def case(record, folder):
    discovery = await Discovery(record).listen()
    for number in range(SERVERS):
        server = ConfigServer(f"s-{number}", record, 0.11, ZONES[number % 3], number // 5)
        discovery.put((await server.listen()).entry())
    sidecars = [Sidecar(record, folder, discovery, settings(SIDECARS), DESCRIPTORS) for _ in range(SIDECARS)]
    try:
        await asyncio.gather(*(sidecar.start() for sidecar in sidecars))
        applications = [Application(record, sidecar, seed) for seed, sidecar in enumerate(sidecars)]
        loads = [asyncio.ensure_future(application.load(20.0, SECONDS)) for application in applications]
        await asyncio.sleep(2.0)
        bad = []
        if TROUBLE:
            record(f"{BAD_CLIENTS} bad clients come to {sidecars[0].name}")
            bad = [asyncio.ensure_future(bad_client(record, applications[0])) for _ in range(BAD_CLIENTS)]
        await asyncio.gather(*loads, *bad)
        for application in applications:
            record(f"{application.sidecar.name}: {application.counts}, {len(application.lost)} lost")
        return sum(len(application.lost) for application in applications)
    finally:
        await asyncio.gather(*(sidecar.end() for sidecar in sidecars))


run(FOLDER, case)
