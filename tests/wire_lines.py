"""Runs the simulator's adapter on a few hand-written lines and compares its replies."""

from __future__ import annotations

import json
import subprocess
import sys

SETTINGS = {
    "allowed": {"most_setups": 3, "probes": True, "retry_after": True, "max_retry_after": 1000},
    "safety": {
        "cold_from": 0.2,
        "warm_within": 9000000,
        "fall_multiple": 3,
        "overload_for": 2000000,
        "ask_every": 10000000,
    },
    "profiles": [
        {"name": "feed", "semantics": "pure", "setup_goal": 300000, "credit": 1},
        {"name": "odd", "semantics": "unheard of", "setup_goal": 300000, "credit": 1},
    ],
    "service_type": "conn",
    "membership_mode": "ask",
    "group_size": 1,
    "dcs": ["here"],
    "zone": "here",
    "host_types": ["box"],
    "weight_kind": "off",
    "unknown": {"passed": "over"},
}
WIDE = 2**52 - 1
LINES = [
    {"moment": 5, "round": 1, "input": []},
    {
        "moment": 10,
        "round": 2,
        "input": [
            ["attach", 3, 2**63, SETTINGS],
            ["endpoints", 3, "restored", 1, [[0, "here", "Running", "box", 1, "backend_a"]]],
        ],
    },
    # The timer after which the list is requested; the balancer chose its token.
    {"moment": 15, "round": 3, "input": [["elapsed", 3, 2]]},
    {"moment": 20, "round": 4, "input": [["inbound", 3, WIDE, "odd", None, "k", 240000]]},
    {"moment": 90, "round": 5, "input": [["verdict", 3, WIDE, "backend_a", False, "T", 0, 70]]},
    {"moment": 95, "round": 6, "input": [["expired", 3, WIDE], ["exit", 3]]},
]
EXPECTED = [
    [],
    [["timer"], ["timer"]],
    [["subscribe", 3, True]],
    [["relay", 3, WIDE, "backend_a", 240000]],
    [["lose", 3, WIDE]],
    [],
]


def start(lines: list[str]) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "cedarledge.wirehost"],
        input="\n".join(lines) + "\n",
        text=True,
        capture_output=True,
        timeout=60,
        check=False,
    )


def main() -> int:
    run = start([json.dumps(line) for line in LINES])
    replies = [json.loads(reply) for reply in run.stdout.splitlines()]
    got = [[action[:1] if action[0] == "timer" else action for action in reply["do"]] for reply in replies]
    rounds = [reply["round"] for reply in replies]
    ok = run.returncode == 0 and got == EXPECTED and rounds == [line["round"] for line in LINES]
    for bad in ("no json", '{"moment":1,"round":2,"input":[["unheard",3]]}', '{"round":1}'):
        run = start([bad])
        ok = ok and run.returncode != 0 and not run.stdout and run.stderr.count("\n") == 1
    print("adapter: " + ("replies as expected" if ok else f"unexpected: {got} {run}"))
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
