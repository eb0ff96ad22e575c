"""Tests of the measured slopes: each probe at tiny sizes, and the fit on known data."""

from pathlib import Path
from tempfile import TemporaryDirectory

from wisteriastandins.slopes.fit import fit_line, run_probe
from wisteriastandins.slopes.models import Effort, Fit, Probe
from wisteriastandins.slopes.run import SlopeOptions, all_probes, measure_slopes, slope_row

from tests.common import function_suite

TINY_EFFORT = Effort(1, 0.0)


def test_fit_of_known_data() -> None:
    """Guards against wrong slopes, because the capacity page is computed from them."""
    exact = fit_line((1, 2, 4), (5.0, 7.0, 11.0))
    assert [round(value, 9) for value in exact] == [2.0, 3.0, 1.0]
    # By hand: the means are 2 and 3, the sums of squares and products 2, 5 and 14.
    scattered = fit_line((1, 2, 3), (1.0, 2.0, 6.0))
    assert round(scattered.slope, 9) == 2.5
    assert round(scattered.intercept, 9) == -2.0
    assert round(scattered.r2, 9) == round(25 / 28, 9)
    assert fit_line((1, 2, 3), (4.0, 4.0, 4.0)) == Fit(0.0, 4.0, 1.0)


def test_two_sizes_are_refused() -> None:
    """Guards against fitting a line to two points, whose r2 is always 1."""
    probe = Probe("x", "y", "us", (1, 2), lambda size, _: float(size))
    try:
        run_probe(probe, TINY_EFFORT)
    except ValueError:
        return
    raise AssertionError("A probe with two sizes was accepted.")


def test_every_probe_measures_at_tiny_sizes() -> None:
    """Guards against a probe that no longer matches the code that it measures."""
    probes = all_probes()
    names = [(probe.title, probe.size_name) for probe in probes]
    assert len(set(names)) == len(names)
    for probe in probes:
        assert len(probe.sizes) >= 3
        result = run_probe(probe._replace(sizes=(2, 4, 6)), TINY_EFFORT)
        assert len(result.costs) == 3
        assert all(cost >= 0 for cost in result.costs), probe.title
        if probe.unit == "bytes":
            # Byte counts do not vary between runs, so they must grow with the size.
            assert result.fit.slope > 0, probe.title


def test_page_contains_its_command_and_a_row_for_each_probe() -> None:
    """Guards against a page without its command, and a selection that silently drops rows."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "slopes.md"
        rows = measure_slopes(SlopeOptions(TINY_EFFORT, "memory of a ticket", path))
        text = path.read_text()
    assert rows == 1
    assert text.startswith("# Slopes\n\nCommand: `python -m wisteriastandins")
    assert text.count("| memory of a ticket | tickets | 1 000, 2 000, 4 000, 8 000 |") == 1


def test_row_shows_the_fit() -> None:
    """Guards against swapped columns."""
    probe = Probe("x", "y", "us", (1_000, 2_000, 3_000), lambda size, _: 2.0 * size + 1)
    row = slope_row(run_probe(probe, TINY_EFFORT))
    assert row == (
        "x",
        "y",
        "1 000, 2 000, 3 000",
        "2 001, 4 001, 6 001",
        "2",
        "1",
        "1.0000",
        "us",
    )


load_tests = function_suite(globals())
