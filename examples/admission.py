"""A burst of short and long requests before four slots; short work does not wait for long work."""

from __future__ import annotations

from redwingswitch.coordination.admission import (
    AdmissionQueue,
    QueuedRequest,
    ServiceTimes,
    SizeClass,
    SlotUse,
)

SLOTS = 4
RUN_MS = {SizeClass.SHORT: 50, SizeClass.LONG: 1_000}
DEADLINE_MS = 3_000
END_MS = 6_000


def use_of(running: list[tuple[int, SizeClass]]) -> SlotUse:
    """Return how many slots each class occupies."""
    sizes = [size for _, size in running]
    return SlotUse(SLOTS, sizes.count(SizeClass.SHORT), sizes.count(SizeClass.LONG))


def offer_burst(queue: AdmissionQueue) -> int:
    """Offer six long requests and then forty short ones; return how many were refused."""
    refused = 0
    sizes = [SizeClass.LONG] * 6 + [SizeClass.SHORT] * 40
    for number, size in enumerate(sizes):
        request = QueuedRequest(
            request_id=number.to_bytes(16, "big"),
            caller=f"caller-{number % 10}",
            size=size,
            queued_at_ms=0,
            deadline_ms=DEADLINE_MS,
        )
        refusal = queue.offer(request, use_of([]), now_ms=0)
        if refusal is not None:
            refused += 1
            print(f"{size} request refused: {refusal.reason}")
    return refused


def main() -> None:
    """Run the burst to its end and print when the last request of each class ended."""
    times = ServiceTimes(expected_ms=50, declared=SizeClass.SHORT)
    queue = AdmissionQueue(times=times, bound=64)
    refused = offer_burst(queue)
    running: list[tuple[int, SizeClass]] = []
    last_end_ms = dict.fromkeys(SizeClass, 0)
    late = 0
    for now_ms in range(0, END_MS, 10):
        running = [(end_ms, size) for end_ms, size in running if end_ms > now_ms]
        while (request := queue.take(use_of(running), now_ms)) is not None:
            if now_ms > queue.last_start_ms(request):
                late += 1
                continue
            end_ms = now_ms + RUN_MS[request.size]
            running.append((end_ms, request.size))
            last_end_ms[request.size] = end_ms
            times.observe(request.size, RUN_MS[request.size])
    for size, end_ms in last_end_ms.items():
        print(f"last {size} request ended at {end_ms} ms")
    print(f"refused at once: {refused}, dropped as late: {late}, waiting: {len(queue)}")


if __name__ == "__main__":
    main()
