"""Controller of the overload control: tracks the load level and the number of gapped priority levels.

Equation numbers and the symbols f, X, x, T_k, lambda_k are those of Andersson, Nyberg and Kihl (ITCom 2003).
Times are milliseconds.
"""

from __future__ import annotations

import random
from enum import IntEnum

MARGIN_F = 0.9  # f: a load of at least f times the bound of (4) or (6) counts as OVERLOAD
DETECTIONS = 5  # consecutive detections (or passes) before the load level changes
# Initial X. Afterwards X is T_1, the time within which a change of the gate shows an effect.
INITIAL_X_MS = 200.0
# A priority level is readmitted after this many X: gapping too late costs more than readmitting too late.
RECOVERY_STEPS = 2.0


class LoadLevel(IntEnum):
    """Result of one test of the time constraints; also the state derived from consecutive tests."""

    NORMAL = 0
    OVERLOAD = 1  # a condition holds, but not with the safety margin f
    SEVERE = 2  # a condition does not hold


# Module-level aliases: accessing a member through its enum class costs a function call in Python 3.11.
_NORMAL, _OVERLOAD, _SEVERE = LoadLevel


class Controller:
    """Derives the load level from conditions (4) and (6) and sets how many priority levels are gapped."""

    def __init__(self, rng: random.Random):
        self.level = _NORMAL
        self.gapped_levels = 0
        self.changes = 0  # changes of `level` and `gapped_levels` since the start
        self.passes = 0  # consecutive tests without overload
        self.detections = 0  # consecutive tests that found overload
        self.severe_detections = 0  # consecutive tests that found severe overload
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
        """Tests condition (4) for every k and condition (6) for every pair i > k.

        `constraints` holds T_k in ascending order, `rates` lambda_k in requests per millisecond, `counts[k]`
        N(T_k), and `between[i][k]` N(T_i) - N(T_i - T_k)."""
        worst = _NORMAL
        for k, t_k in enumerate(constraints):
            ahead = sum(rates[j] * (t_k - constraints[j]) for j in range(k))
            base = sum(rates[j] * constraints[j] for j in range(k))
            load = (counts[k] + ahead) * x  # (4)
            for i in range(k + 1, len(constraints)):
                # (5)
                middle = sum(
                    rates[j] * min(t_k, constraints[i] - constraints[j]) for j in range(k, i)
                )
                load = max(load, (between[i][k] + ahead + middle + base) * x)  # (6)
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
            # The highest gapped priority is readmitted first.
            self._gap(self.gapped_levels - 1, now)
        else:
            return
        # Random step: dispatchers that gap and readmit in unison would make the load oscillate.
        self.step = self.x * (0.75 + 0.5 * self.rng.random())
