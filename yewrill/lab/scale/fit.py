"""Straight lines through measurements at several sizes, and whether a square term is hidden in them."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

LEAST_POINTS = 5
SQUARE_MATTERS = 0.25  # of the value at the largest size that was run


@dataclass(frozen=True, slots=True)
class Fit:
    """`slope * size + constant` by least squares. `residual`: the root of the mean squared distance, as a
    part of the mean value. `square`: the part of the value at the largest size that a square term makes up,
    in a fit with one."""

    slope: float
    constant: float
    residual: float
    square: float
    largest: float

    def at(self, size: float) -> float:
        """The value that the line gives at a size."""
        return self.slope * size + self.constant

    @property
    def bent(self) -> bool:
        """Whether a straight line hides a square."""
        return abs(self.square) > SQUARE_MATTERS


def _solve(rows: list[list[float]]) -> list[float]:
    """Solve linear equations by elimination; each row ends with its right side."""
    size = len(rows)
    for at in range(size):
        pivot = max(range(at, size), key=lambda row: abs(rows[row][at]))
        rows[at], rows[pivot] = rows[pivot], rows[at]
        for row in range(size):
            if row != at:
                factor = rows[row][at] / rows[at][at]
                rows[row] = [a - factor * b for a, b in zip(rows[row], rows[at], strict=True)]
    return [row[-1] / row[at] for at, row in enumerate(rows)]


def _polynomial(sizes: Sequence[float], values: Sequence[float], degree: int) -> list[float]:
    """Coefficients by least squares, the constant first."""
    powers = range(degree + 1)
    rows = [
        [sum(size ** (a + b) for size in sizes) for b in powers]
        + [sum(v * size**a for size, v in zip(sizes, values, strict=True))]
        for a in powers
    ]
    return _solve(rows)


def line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The line through measured values. Raises ValueError for fewer sizes than `LEAST_POINTS`."""
    if len(set(sizes)) < LEAST_POINTS:
        raise ValueError(f"a slope needs {LEAST_POINTS} sizes, not {len(set(sizes))}")
    largest = max(sizes)
    scaled = [size / largest for size in sizes]  # keeps the equations well conditioned
    constant, slope = _polynomial(scaled, values, 1)
    square = _polynomial(scaled, values, 2)[2]
    errors = [constant + slope * size - value for size, value in zip(scaled, values, strict=True)]
    mean = sum(values) / len(values)
    root = math.sqrt(sum(error * error for error in errors) / len(errors))
    top = values[list(sizes).index(largest)]
    return Fit(
        slope / largest,
        constant,
        root / abs(mean) if mean else 0.0,
        square / top if top else 0.0,
        largest,
    )
