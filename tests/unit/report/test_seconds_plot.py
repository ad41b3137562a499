"""Guards the plot of the seconds: its content, its file, and the optional library it needs."""

import subprocess
import sys
from pathlib import Path
from xml.etree import ElementTree

import pytest

from redwingswitch._internal.cli.report import main
from redwingswitch._internal.report import plot_file
from redwingswitch._internal.report.seconds_plot import render_seconds_svg
from redwingswitch._internal.report.seconds_series import build_panels
from redwingswitch._internal.report.seconds_table import COUNT_COLUMNS
from tests.lib.steering_logs import line, rows, started

PLOT_MODULE = "redwingswitch._internal.report.seconds_plot"


def sample(domain: str = "hobart") -> list[str]:
    first, second = "entry-1 ", "entry-2 "
    return [
        started(0, prefix=first),
        started(0, prefix=second, domain=domain),
        line(0, "readiness=ready", part="steering", prefix=first),
        line(1, "opened failure_domain=x routes_version=3 list_age_ms=9", prefix=first),
        line(1, "rejected_shortage priority=2 wait_ms=0 omitted=3", prefix=second),
        line(2, "out of service failure_domains=bruny", part="fleet", prefix=first),
        line(5, "server avoided server=i-1 fault=slow", part="load", prefix=first),
        line(6, "out of service failure_domains=none", part="fleet", prefix=first),
        line(7, "dropped_abandoned", prefix=first),
    ]


def ids(svg: bytes, prefix: str) -> set[str]:
    found = (element.get("id", "") for element in ElementTree.fromstring(svg).iter())
    return {each for each in found if each.startswith(prefix)}


def texts(svg: bytes) -> set[str]:
    root = ElementTree.fromstring(svg)
    return {"".join(each.itertext()) for each in root.iter("{http://www.w3.org/2000/svg}text")}


def test_the_plot_has_one_panel_for_each_failure_domain_with_its_series() -> None:
    svg = render_seconds_svg(rows(*sample()))
    assert ids(svg, "panel-") == {"panel-0", "panel-1"}
    assert ids(svg, "series-0-") == {
        "series-0-ready",
        "series-0-rejected_shortage",
        "series-0-rejected_p2_at_once",
        "series-0-rejected_p?_unknown",
    }
    assert ids(svg, "series-1-") == {
        "series-1-ready",
        "series-1-opened",
        "series-1-other_domain",
        "series-1-avoided_slow",
        "series-1-dropped_abandoned",
        "series-1-age_ms",
        "series-1-routes",
    }
    assert {"hosts of hobart", "hosts of huon", "bruny out of service"} <= texts(svg)
    assert "09:56:20" in texts(svg)


@pytest.mark.parametrize("name", COUNT_COLUMNS)
def test_each_count_can_be_a_series(name: str) -> None:
    (row,) = rows(line(1, "waiting"))
    row.counts[name] += 3
    (panel,) = build_panels([row])
    assert {series.name: series.values for series in panel.series}[name] == [
        4.0 if name == "waiting" else 3.0
    ]


def test_seconds_without_lines_count_zero_and_have_no_list_age() -> None:
    (panel,) = build_panels(
        rows(line(1, "opened list_age_ms=5"), line(2, "opened"), line(9, "opened list_age_ms=6"))
    )
    series = {each.name: each.values for each in panel.series}
    assert [time_s - panel.times_s[0] for time_s in panel.times_s] == [0, 1, 2, 7, 8]
    assert series["opened"] == [1.0, 1.0, 0.0, 0.0, 1.0]
    assert [str(value) for value in series["age_ms"]] == ["5.0", "nan", "nan", "nan", "6.0"]


def test_a_failure_domain_is_out_of_service_from_its_first_second_to_the_next_without_it() -> None:
    huon = build_panels(rows(*sample()))[1]
    # The line of the second in which it returns still finds it out of service before.
    assert [(span.failure_domain, span.end_s - span.start_s) for span in huon.out_of_service] == [
        ("bruny", 5)
    ]


def test_the_same_rows_give_the_same_bytes() -> None:
    assert render_seconds_svg(rows(*sample())) == render_seconds_svg(rows(*sample()))


@pytest.mark.parametrize(
    "domain", ["$a$", "<a>&", "a\x01b", "\N{SNOWMAN}", "$\\frac{", "\ud800", "x" * 300]
)
def test_any_name_of_a_failure_domain_gives_a_file_that_is_xml(domain: str) -> None:
    svg = render_seconds_svg(rows(*sample(domain)))
    assert len(ids(svg, "panel-")) == 2


@pytest.mark.parametrize(
    "texts",
    [
        pytest.param([], id="no rows"),
        pytest.param([line(1, "opened")], id="one second"),
        pytest.param(
            [line(1, "opened"), line(1, "opened").replace("2026", "0001")], id="two millennia"
        ),
        pytest.param([line(1, "opened").replace("2026", "9999")], id="last year"),
        pytest.param([line(1, f"waiting omitted={'9' * 18}")], id="large count"),
    ],
)
def test_odd_rows_give_a_file_that_is_xml(texts: list[str]) -> None:
    ElementTree.fromstring(render_seconds_svg(rows(*texts)))


@pytest.fixture
def log(tmp_path: Path) -> Path:
    path = tmp_path / "entry-1.log"
    path.write_text("".join(sample()))
    return path


def run(monkeypatch: pytest.MonkeyPatch, *arguments: str) -> int:
    monkeypatch.setattr("sys.argv", ["redwingswitch-report", "seconds", *arguments])
    with pytest.raises(SystemExit) as ended:
        main()
    return int(ended.value.code or 0)


def test_the_command_writes_the_plot_beside_the_table(log, tmp_path, capsys, monkeypatch) -> None:
    plot = tmp_path / "day.svg"
    plot.write_text("an earlier plot")
    assert run(monkeypatch, str(log), f"--plot={plot}") == 0
    assert "rejected" in capsys.readouterr().out
    assert len(ids(plot.read_bytes(), "panel-")) == 2
    assert run(monkeypatch, str(log), f"--plot={plot}", "--domain=huon") == 0
    assert len(ids(plot.read_bytes(), "panel-")) == 1
    assert sorted(path.name for path in tmp_path.iterdir()) == ["day.svg", "entry-1.log"]


def test_a_plot_through_a_symbolic_link_keeps_the_link(log, tmp_path, monkeypatch) -> None:
    (tmp_path / "link.svg").symlink_to(tmp_path / "day.svg")
    assert run(monkeypatch, str(log), f"--plot={tmp_path / 'link.svg'}") == 0
    assert (tmp_path / "link.svg").is_symlink()
    assert ids((tmp_path / "day.svg").read_bytes(), "panel-")


@pytest.mark.parametrize(
    ("name", "problem"),
    [
        pytest.param("absent/day.svg", "is in no directory", id="no directory"),
        pytest.param("entry-1.log/day.svg", "is in no directory", id="file as directory"),
        pytest.param("directory", "is no regular file", id="directory"),
        pytest.param("/dev/null", "is no regular file", id="device"),
        pytest.param("entry-1.log", "is one of the logs", id="log"),
        pytest.param("loop.svg/day.svg", "is in no directory", id="loop of links"),
        pytest.param(f"{'x' * 300}.svg", "cannot be written", id="name too long"),
    ],
)
def test_a_plot_that_cannot_be_written_is_an_error_with_its_path(
    log, capsys, monkeypatch, name: str, problem: str
) -> None:
    (log.parent / "directory").mkdir()
    (log.parent / "loop.svg").symlink_to(log.parent / "loop.svg")
    before = log.read_text()
    path = log.parent / name
    assert run(monkeypatch, str(log), f"--plot={path}") == 2
    output = capsys.readouterr()
    assert f"--plot={path}: {problem}" in output.err
    assert output.out == ""
    assert log.read_text() == before
    assert sorted(each.name for each in log.parent.iterdir()) == [
        "directory",
        "entry-1.log",
        "loop.svg",
    ]


@pytest.mark.parametrize("step", ["write_bytes", "replace"])
def test_a_failed_write_leaves_the_earlier_plot_and_no_partial_file(
    log, tmp_path, capsys, monkeypatch, step: str
) -> None:
    def fail(path: Path, *_: object) -> None:
        with path.open("ab") as file:
            file.write(b"<svg")
        raise OSError(28, "No space left on device")

    plot = tmp_path / "day.svg"
    plot.write_text("an earlier plot")
    with monkeypatch.context() as patch:
        patch.setattr(plot_file.Path, step, fail)
        assert run(patch, str(log), f"--plot={plot}") == 2
    error = capsys.readouterr().err
    assert f"--plot={plot}: cannot be written (No space left on device)" in error
    assert plot.read_text() == "an earlier plot"
    assert sorted(path.name for path in tmp_path.iterdir()) == ["day.svg", "entry-1.log"]


@pytest.mark.parametrize("option", ["--plot", "--plot="])
def test_a_plot_without_a_name_is_refused(log, capsys, monkeypatch, option: str) -> None:
    assert run(monkeypatch, str(log), option) == 2
    assert "--plot: names no file" in capsys.readouterr().err


def test_findings_on_the_logs_and_on_the_plot_are_reported_together(
    tmp_path, capsys, monkeypatch
) -> None:
    absent = tmp_path / "absent.log"
    assert run(monkeypatch, str(absent), f"--plot={tmp_path}") == 2
    error = capsys.readouterr().err
    assert f"{absent}: is no file" in error
    assert f"--plot={tmp_path}: is no regular file" in error


def test_without_matplotlib_the_command_names_the_extra(log, tmp_path, capsys, monkeypatch) -> None:
    monkeypatch.setitem(sys.modules, "matplotlib", None)
    monkeypatch.delitem(sys.modules, PLOT_MODULE)
    assert run(monkeypatch, str(log), f"--plot={tmp_path / 'day.svg'}") == 2
    output = capsys.readouterr()
    assert "needs matplotlib" in output.err
    assert "redwingswitch[plot]" in output.err
    assert output.out == ""
    assert not (tmp_path / "day.svg").exists()
    assert run(monkeypatch, str(log)) == 0


@pytest.mark.parametrize(
    "module", ["daemon.steering_program", "commands.report_seconds", "commands.steer", "cli.report"]
)
def test_matplotlib_is_not_imported_without_a_plot(module: str) -> None:
    code = f"import sys, redwingswitch._internal.{module}; sys.exit('matplotlib' in sys.modules)"
    completed = subprocess.run([sys.executable, "-c", code], check=False, timeout=60)
    assert completed.returncode == 0
