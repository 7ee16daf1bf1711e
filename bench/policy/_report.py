"""Writes the results of an experiment as JSON and as plots."""

import json
from collections.abc import Mapping
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

OUT = Path("bench/out")


def write_report(name: str, results: Mapping[str, object], out: Path = OUT) -> Path:
    """Write `<name>.json` and return its path."""
    out.mkdir(parents=True, exist_ok=True)
    path = out / f"{name}.json"
    path.write_text(json.dumps(results, indent=1))
    return path


def plot_spreads(
    name: str,
    spreads_by_label: Mapping[str, Mapping[str, float]],
    *,
    title: str,
    axis: str,
    out: Path = OUT,
) -> Path:
    """Plot the mean of each label as a bar whose error bar spans the least and the most."""
    out.mkdir(parents=True, exist_ok=True)
    labels = list(spreads_by_label)
    means = [spread["mean"] for spread in spreads_by_label.values()]
    below = [spread["mean"] - spread["least"] for spread in spreads_by_label.values()]
    above = [spread["most"] - spread["mean"] for spread in spreads_by_label.values()]
    figure, axes = plt.subplots(figsize=(8, 0.5 * len(labels) + 1.5))
    axes.barh(labels, means, xerr=[below, above], capsize=3)
    axes.invert_yaxis()
    axes.set_title(title)
    axes.set_xlabel(axis)
    figure.tight_layout()
    path = out / f"{name}.png"
    figure.savefig(path, dpi=100)
    plt.close(figure)
    return path


def plot_lines(
    name: str,
    points_by_label: Mapping[str, Mapping[float, float]],
    *,
    title: str,
    axes_names: tuple[str, str],
    out: Path = OUT,
) -> Path:
    """Plot one line for each label."""
    out.mkdir(parents=True, exist_ok=True)
    figure, axes = plt.subplots(figsize=(8, 4))
    for label, points in points_by_label.items():
        axes.plot(list(points), list(points.values()), marker=".", label=label)
    axes.set_title(title)
    axes.set_xlabel(axes_names[0])
    axes.set_ylabel(axes_names[1])
    axes.legend()
    figure.tight_layout()
    path = out / f"{name}.png"
    figure.savefig(path, dpi=100)
    plt.close(figure)
    return path
