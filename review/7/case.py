"""Seven in ten sidecars are killed at once and start again on the list that they had; a config server has left
meanwhile, and discovery handles the calls of the fleet in turn.

See claim.txt. With TROUBLE=0 discovery answers every call at once.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
import standins as s  # noqa: E402

SIDECARS, KILLED = 30, 21
RATE = 2.0  # requests a second of each application
CAPACITY = 3.0  # calls that discovery handles a second
# A change counts as told 6 s after discovery had it and could be reached, for a process that starts later 6 s after
# its start; sends may go on for the grace of 1.5 s and the 50 ms by which every time limit is longer on sockets.
TOLD, GRACE, SLACK = 6.0, 1.5, 0.05


async def case(record_path):
    async with s.Fleet(record_path) as fleet:
        servers = [s.ConfigServer(fleet, f"s-{n}") for n in range(5)]
        for server in servers:
            await server.start()
        discovery = s.Discovery(fleet)
        await discovery.start()
        discovery.change(*(server.entry() for server in servers))
        sidecars = [fleet.sidecar(f"n{n}", discovery=discovery.address(), known=discovery.whole(),
                                  settings=s.settings(SIDECARS)) for n in range(SIDECARS)]
        for sidecar in sidecars:
            sidecar.start()
        ready = await asyncio.gather(*(sidecar.wait_ready() for sidecar in sidecars))
        if not all(ready):
            print("not every sidecar got ready")
            return s.NOT_RUN
        applications = [s.Application(fleet, sidecar, RATE) for sidecar in sidecars]
        running = [asyncio.ensure_future(application.run()) for application in applications]
        await asyncio.sleep(3.0)

        # Application and sidecar stop and start together.
        killed = sidecars[:KILLED]
        for application in applications[:KILLED]:
            application.stopped = True
        for sidecar in killed:
            sidecar.signal(signal.SIGKILL)
        for sidecar in killed:
            sidecar.kill()
        await asyncio.sleep(0.3)
        leaving = servers[0]
        discovery.change(leaving.entry("terminating"))
        changed_at = fleet.record.now()
        await asyncio.sleep(0.3)
        if s.disturbed():
            discovery.capacity = CAPACITY
        restarted_at = fleet.record.now()
        # `known` in their files is the list as they had it last.
        for sidecar in killed:
            sidecar.start()

        async def serve_again(sidecar):
            if await sidecar.wait_ready():
                application = s.Application(fleet, sidecar, RATE)
                application.name += "-again"
                applications.append(application)
                await application.run()

        running += [asyncio.ensure_future(serve_again(sidecar)) for sidecar in killed]
        await asyncio.sleep(16.0)
        for application in applications:
            await application.stop()
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

        latest = max(changed_at, restarted_at) + TOLD + GRACE + SLACK
        late = [a for a in leaving.attempts if a["began"] > latest]
        ready_after = sorted(sidecar.ready_at - restarted_at for sidecar in killed if sidecar.ready_at)
        print(f"{len(fleet.results)} requests, {fleet.summary()}; calls handled {discovery.handled}, turned away "
              f"{discovery.turned_away}; {len(ready_after)} of {KILLED} ready again, after "
              f"{ready_after[0]:.1f} to {ready_after[-1]:.1f} s")
        print(f"drain at {changed_at:.2f} s, restart at {restarted_at:.2f} s, sends allowed up to {latest:.2f} s: " +
              (f"{len(late)} attempts at the draining server later, the last {late[-1]['began'] - latest:.2f} s later"
               if late else "no attempt at it later"))
        if len(ready_after) < KILLED:
            return s.NOT_RUN
        return s.BROKEN if late else s.HELD


s.main(case, FOLDER)
