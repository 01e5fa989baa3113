"""Least-squares lines through measurements at several sizes, with a check for a hidden quadratic term."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

MIN_SIZES = 5
# A line is the wrong model if a quadratic term contributes more than this fraction of the value at the
# largest size.
MAX_QUADRATIC_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class Fit:
    """The line `slope * size + constant`, fitted by least squares.

    `residual`: root mean square of the errors, as a fraction of the mean value. `square`: contribution of a
    quadratic term to the value at the largest size, as a fraction of it, when one is fitted too.
    """

    slope: float
    constant: float
    residual: float
    square: float
    largest: float

    def value_at(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.slope * size + self.constant

    @property
    def is_nonlinear(self) -> bool:
        """Whether the quadratic term is too large for a line to be a good model."""
        return abs(self.square) > MAX_QUADRATIC_FRACTION


def _solve_linear(rows: list[list[float]]) -> list[float]:
    """Solves linear equations by Gauss-Jordan elimination; the last value of a row is its right-hand side."""
    size = len(rows)
    for column in range(size):
        pivot = max(range(column, size), key=lambda row: abs(rows[row][column]))
        rows[column], rows[pivot] = rows[pivot], rows[column]
        for row in range(size):
            if row != column:
                factor = rows[row][column] / rows[column][column]
                rows[row] = [a - factor * b for a, b in zip(rows[row], rows[column], strict=True)]
    return [row[-1] / row[column] for column, row in enumerate(rows)]


def _fit_polynomial(sizes: Sequence[float], values: Sequence[float], degree: int) -> list[float]:
    """Returns the coefficients of the least-squares polynomial, the constant first."""
    powers = range(degree + 1)
    rows = [
        [sum(size ** (a + b) for size in sizes) for b in powers]
        + [sum(v * size**a for size, v in zip(sizes, values, strict=True))]
        for a in powers
    ]
    return _solve_linear(rows)


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fits a line through measured values. Raises ValueError for fewer than MIN_SIZES different sizes."""
    if len(set(sizes)) < MIN_SIZES:
        raise ValueError(f"a fitted line needs at least {MIN_SIZES} sizes, not {len(set(sizes))}")
    largest = max(sizes)
    # Sizes of at most 1 keep the normal equations well conditioned.
    scaled = [size / largest for size in sizes]
    constant, slope = _fit_polynomial(scaled, values, 1)
    square = _fit_polynomial(scaled, values, 2)[2]
    errors = [constant + slope * size - value for size, value in zip(scaled, values, strict=True)]
    mean = sum(values) / len(values)
    rms_error = math.sqrt(sum(error * error for error in errors) / len(errors))
    value_at_largest = values[list(sizes).index(largest)]
    return Fit(
        slope / largest,
        constant,
        rms_error / abs(mean) if mean else 0.0,
        square / value_at_largest if value_at_largest else 0.0,
        largest,
    )
