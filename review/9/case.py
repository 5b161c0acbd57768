"""A target that is gone stays in use because a watch was cut off shortly before."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import deployment2 as dep  # noqa: E402

ZONES = {"akl-north": "akl", "wlg-harbour": "wlg", "chc-east": "chc"}
ROUNDS = 5
# Time from the cut until the entry of a target is removed.
GAP_S = 0.03


async def case(deployment, has_trouble):
    store = deployment.store
    for gateway in deployment.gateways:
        for _ in range(5):
            deployment.run_client(gateway, "/levy/2f", 0.08)
    violations = []
    for _ in range(ROUNDS):
        leaving = await deployment.add_target("wlg-harbour")
        for it in deployment.targets:
            it.slots, it.work_s = 64, 0.05
        await asyncio.sleep(dep.CONTACT_S + 2)
        if has_trouble:
            count = store.cut_waiting_watches()
            deployment.record.write(f"store: {count} waiting watches are cut off")
        await asyncio.sleep(GAP_S)
        removed_at = store.remove("servers", leaving.name)
        deployment.record.write(f"store: {leaving.name} is gone; it serves on for some seconds")
        await asyncio.sleep(dep.DRAIN_S + 1.5)
        for at, request_id, _ in leaving.arrivals:
            if at > removed_at + dep.DRAIN_S:
                gateway = deployment.outcomes.get(request_id, (0, 0, None))[2]
                violations.append(
                    f"DRAIN: {request_id} reaches {leaving.name} {at - removed_at:.3f} s after it "
                    f"is gone, from {gateway.name if gateway else 'a gateway'}")
        leaving.exit()
        deployment.targets.remove(leaving)
    return violations


dep.run_case(
    case, FOLDER, lambda record: dep.Deployment(record, ZONES, 1, store_region="akl"))
