"""Processes keep each of the last 256 versions of the configuration and exceed their
memory."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import deployment2 as dep  # noqa: E402

ZONES = {"akl-north": "akl", "wlg-harbour": "wlg", "chc-east": "chc"}
# The small machines and the largest doses of trmu-shoplink-grown.
MEMORY_MB = 112
ADDED_ROUTES = 1400
STORM_S, CHANGE_GAP_S = 4.58, 0.234
STORM_PAUSE_S = 0.5
RUN_S = 90.0
CHECK_S = 0.05
# The rule counts more than three channels that a machine closes.
MAX_CLOSED = 3
# Outcomes of a request whose channel was closed without an answer.
CLOSED = ("closed", "ConnectionResetError", "IncompleteReadError")
# Longest time for which a client waits.
ANSWER_S = 2.5


def memory_mb(process):
    """Returns the resident memory of a process; 0 if it has ended."""
    try:
        with open(f"/proc/{process.pid}/status", encoding="utf-8") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class GrownDeployment(dep.Deployment):
    added_routes = 0

    def configuration(self):
        out = super().configuration()
        for n in range(self.added_routes):
            out["routes"].append(
                {
                    "name": f"r-{n:04d}frg", "host": "hulo84.example",
                    "pathPrefix": f"/xapu{n:04d}/ny95/", "type": "idempotent", "timeoutS": 2.0,
                    "aimS": 0.8, "priority": 2,
                    "trafficSplit": [
                        {"service": "ledger-svc", "weight": 90},
                        {"service": "batch-svc", "weight": 10},
                    ],
                    "maxAttempts": 2, "anonymous": False, "sticky": True, "allowedRegions": [],
                }
            )
        out["services"].append({**out["services"][0], "name": "batch-svc"})
        return out


async def enforce_memory(deployment, exceeded):
    """Kills a process that exceeds its memory, as the platform does, and starts it
    again."""
    while True:
        await asyncio.sleep(CHECK_S)
        for it in deployment.gateways:
            size = memory_mb(it.process)
            if size > MEMORY_MB:
                deployment.record.write(f"platform: {it.name} uses {size:.0f} MB and is killed")
                exceeded.append((time.monotonic(), it, size))
                it.process.kill()
                it.process.wait()
                deployment.start_gateway(it)


async def storm(deployment, until):
    """Publishes storms of changes of the configuration, one after the other."""
    while time.monotonic() < until:
        end = time.monotonic() + STORM_S
        while time.monotonic() < end:
            deployment.publish()
            await asyncio.sleep(CHANGE_GAP_S)
        sizes = " ".join(f"{memory_mb(it.process):.0f}" for it in deployment.gateways)
        deployment.record.write(f"platform: the processes use {sizes} MB")
        await asyncio.sleep(STORM_PAUSE_S)


async def case(deployment, has_trouble):
    for gateway in deployment.gateways:
        for _ in range(10):
            deployment.run_client(gateway, "/levy/2f", 0.32)
    exceeded = []
    watch = asyncio.create_task(enforce_memory(deployment, exceeded))
    await asyncio.sleep(2)
    if has_trouble:
        deployment.added_routes = ADDED_ROUTES
        deployment.publish()
    began_at = time.monotonic()
    await storm(deployment, began_at + RUN_S)
    watch.cancel()
    violations = []
    runs = {it for target in deployment.targets for _, it, _ in target.runs}
    for at, gateway, size in exceeded:
        lost = [
            request_id
            for request_id, (sent_at, ended_at, it, _, outcome) in deployment.outcomes.items()
            if it is gateway and request_id in runs and outcome in CLOSED
            and sent_at < at <= ended_at < at + ANSWER_S
        ]
        deployment.record.write(
            f"{gateway.name}: {len(lost)} requests that ran have no answer when it ends: {lost}")
        if len(lost) > MAX_CLOSED:
            violations.append(
                f"LOST: {gateway.name} uses {size:.0f} MB of {MEMORY_MB} after "
                f"{at - began_at:.0f} s, ends by itself and closes {len(lost)} channels "
                "without an answer")
    return violations


dep.run_case(case, FOLDER, lambda record: GrownDeployment(record, ZONES, 2, memory_mb=MEMORY_MB))
