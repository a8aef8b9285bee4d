"""Pictures of a comparison."""

from __future__ import annotations

from pathlib import Path
from typing import Any

PANELS = (
    ("single", "single requests: response / ideal"),
    ("job", "jobs: response / ideal"),
)
PERCENTILES = ("p50", "p99", "p99.9")
BOUNDS = {"p50": 1.05, "p99": 1.25}


def draw_comparison(path: Path, title: str, rows: list[dict[str, Any]]) -> None:
    """Draw the ratios of each subject and the work done around a drain.

    Args:
        path: SVG file to write.
        title: Title of the picture.
        rows: Rows of the summary.
    """
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "catkincross"
    from matplotlib import pyplot

    by_label = {row["measure"]: row["subjects"] for row in rows}
    figure, axes = pyplot.subplots(1, 3, figsize=(12, 3.6))
    for axis, (kind, heading) in zip(axes, PANELS, strict=False):
        labels = [f"{kind}: response / ideal, {name}" for name in PERCENTILES]
        _bars(axis, [by_label[label] for label in labels], PERCENTILES)
        for position, name in enumerate(PERCENTILES):
            if name in BOUNDS:
                ends = [position - 0.45, position + 0.45]
                axis.plot(ends, [BOUNDS[name]] * 2, color="black", linewidth=1)
        axis.set_title(heading, fontsize=9)
    labels = [
        "work before a drain / allowed",
        "work during a drain / allowed",
        "work after a restore / allowed",
    ]
    _bars(axes[2], [by_label[label] for label in labels], ("before", "during", "after"))
    axes[2].plot([0.55, 2.45], [0.95, 0.95], color="black", linewidth=1)
    axes[2].set_ylim(0.5, 1.05)
    axes[2].set_title("work done around a drain / allowed", fontsize=9)
    axes[0].legend(fontsize=7)
    figure.suptitle(title + " (black: target)", fontsize=10)
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _bars(axis: Any, groups: list[dict[str, Any]], names: tuple[str, ...]) -> None:
    subjects = list(groups[0])
    width = 0.8 / max(1, len(subjects))
    for index, subject in enumerate(subjects):
        found = [group.get(subject) for group in groups]
        middle = [item["median"] if item else 0 for item in found]
        ranges = [item["range"] if item else [0, 0] for item in found]
        errors = [
            [m - low for m, (low, _) in zip(middle, ranges, strict=True)],
            [high - m for m, (_, high) in zip(middle, ranges, strict=True)],
        ]
        places = [n - 0.4 + width * (index + 0.5) for n in range(len(names))]
        axis.bar(places, middle, width, yerr=errors, label=subject, capsize=2)
    axis.set_xticks(range(len(names)), names, fontsize=8)
    axis.tick_params(axis="y", labelsize=8)
