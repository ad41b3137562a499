"""Builds log lines of steering hosts."""

from redwingswitch._internal.report.log_lines import parse_log_line
from redwingswitch._internal.report.seconds import SecondRow, build_report

TIME = "2026-02-16T09:56:2{}.{:06d}"
FLOW = "100.68.0.10:1078>198.18.0.1:8443"


def line(second: int, text: str, *, part: str = "packets", prefix: str = "") -> str:
    return f"{prefix}{TIME.format(second, 5)} INFO    {part}: {text}\n"


def started(second: int, *, domain: str = "huon", prefix: str = "") -> str:
    text = f"started host=entry-1 failure_domain={domain}"
    return line(second, text, part="steering", prefix=prefix)


def rows(*texts: str, file: str = "entry-1", failure_domain: str = "") -> list[SecondRow]:
    parsed = [parse_log_line(text, file=file) for text in texts]
    report = build_report(each for each in parsed if each is not None)
    return report.rows(failure_domain=failure_domain)
