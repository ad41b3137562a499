"""Render the seconds of steering hosts as an SVG plot. Only ``--plot`` imports this module."""

from __future__ import annotations

import io
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import Any, NamedTuple

import matplotlib
from matplotlib.axes import Axes
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.colors import to_hex
from matplotlib.figure import Figure
from matplotlib.ticker import FuncFormatter, MaxNLocator

from redwingswitch._internal.report.line_problems import to_printable
from redwingswitch._internal.report.seconds import SecondRow
from redwingswitch._internal.report.seconds_series import Panel, build_panels

_WIDTH_INCHES = 14.0
_PANEL_HEIGHT_INCHES = 5.0
_LINE_STYLES = ("-", "--", ":", "-.")
_COLOURS = "tab20"
_COLOUR_COUNT = 20
_LEGEND_COLUMNS = 2
# Counts of one and of thousands are visible in the same panel.
_LINEAR_UP_TO = 10
_SETTINGS: dict[Any, object] = {
    # The same rows give the same bytes.
    "svg.hashsalt": "redwingswitch-report",
    # Text stays text, so that it can be searched and depends on no fonts of this machine.
    "svg.fonttype": "none",
    # Names in the logs may have dollar signs.
    "text.parse_math": False,
}
_METADATA = {"Date": None, "Creator": "redwingswitch-report seconds"}


class _Style(NamedTuple):
    colour: str
    line_style: str


def render_seconds_svg(rows: Sequence[SecondRow]) -> bytes:
    """Return an SVG file with one panel for each failure domain of hosts."""
    panels = build_panels(rows)
    with matplotlib.rc_context():
        # The user's own settings of matplotlib must not change the file.
        matplotlib.rcdefaults()
        matplotlib.rcParams.update(_SETTINGS)
        return _render(panels)


def _render(panels: Sequence[Panel]) -> bytes:
    height_inches = _PANEL_HEIGHT_INCHES * max(1, len(panels))
    figure = Figure(figsize=(_WIDTH_INCHES, height_inches), layout="constrained")
    FigureCanvasSVG(figure)
    if not panels:
        figure.suptitle("No events of steering hosts were found in these files.")
    start_s = min((panel.times_s[0] for panel in panels), default=0)
    end_s = max((panel.times_s[-1] for panel in panels), default=0) + 1
    styles = _styles(panels)
    for index, panel in enumerate(panels):
        axes = figure.add_subplot(len(panels), 1, index + 1)
        axes.set_gid(f"panel-{index}")
        axes.set_xlim(0, end_s - start_s)
        _draw_panel(axes, panel, styles=styles, index=index, start_s=start_s)
    output = io.BytesIO()
    figure.savefig(output, format="svg", metadata=_METADATA)
    return output.getvalue()


def _draw_panel(
    axes: Axes, panel: Panel, *, styles: Mapping[str, _Style], index: int, start_s: int
) -> None:
    axes.set_title(f"hosts of {to_printable(panel.failure_domain)}")
    axes.set_yscale("symlog", linthresh=_LINEAR_UP_TO)
    axes.yaxis.set_major_formatter(FuncFormatter(lambda value, _: f"{value:g}"))
    axes.set_ylabel("events a second, hosts, or the unit in the name")
    axes.set_xlabel("time (UTC)")
    axes.xaxis.set_major_locator(MaxNLocator(integer=True))
    axes.xaxis.set_major_formatter(FuncFormatter(lambda value, _: _format_time(value, start_s)))
    axes.grid(visible=True, alpha=0.3)
    times = [time_s - start_s for time_s in panel.times_s]
    for series in panel.series:
        style = styles[series.name]
        (line,) = axes.plot(
            times,
            series.values,
            label=series.name,
            drawstyle="steps-post",
            marker=".",
            markersize=2,
            linewidth=1,
            color=style.colour,
            linestyle=style.line_style,
        )
        line.set_gid(f"series-{index}-{series.name}")
    for span in panel.out_of_service:
        axes.axvspan(
            span.start_s - start_s,
            span.end_s - start_s,
            alpha=0.15,
            color="black",
            label=to_printable(f"{span.failure_domain} out of service"),
        )
    # Only now: a limit that is set before the series are drawn stays for both ends.
    axes.set_ylim(bottom=0)
    axes.legend(
        loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize="x-small", ncols=_LEGEND_COLUMNS
    )


def _styles(panels: Sequence[Panel]) -> dict[str, _Style]:
    """Return the style of each series, the same one in all panels."""
    colours = matplotlib.colormaps[_COLOURS]
    names = dict.fromkeys(series.name for panel in panels for series in panel.series)
    return {
        name: _Style(
            colour=to_hex(colours(position % _COLOUR_COUNT)),
            line_style=_LINE_STYLES[position // _COLOUR_COUNT % len(_LINE_STYLES)],
        )
        for position, name in enumerate(names)
    }


def _format_time(value: float, start_s: int) -> str:
    try:
        return f"{datetime.fromtimestamp(start_s + value, UTC):%H:%M:%S}"
    except (OverflowError, ValueError):
        # A tick beyond the years that datetime knows.
        return ""
