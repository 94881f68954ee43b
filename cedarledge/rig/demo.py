"""The demonstration: a small fleet in trouble, shown as it goes and summed up."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import IO, Any

from cedarledge.standins.judge import RULES, Verdict
from cedarledge.standins.plan import Plan

SAYING = {
    "slow": "a box has turned slow",
    "drain": "a box is drained and started again",
    "kill": "a relay was killed, and comes back",
}


class LiveTable:
    """Draws each second's figures over the last, on a terminal; elsewhere it draws nothing."""

    def __init__(self, plan: Plan, out: IO[str] = sys.stdout) -> None:
        self.plan = plan
        self.out = out
        self.drawn = 0

    def __call__(self, told: dict[str, Any]) -> None:
        if not self.out.isatty():
            return
        lines = list(self.lines(told))
        if self.drawn:
            self.out.write(f"\x1b[{self.drawn}F\x1b[J")
        self.out.write("\n".join(lines) + "\n")
        self.out.flush()
        self.drawn = len(lines)

    def lines(self, told: dict[str, Any]) -> Iterator[str]:
        clients = [worker for worker in told["workers"] if worker.get("role") == "clients"]
        boxes = [worker for worker in told["workers"] if worker.get("role") == "boxes"]

        def total(name: str) -> float:
            return sum(worker[name] for worker in clients)

        wanted = total("wanted")
        share = f"{total('served') / wanted:6.1%}" if wanted else "  -   "
        now = [
            SAYING.get(kind, kind) for kind, start, end in self.plan.faults if start <= told["second"] < end
        ]
        yield f"  {told['second']:3d} of {told['of']:g} s   {'; '.join(now) or 'calm'}"
        yield (
            f"  clients {total('people'):5.0f}   open {total('open'):5.0f}   served well {share}   "
            f"opened {total('opened'):5.0f}   declined {total('declined'):4.0f}   moved {total('moved'):4.0f}"
        )
        yield "  relays  " + "   ".join(f"{relay} {state}" for relay, state in told["relays"].items())
        up = sum(worker["up"] for worker in boxes)
        mean = sum(worker["sum"] for worker in boxes) / up if up else 0.0
        draining = sum(phase == "draining" for phase in told["list"].values())
        yield (
            f"  boxes   {up} up, {draining} draining, mean load {mean:.2f}, "
            f"most {max((worker['most'] for worker in boxes), default=0.0):.2f}"
        )


def summary(verdict: Verdict) -> str:
    """What came of a run, for a person."""
    answers = verdict.answers
    lines = [
        f"{verdict.connections} tunnels through {verdict.relays} relays to {verdict.boxes} simulated boxes "
        f"in {verdict.seconds:g} s:",
        f"  {answers['opened']} opened, {answers['declined']} declined, "
        f"{answers['closed_with_error']} closed with error, {sum(verdict.no_answer.values())} without: "
        "they met a relay that was killed, or gave up, or the run's end",
        f"  served well {verdict.well_served_all:.1%} of the time (by credit {verdict.credit_served:.1%}); "
        f"half were placed within {verdict.placement_ms['p50']:.0f} ms, 99 of 100 within "
        f"{verdict.placement_ms['p99']:.0f} ms",
        f"  {verdict.moves} clients moved, {verdict.setups_per_tunnel:.2f} setups per tunnel; "
        f"the relays took {verdict.relay_cpu_s:.1f} s of processor and {verdict.relay_peak_mb:.0f} MB",
    ]
    broken = [f"  {rule.replace('_', ' ')}: {verdict.counts[rule]}" for rule in RULES if verdict.counts[rule]]
    if broken:
        lines += ["Rules were BROKEN:", *broken]
        lines += [
            f"    {found.at / 1e9:.3f} s  {found.rule}: {found.what}" for found in verdict.findings[:10]
        ]
    else:
        lines.append(
            "Every rule held: one answer each, no effect twice, drains kept, no cold box pushed over."
        )
    if verdict.standins_late:
        lines.append(
            f"But the stand-ins ran {verdict.standins_late_ms:.0f} ms late on this machine: "
            "this run counts for nothing."
        )
    return "\n".join(lines)
