"""A lost answer of the store leaves all gateways without news of targets."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import deployment2 as dep  # noqa: E402

ZONES = {"akl-north": "akl", "wlg-harbour": "wlg", "chc-east": "chc"}
# The target serves for drainS after its report and a little longer, then exits.
SERVES_ON_S = dep.DRAIN_S + 5


async def case(deployment, has_trouble):
    store = deployment.store
    for gateway in deployment.gateways:
        for _ in range(4):
            deployment.run_client(gateway, "/levy/2f", 0.4)
    await asyncio.sleep(3)
    if has_trouble:
        count = store.lose_answers_of_waiting_watches("servers")
        deployment.record.write(f"store: {count} waiting watches of servers lose their answer")
    # An empty target is added: the watches of the kind get an answer.
    await deployment.add_target("akl-north")
    lost_at = time.monotonic()
    await asyncio.sleep(dep.CONTACT_S + 2)
    leaving = deployment.targets[0]
    drained_at = store.put("servers", leaving.name, leaving.spec("draining"))
    deployment.record.write(f"store: acknowledges {leaving.name} draining")
    await asyncio.sleep(SERVES_ON_S)
    leaving.exit()
    store.remove("servers", leaving.name)
    deployment.record.write(f"{leaving.name}: has left")
    await asyncio.sleep(3)
    violations = []
    for at, request_id, _ in leaving.arrivals:
        if at > drained_at + dep.DRAIN_S:
            violations.append(
                f"DRAIN: {request_id} reaches {leaving.name} {at - drained_at:.2f} s after it is "
                f"draining, {at - lost_at:.1f} s after the lost answers")
    for request_id in leaving.cut:
        outcome = deployment.outcomes.get(request_id)
        deployment.record.write(
            f"the client of {request_id}, cut off at the exit, got {outcome[4] if outcome else 'nothing'}")
    return violations


dep.run_case(case, FOLDER, lambda record: dep.Deployment(record, ZONES, 2))
