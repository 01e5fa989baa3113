"""Controller of the overload control: tracks the load level and the number of gapped priority levels.

Equation numbers and symbols are those of Andersson, Nyberg and Kihl (ITCom 2003). The classes are numbered by
ascending time constraint: T_k is the time constraint of class k, lambda_k its guaranteed rate, and N(T) the
number of waiting requests that must start within the time T. The drain time x is the time in which the slots
of this dispatcher together serve one request, X the time between two changes of the gapped levels, and f a
safety margin. Times are milliseconds.
"""

from __future__ import annotations

import random
from enum import IntEnum

# Safety margin f: a load of at least f times the bound of condition (4) or (6) counts as OVERLOAD.
MARGIN_F = 0.9
# Number of consecutive tests with the same result after which the load level changes.
DETECTIONS = 5
# Initial time between two changes of the gapped levels (X). Later X is the shortest time constraint (T_1),
# within which such a change shows an effect.
INITIAL_X_MS = 200.0
# A priority level is readmitted after this number of steps of about X each, whereas one step is enough to gap
# a level: gapping too late costs more than readmitting too late.
RECOVERY_STEPS = 2.0


class LoadLevel(IntEnum):
    """Result of one test of the time constraints, and the state derived from consecutive results."""

    NORMAL = 0
    OVERLOAD = 1  # conditions (4) and (6) hold, but one of them not with the safety margin f
    SEVERE = 2  # condition (4) or (6) does not hold


# Module-level aliases: accessing a member through its enum class costs a function call in Python 3.11.
_NORMAL, _OVERLOAD, _SEVERE = LoadLevel


class Controller:
    """Derives the load level from conditions (4) and (6) and sets the number of gapped priority levels."""

    def __init__(self, rng: random.Random):
        self.level = _NORMAL
        self.gapped_levels = 0
        self.changes = 0  # number of changes of `level` and `gapped_levels` since the start
        self.passes = 0  # number of consecutive tests without overload
        self.detections = 0  # number of consecutive tests that found overload
        self.severe_detections = 0  # number of consecutive tests that found severe overload
        self.changed_at = 0.0
        self.priority_levels = 1
        self.rng = rng
        self.step = self.x = INITIAL_X_MS

    @staticmethod
    def detect(
        constraints: list[float],
        rates: list[float],
        counts: list[int],
        between: list[list[int]],
        x: float,
    ) -> LoadLevel:
        """Tests whether the time constraints can be met: conditions (4) for every k and (6) for every i > k.

        `constraints` holds the time constraints T_k in ascending order, `rates` the guaranteed rates lambda_k
        in requests per millisecond, `counts[k]` the number N(T_k) of requests that must start within T_k,
        `between[i][k]` the number N(T_i) - N(T_i - T_k) of those that must start within T_i but need not
        start within T_i - T_k. `x` is the drain time."""
        worst = _NORMAL
        for k, t_k in enumerate(constraints):
            ahead = sum(rates[j] * (t_k - constraints[j]) for j in range(k))
            base = sum(rates[j] * constraints[j] for j in range(k))
            load = (counts[k] + ahead) * x  # eq. (4)
            for i in range(k + 1, len(constraints)):
                # eq. (5)
                middle = sum(
                    rates[j] * min(t_k, constraints[i] - constraints[j]) for j in range(k, i)
                )
                load = max(load, (between[i][k] + ahead + middle + base) * x)  # eq. (6)
            if load >= t_k:
                return _SEVERE
            if load >= t_k * MARGIN_F:
                worst = _OVERLOAD
        return worst

    def record_test(self, found: LoadLevel, now: float) -> None:
        """Records the result of one test; `DETECTIONS` equal results in a row change the load level."""
        self._update_level(found)
        if self.level == _SEVERE:
            if self.gapped_levels < self.priority_levels:
                self._gap(self.priority_levels, now)
        elif now - self.changed_at >= self.step:
            self._step(now)

    def _update_level(self, found: LoadLevel) -> None:
        if not found:
            self.detections = self.severe_detections = 0
            self.passes += 1
            if self.passes >= DETECTIONS and self.level:
                self._enter(_NORMAL)
            return
        self.detections += 1
        self.severe_detections = self.severe_detections + 1 if found == _SEVERE else 0
        self.passes = 0
        if self.detections >= DETECTIONS:
            severe = self.severe_detections >= DETECTIONS
            level = _SEVERE if severe else max(_OVERLOAD, self.level)
            if level != self.level:
                self._enter(level)

    def _enter(self, level: LoadLevel) -> None:
        self.level = level
        self.changes += 1

    def _gap(self, levels: int, now: float) -> None:
        self.gapped_levels = levels
        self.changed_at = now
        self.changes += 1

    def _step(self, now: float) -> None:
        """Gaps one more priority level, or readmits one, according to the load level."""
        if self.level == _OVERLOAD and self.gapped_levels < self.priority_levels:
            self._gap(self.gapped_levels + 1, now)
        elif (
            self.level == _NORMAL
            and self.gapped_levels > 0
            and now - self.changed_at >= RECOVERY_STEPS * self.step
        ):
            # The highest gapped priority level is readmitted first.
            self._gap(self.gapped_levels - 1, now)
        else:
            return
        # The step time is random: dispatchers that gap and readmit in unison would make the load oscillate.
        self.step = self.x * (0.75 + 0.5 * self.rng.random())
