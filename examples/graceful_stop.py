"""Two processes stop: one finishes its work in time, one has work left at the grace deadline."""

from __future__ import annotations

from redwingswitch.coordination.graceful_stop import GracefulStop, Log, StopCompleted

GRACE_DEADLINE_MS = 10_000
STEP_MS = 100


def run(work_ends_ms: list[int]) -> StopCompleted:
    """Stop a process whose requests end at the given times; return how the stop ended."""
    stop = GracefulStop()
    actions = stop.begin(GRACE_DEADLINE_MS, now_ms=0)
    now_ms = 0
    while True:
        for action in actions:
            if isinstance(action, Log):
                print(f"{now_ms} ms: {action.text}")
            if isinstance(action, StopCompleted):
                print(f"{now_ms} ms: the process may exit")
                return action
        now_ms += STEP_MS
        in_progress = sum(end_ms > now_ms for end_ms in work_ends_ms)
        actions = stop.update(in_progress, hand_over_done=True, now_ms=now_ms)


def main() -> None:
    """Stop both processes and print what was cut off."""
    in_time = run([2_000, 3_500])
    too_late = run([2_000, 60_000])
    print(f"cut off: {in_time.cut_off_requests} and {too_late.cut_off_requests}")


if __name__ == "__main__":
    main()
