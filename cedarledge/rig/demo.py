"""Output of demonstration runs: a live table of figures, and a summary of the verdict."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import IO, Any

from cedarledge.standins.judge import RULES, Verdict
from cedarledge.standins.plan import Plan

FAULT_TEXTS = {
    "slow": "a box is slow",
    "drain": "a box is drained and restarted",
    "kill": "a relay was killed and restarts",
}


class LiveTable:
    """Shows the current figures on a terminal, replacing them each second; without a terminal, nothing."""

    def __init__(self, plan: Plan, out: IO[str] = sys.stdout) -> None:
        """Takes the plan, which names the faults, and the stream to write to."""
        self.plan = plan
        self.out = out
        self.lines_drawn = 0

    def __call__(self, figures: dict[str, Any]) -> None:
        """Replaces the table by one of these figures; a progress callback of `run_plan`."""
        if not self.out.isatty():
            return
        lines = list(self.lines(figures))
        if self.lines_drawn:
            self.out.write(f"\x1b[{self.lines_drawn}F\x1b[J")
        self.out.write("\n".join(lines) + "\n")
        self.out.flush()
        self.lines_drawn = len(lines)

    def lines(self, figures: dict[str, Any]) -> Iterator[str]:
        """Yields the lines of the table."""
        clients = [worker for worker in figures["workers"] if worker.get("role") == "clients"]
        boxes = [worker for worker in figures["workers"] if worker.get("role") == "boxes"]

        def total(name: str) -> float:
            return sum(worker[name] for worker in clients)

        wanted = total("wanted")
        share = f"{total('served') / wanted:6.1%}" if wanted else "  -   "
        active_faults = [
            FAULT_TEXTS.get(kind, kind)
            for kind, start, end in self.plan.faults
            if start <= figures["second"] < end
        ]
        yield f"  {figures['second']:3d} of {figures['of']:g} s   {'; '.join(active_faults) or 'calm'}"
        yield (
            f"  clients {total('people'):5.0f}   open {total('open'):5.0f}   served well {share}   "
            f"opened {total('opened'):5.0f}   declined {total('declined'):4.0f}   moved {total('moved'):4.0f}"
        )
        yield "  relays  " + "   ".join(f"{relay} {state}" for relay, state in figures["relays"].items())
        running = sum(worker["up"] for worker in boxes)
        mean_load = sum(worker["sum"] for worker in boxes) / running if running else 0.0
        draining = sum(phase == "draining" for phase in figures["list"].values())
        yield (
            f"  boxes   {running} up, {draining} draining, mean load {mean_load:.2f}, "
            f"most {max((worker['most'] for worker in boxes), default=0.0):.2f}"
        )


def summary(verdict: Verdict) -> str:
    """Returns a readable summary of a run's verdict."""
    answers = verdict.answers
    lines = [
        f"{verdict.connections} connections through {verdict.relays} relays to {verdict.boxes} emulated "
        f"backends in {verdict.seconds:g} s:",
        f"  {answers['opened']} opened, {answers['declined']} declined, "
        f"{answers['closed_with_error']} closed with error, {sum(verdict.no_answer.values())} without an "
        "answer: their relay was killed, the client gave up, or the run ended",
        f"  served well {verdict.well_served_all:.1%} of the time (by credit {verdict.credit_served:.1%}); "
        f"placement took {verdict.placement_ms['p50']:.0f} ms at the median and "
        f"{verdict.placement_ms['p99']:.0f} ms at the 99th percentile",
        f"  {verdict.moves} clients moved, {verdict.setups_per_tunnel:.2f} setups per connection; "
        f"the relays used {verdict.relay_cpu_s:.1f} s of processor time and {verdict.relay_peak_mb:.0f} MB",
    ]
    violations = [
        f"  {rule.replace('_', ' ')}: {verdict.counts[rule]}" for rule in RULES if verdict.counts[rule]
    ]
    if violations:
        lines += ["Rules were BROKEN:", *violations]
        lines += [
            f"    {finding.at / 1e9:.3f} s  {finding.rule}: {finding.what}"
            for finding in verdict.findings[:10]
        ]
    else:
        lines.append(
            "Every rule held: one answer each, no effect twice, drains respected, no cold backend overloaded."
        )
    if verdict.standins_late:
        lines.append(
            f"But the emulated systems ran {verdict.standins_late_ms:.0f} ms late on this machine: "
            "this run is invalid."
        )
    return "\n".join(lines)
