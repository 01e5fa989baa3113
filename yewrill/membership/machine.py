"""The membership protocol as a pure machine: messages and the time in, messages out. No I/O, clock or
randomness.

Theory of operation. SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's refinements:

- *Probing.* Once an interval a member pings the next of a shuffled list of the others. Without an answer in
  time it asks a few others to ping it. Whoever was asked says so if it got none (a nack): where not even
  nacks come, it is us who are cut off, and our doubt of ourselves grows in place of the suspicion's weight.
- *Pursuit.* Who did not answer is asked again and again, and so are others about it, until something of it
  is heard or its silence is unlikely (`evidence.py`; the clock is the number of our questions, the loss that
  of all our probes, or this pair's if that is more). At phi `doubt` it is suspected, and a few are told.
- *Suspicion.* Never death at once. It lasts a while that others' findings shorten, and until our own phi and
  theirs (each counted as one doubt's) make `death` together.
- *Life counts more.* Whatever is heard of a member itself ends its pursuit, and so does a helper's word that
  it lives (an ack `about` it). Others' word alone raises no doubt: who hears one pings the accused, tells it
  on only when no answer comes, joins in only by its own questions, and contradicts if the accused is heard.
  So a liar makes pings; it can keep one dead on the list, which costs attempts, but takes nobody off.
- *One direction.* A member that speaks and does not answer does not hear us: its silence to our questions
  proves nothing, and only a long one in all (`patience`) does.
- *The word of others.* A death needs findings of others that are heard: of three, or of as many as are
  heard, and of one at least. So a member that hears nobody takes nobody off, nor tells doubts: it pings
  around. Of three, one that is killed has two to find it; where a majority is killed, two that are left
  suffice. Two alone can't tell the other's death from their own deafness: with one other on the list and
  nobody besides, a member goes by its own finding, after the longest suspicion. Of three or more, the only
  one left keeps the others listed and doubts itself, since that is just what a deaf one sees.
- *Incarnations.* Only the member itself raises its incarnation, and does so to refute. Of two claims the
  higher incarnation counts, at the same one the worse state. DEAD and LEFT told by others are doubts like
  any other; only LEFT told by the member itself is taken at its word.
- *News* rides on every message, what was sent least first, each a few times the logarithm of the size.
- *Looking round.* With each probe goes the question for a stretch of the list beginning at a random name;
  and now and then a dead member is pinged. So new members learn the list, and halves that had lost each
  other meet again.
- *Late ourselves.* If nothing was looked at after something was due (we were paused, starved, or our clock
  jumped), every deadline moves by just that span, before anything that waited is looked at; and it costs us
  trust in ourselves. Whoever slept must not wake up accusing.

The order matters in one place: news about ourselves is looked at before anything is sent, so a refutation
goes out with the very answer to the message that accused us.
"""

from __future__ import annotations

import hashlib
import itertools
import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from yewrill.membership.evidence import WELL, Arrivals, Link
from yewrill.membership.suspicion import Health, Suspicion, shortest

ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3
STATES = ("alive", "suspect", "dead", "left")
MOST_PURSUED = 64  # at a time
DIGEST_BYTES = 7
FEW = 8  # members; with fewer known, the one that told of others is asked for more
SEEDS_AT_ONCE = 2  # asked in an interval by one that knows nobody yet
MOST_INCARNATION = 2**48  # a claim above is nonsense: nobody could refute for ever


@dataclass(frozen=True, slots=True)
class Rules:
    """Times in seconds, counts a round."""

    interval: float = 0.5  # between two probes
    timeout: float = 0.2  # for an answer; the rest of the interval is for the indirect ones
    helpers: int = 3  # members asked to ping one that did not answer
    suspicion: float = 2.7  # the shortest doubt, in intervals, times the size's logarithm
    longest: float = 3.0  # the longest doubt, in shortest ones
    spread: float = 4.0  # times the size's logarithm: how often a piece of news is sent
    forget: float = 600.0  # after which one dead or gone is no longer listed
    dead_every: int = 5  # intervals between two pings to dead ones
    most_members: int = 4096  # listed; news of more is dropped
    stretch: int = 32  # entries of the list in one answer, as far as a datagram holds them
    quiet: float = 10.0  # intervals without a change, after which lists are compared more rarely
    quiet_every: int = 4  # intervals between two comparisons then
    doubt: float = 2.5  # phi at which silence is worth a word: on a quiet network, two questions
    death: float = 8.0  # phi, ours and others' together
    words: int = 3  # others' findings that a death needs, where so many are heard
    tell: int = 4  # told of a doubt at once
    alone: float = 3.0  # intervals without a word from anybody, after which a member judges nobody
    lately: float = 8.0  # intervals: whoever was heard within them can be asked
    patience: float = (
        2.5  # intervals, times the size, with one that does not hear us; 20 intervals at least
    )


@dataclass(frozen=True, slots=True)
class Claim:
    """What is said of a member."""

    name: str
    address: tuple[str, int]
    zone: str = ""
    region: str = ""
    incarnation: int = 0
    state: int = ALIVE
    by: str = ""  # of a doubt: whose own probe raised it


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram's content. `kind`: ping, ack, nack, help (ping `about` for me), list (a stretch), news, or
    cargo, which is another part's."""

    kind: str
    number: int = 0  # list: the digest of the asker's list, 0: none
    about: str = ""  # help: whom to ping; ping: whom it is meant for; list: after which name
    news: tuple[Claim, ...] = ()
    cargo: bytes = b""


Out = tuple[tuple[str, int], Message]  # where to, what


@dataclass(slots=True)
class _Pursuit:
    """One that did not answer, or that others doubt, and is asked until something is known."""

    number: int
    since: float
    next: float  # when it is asked again
    told: Claim | None = None  # the doubt that we follow up
    words: dict[str, str] = field(
        default_factory=dict
    )  # who told us that it is silent; by whose finding
    dead: set[str] = field(default_factory=set)  # those of them that are done waiting
    hearers: set[str] = field(default_factory=set)  # who hears it, though it does not answer
    concerned: set[tuple[str, int]] = field(default_factory=set)  # who told us, whom we told
    passed_on: bool = False


@dataclass(slots=True)
class _Listed:
    claim: Claim
    since: float  # when it came into this state
    heard: float = -1e18  # when it last said something to us
    lately: float = -1e18  # the same, later by what is forgiven
    asked: float = 0.0  # questions of ours that are over: the clock of the link
    link: Link | None = None
    through: str = ""  # who last exchanged with it for us
    deaf: bool = False  # it speaks, and does not hear us
    pursuit: _Pursuit | None = None
    suspicion: Suspicion | None = None


@dataclass(slots=True)
class _Probe:
    name: str
    number: int
    began: float
    asked: float = 0.0  # when helpers were asked, 0: not yet
    direct_until: float = 0.0
    until: float = 0.0
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True)
class _Errand:
    """A ping on another's behalf."""

    number: int  # the asker's
    asker: tuple[str, int]
    about: str
    until: float


@dataclass(slots=True)
class _News:
    claim: Claim
    sent: int = 0
    order: int = 0


@dataclass(slots=True)
class Counts:
    """What happened, for figures: doubts raised and refuted, others' words that one lives, deaths believed,
    late ticks, times that nobody was heard."""

    suspected: int = 0
    refuted: int = 0
    vouched: int = 0
    died: int = 0
    late: int = 0
    dropped: int = 0
    alone: int = 0


@dataclass
class Machine:
    me: Claim
    seeds: list[tuple[str, int]]
    rng: random.Random
    now: float
    rules: Rules = field(default_factory=Rules)
    health: Health = field(default_factory=Health)
    counts: Counts = field(default_factory=Counts)

    def __post_init__(self) -> None:
        self.listed: dict[str, _Listed] = {}
        self.changes: list[Claim] = []  # since they were last taken, for whoever follows the list
        self._news: dict[str, _News] = {}
        self._round: list[str] = []
        self._probe: _Probe | None = None
        self._errands: dict[int, _Errand] = {}
        self._pursued: dict[str, _Pursuit] = {}
        self._answers = Arrivals(1.0)  # to all our probes, by their number
        self._answers.begin(0.0)
        self._probed = 0.0
        self._heard = self.now  # anybody, later by what is forgiven
        self._was_alone = False
        self._number = self.rng.getrandbits(30)
        self._order = 0
        self._next = self.now  # when the next probe is due
        self._next_call = self.now + self.rules.interval * self.rules.dead_every
        self._left = False
        self._digest = 0  # not known
        self._compared = 0  # intervals
        self._changed_at = self.now
        self._tell(self.me)

    # -- what others see

    def members(self) -> list[Claim]:
        """Those that live, ourselves first; a doubt alone takes nobody off."""
        return [self.me, *self._living()]

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        probe = self._probe
        at = [self._next if probe is None else probe.until if probe.asked else probe.direct_until]
        at.append(self._next_call)
        at += [e.until for e in self._errands.values()]
        at += [p.next for p in self._pursued.values()]
        for name in self._pursued:
            suspicion = self.listed[name].suspicion
            if suspicion is not None and suspicion.until() > self.now:
                at.append(suspicion.until())
        return min(at)

    def link(self, name: str) -> Link | None:
        """What is known of both ways to a member; None until it was asked something."""
        m = self.listed.get(name)
        return None if m is None else m.link

    def link_state(self, name: str) -> int:
        """WELL, DEAF, MUTE or CUT, as our questions show it."""
        m = self.listed[name]
        return WELL if m.link is None else m.link.state(m.asked + 0.5, self.rules.doubt, 20.0)

    # -- time

    def _look_at(self, now: float) -> None:
        """The time at which we look. What was due and nobody looked at is forgiven, once."""
        rules = self.rules
        if (
            now - self.now > rules.interval
            and (late := now - max(self.now, self.due)) > rules.interval
        ):
            self.counts.late += 1
            self.health.note(1)
            self._forgive(late)
        self.now = max(self.now, now)

    def tick(self, now: float) -> list[Out]:
        """Whatever is due: the end of a probe, doubts that have lasted, the next probe."""
        self._look_at(now)
        out: list[Out] = []
        if self._left:
            self._next = self._next_call = self.now + self.rules.interval
            return out
        self._end_errands(out)
        self._pursue(out)
        self._follow_probe(out)
        for name, m in list(self.listed.items()):
            if m.suspicion is not None and self._is_dead(m):
                self.counts.died += 1
                claim = replace(m.claim, state=DEAD)
                self._set(claim)
                self._spread(claim, out)
            elif m.claim.state in (DEAD, LEFT) and self.now - m.since > self.rules.forget:
                del self.listed[name]
                self._news.pop(name, None)
        if self.now >= self._next and self._probe is None:
            self._begin_probe(out)
        if self.now >= self._next_call:
            self._call(out)
        return out

    def _forgive(self, span: float) -> None:
        for m in self.listed.values():
            m.lately += span
            if m.suspicion is not None:
                m.suspicion.delay(span)
        if self._probe is not None:
            self._probe.direct_until += span
            self._probe.until += span
        for pursuit in self._pursued.values():
            pursuit.next += span
            pursuit.since += span
        for errand in self._errands.values():
            errand.until += span
        self._heard += span
        self._next = max(self._next, self.now)
        self._next_call = max(self._next_call, self.now)

    @property
    def alone(self) -> bool:
        """Whether nobody is heard, though there are several: then it may well be us."""
        return (
            self.now - self._heard > self.rules.alone * self.rules.interval
            and sum(1 for _ in itertools.islice(self._living(), 2)) > 1
        )

    def _begin_probe(self, out: list[Out]) -> None:
        rules, scale = self.rules, self.health.scale()
        living = list(self._living())
        if alone := self.alone:  # whoever hears nobody goes on being heard
            scale = 1.0
            out += [(c.address, self._message("ping", 0, c)) for c in self.rng.sample(living, 2)]
        if alone and not self._was_alone:
            self.counts.alone += 1
            for m in self.listed.values():
                if m.link is not None:
                    m.link.forget_relays()
        self._was_alone = alone
        self._next = self.now + rules.interval * scale
        if not living:
            seeds = [address for address in self.seeds if address != self.me.address]
            for address in self.rng.sample(seeds, min(SEEDS_AT_ONCE, len(seeds))):
                out.append((address, self._message("ping")))
            return
        target = self._target(living)
        self._number += 1
        self._probe = _Probe(
            target,
            self._number,
            self.now,
            direct_until=self.now + rules.timeout * scale,
            until=self.now + rules.interval * scale,
        )
        claim = self.listed[target].claim
        out.append((claim.address, self._message("ping", self._number, claim)))
        self._compare(living, out)

    def _compare(self, living: list[Claim], out: list[Out]) -> None:
        """Ask one for a stretch of its list, which it sends if that is not the same as ours."""
        rules = self.rules
        self._compared += 1
        quiet = self.now - self._changed_at > rules.quiet * rules.interval
        if quiet and self._compared % rules.quiet_every:
            return
        after = self.rng.choice([self.me.name, *self.listed])
        question = Message("list", self.digest, about=after)
        out.append((self.rng.choice(living).address, question))

    @property
    def digest(self) -> int:
        """Of the list of those that live: the same wherever that is. Never 0, which is none."""
        if self._digest == 0:
            claims = sorted((c.name, c.incarnation) for c in self.members())
            text = "".join(f"{name} {incarnation}\n" for name, incarnation in claims)
            found = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES, person=b"ym-list")
            self._digest = int.from_bytes(found.digest(), "big") | 1
        return self._digest

    def _call(self, out: list[Out]) -> None:
        """Ping one that is lost: so halves meet again, and those that hear us see that we live. So many
        that they are cut off rather than dead are pinged each interval, whatever our doubt of ourselves."""
        gone = [m.claim for m in self.listed.values() if m.claim.state == DEAD]
        many = 4 * len(gone) >= len(self.listed) - len(gone)
        self._next_call = self.now + self.rules.interval * (
            1 if many and gone else self.rules.dead_every
        )
        lost = [a for a in self.seeds if a not in {m.claim.address for m in self.listed.values()}]
        if gone:
            claim = self.rng.choice(gone)
            out.append((claim.address, self._message("ping", 0, claim)))
        elif lost and lost != [self.me.address] and any(True for _ in self._living()):
            out.append((self.rng.choice(lost), self._message("ping")))

    def _target(self, living: list[Claim]) -> str:
        names = {c.name for c in living}
        free = names - self._pursued.keys() or names
        while True:
            while self._round:
                name = self._round.pop()
                if name in free:
                    return name
            self._round = sorted(names)
            self.rng.shuffle(self._round)

    def _follow_probe(self, out: list[Out]) -> None:
        probe = self._probe
        if probe is None:
            return
        m = self.listed.get(probe.name)
        if m is None or m.claim.state in (DEAD, LEFT):
            self._probe = None
        elif not probe.asked and self.now >= probe.direct_until:
            probe.asked = self.now
            self._count(m, False)
            self._asked(m)
            others = self._voices(probe.name)
            helpers = self.rng.sample(others, min(self.rules.helpers, len(others)))
            probe.helpers = len(helpers)
            out += [
                (c.address, self._message("help", probe.number, about=probe.name)) for c in helpers
            ]
            if m.heard < probe.began and m.pursuit is None:
                self._begin_pursuit(m, out, None, probe.began)
        if self._probe is not None and self.now >= probe.until:
            self._probe = None
            # Of those asked for help too few say that they tried: perhaps it is us.
            self.health.note(probe.helpers - probe.nacks if probe.helpers else 0)

    # -- one that does not answer

    def _count(self, m: _Listed, answered: bool) -> None:
        """The first question to one that is thought well: what they show is the network's loss, or ours."""
        if not m.deaf and m.pursuit is None:
            self._probed += 1.0
            if answered:
                self._answers.note(self._probed)

    def _asked(self, m: _Listed) -> None:
        """A question to it is over without an answer."""
        if m.link is None:
            m.link = Link(1.0, m.asked)
        m.asked += 1.0

    def _phi(self, m: _Listed, of: Arrivals | None = None) -> float:
        """How unlikely it is, if it lives, that nothing (or none of what is looked at) came since."""
        if m.link is None:
            return 0.0
        of = of or m.link.arrivals
        silence = of.silence(m.asked)
        phi = self._answers.unlikely(silence + 0.5)
        return min(phi, of.unlikely(silence + 0.5)) if of.lost > 1 else phi

    def _begin_pursuit(self, m: _Listed, out: list[Out], told: Claim | None, since: float) -> None:
        if self.alone or len(self._pursued) >= MOST_PURSUED or self._bears_with(m):
            return
        self._number += 1
        wait = self.rules.timeout * self.health.scale()
        m.pursuit = self._pursued[m.claim.name] = _Pursuit(
            self._number, since, self.now + wait, told
        )
        accused = m.claim if told is None else replace(m.claim, state=SUSPECT)
        out.append((m.claim.address, self._message("ping", self._number, accused)))

    def _bears_with(self, m: _Listed) -> bool:
        """Whether one that does not hear us has said something not too long ago. Where a quarter don't hear
        us, our questions prove nothing about anybody."""
        if self.now - m.lately >= self._patience():
            return False
        return m.deaf or 4 * sum(other.deaf for other in self.listed.values()) > len(self.listed)

    def _patience(self) -> float:
        return max(20.0, self.rules.patience * (len(self.listed) + 1)) * self.rules.interval

    def _pursue(self, out: list[Out]) -> None:
        size = len(self.listed) + 1
        step = (
            self.rules.timeout
            * self.health.scale()
            * max(1.0, size / 24.0, len(self._pursued) / 4.0)
        )
        for name, pursuit in list(self._pursued.items()):
            if self.now < pursuit.next:
                continue
            m = self.listed[name]
            if self.alone or self._bears_with(m):
                self._end_pursuit(m)
                continue
            self._asked(m)
            phi = self._phi(m)
            if m.suspicion is None and phi >= self.rules.doubt:
                self._suspect(m, pursuit)
                pursuit.concerned |= self._spread(m.claim, out)
            elif pursuit.told is not None and not pursuit.passed_on and phi >= 1.0:
                pursuit.passed_on = True
                pursuit.concerned |= self._spread(pursuit.told, out)
            pursuit.next = self.now + step
            out.append((m.claim.address, self._message("ping", pursuit.number, m.claim)))
            helper = self.listed.get(m.through)
            if pursuit.told is None and m.suspicion is None and helper is not None:
                voices = [helper.claim]
            else:
                voices = self._voices(name)
            if voices:
                out.append(
                    (
                        self.rng.choice(voices).address,
                        self._message("help", pursuit.number, about=name),
                    )
                )

    def _end_pursuit(self, m: _Listed) -> None:
        """It lives, or can't be judged."""
        m.pursuit = None
        self._pursued.pop(m.claim.name, None)
        if m.claim.state == SUSPECT:
            self._set(replace(m.claim, state=ALIVE, by=""))
            del self._news[m.claim.name]

    def _lives(self, m: _Listed, out: list[Out]) -> None:
        """The end of a pursuit by its own word, or that of one who exchanges with it: it goes the way the
        doubt went."""
        assert m.pursuit is not None
        concerned = m.pursuit.concerned
        self.counts.refuted += m.suspicion is not None
        self._end_pursuit(m)
        out += [(address, Message("ack", 0, m.claim.name)) for address in sorted(concerned)]

    def _suspect(self, m: _Listed, pursuit: _Pursuit) -> None:
        told = m.claim.incarnation if pursuit.told is None else pursuit.told.incarnation
        self._set(
            replace(
                m.claim, state=SUSPECT, by=self.me.name, incarnation=max(m.claim.incarnation, told)
            )
        )
        least = shortest(
            sum(1 for _ in self._living()) + 1, self.rules.interval, self.rules.suspicion
        )
        m.suspicion = Suspicion(
            pursuit.since,
            least,
            least * self.rules.longest * self.health.scale(),
            {self.me.name, *pursuit.words.values()},
        )
        self.counts.suspected += 1

    def _is_dead(self, m: _Listed) -> bool:
        """Whether a suspicion has lasted, by our own finding and those of others."""
        pursuit, rules, name = m.pursuit, self.rules, m.claim.name
        assert pursuit is not None and m.suspicion is not None
        others = any(c.name != name for c in self._living())
        words = len(set(pursuit.words.values()) - {self.me.name, name} - pursuit.hearers)
        need = max(1, min(rules.words, len(self._voices(name)))) if others else 0
        lasted = self.now >= m.suspicion.until() or len(pursuit.dead) > 1
        return (
            lasted
            and self.now - m.since >= rules.interval
            and words >= max(need, len(pursuit.hearers))
            and not self._bears_with(m)
            and self._phi(m) + rules.doubt * min(words, rules.words) >= rules.death
        )

    def _voices(self, but: str) -> list[Claim]:
        """Whom to ask about one: those heard lately."""
        others = [m for m in self.listed.values() if m.claim.state == ALIVE and m.claim.name != but]
        since = self.now - self.rules.lately * self.rules.interval
        return [m.claim for m in others if m.lately >= since]

    def _spread(self, claim: Claim, out: list[Out]) -> set[tuple[str, int]]:
        """A doubt goes to a few at once: all look at the same time, and whoever knows better says so."""
        voices = self._voices(claim.name)
        chosen = self.rng.sample(voices, min(self.rules.tell, len(voices)))
        out += [(c.address, Message("news", news=(claim,))) for c in chosen]
        return {c.address for c in chosen}

    def _end_errands(self, out: list[Out]) -> None:
        for number, errand in list(self._errands.items()):
            if self.now >= errand.until:
                del self._errands[number]
                m = self.listed.get(errand.about)
                if m is not None and self._bears_with(m):
                    out.append((errand.asker, self._objection(errand.number, m)))
                else:
                    found = errand.about if m is not None and m.claim.state != ALIVE else ""
                    out.append((errand.asker, self._message("nack", errand.number, about=found)))

    def _objection(self, number: int, m: _Listed) -> Message:
        """We hear it, though it does not answer us."""
        return Message("nack", number, news=(replace(m.claim, state=ALIVE, by=self.me.name),))

    # -- messages

    def receive(
        self, now: float, message: Message, sender: str, address: tuple[str, int]
    ) -> list[Out]:
        """Take one message of an authenticated sender; what is to be sent for it."""
        self._look_at(now)
        if self._left or sender == self.me.name:
            return []
        known = len(self.listed)
        out: list[Out] = []
        kind, about = message.kind, message.about
        self._heard = self.now
        if (m := self.listed.get(sender)) is not None:
            self._hear_from(m, kind == "ack" and self._target_of(message, sender) == sender, out)
        for claim in message.news:
            self._hear(claim, sender, address, out)
        if len(self.listed) > known and (kind == "news" or (kind == "ack" and not known)):
            self._ask_on(message.news[-1].name, address, out)
        if kind == "ping" and about in ("", self.me.name):
            out.append((address, self._message("ack", message.number)))
        elif kind == "ack":
            self._answered(message, sender, out)
        elif kind == "nack":
            if self._probe is not None and message.number == self._probe.number:
                self._probe.nacks += 1
            if (pursuit := self._pursued.get(about)) is not None:
                self._word(self.listed[about], pursuit, sender, sender)
        elif kind == "help" and about in self.listed:
            self._help(message, address, out)
        elif kind == "list" and message.number != self.digest:
            out.append((address, Message("news", news=tuple(self._stretch(about)))))
        return out

    def _ask_on(self, after: str, address: tuple[str, int], out: list[Out]) -> None:
        """A stretch held names new to us: ask for the next one, of anybody rather than always of the same."""
        living = list(self._living())
        if len(living) > FEW:
            address = self.rng.choice(living).address
        out.append((address, Message("list", self.digest, about=after)))

    def _target_of(self, message: Message, sender: str) -> str:
        """Of whom an ack says that it lives."""
        if message.about:
            return message.about
        if self._probe is not None and self._probe.number == message.number:
            return self._probe.name
        return next((n for n, p in self._pursued.items() if p.number == message.number), sender)

    def _hear_from(self, m: _Listed, answer: bool, out: list[Out]) -> None:
        """Something of a member's own, an answer to us or not."""
        m.heard = m.lately = self.now
        if m.link is None:
            m.link = Link(1.0, m.asked)
        if answer:
            m.asked += 1.0
            m.link.heard(m.asked, 0.0)
            m.deaf = False
        else:
            m.link.came(m.asked)
            answers = m.link.answers
            m.deaf = m.deaf or answers.silence(m.asked) >= 2.0 and self._phi(m, answers) >= 1.0
        if m.pursuit is not None:
            self._lives(m, out)

    def _answered(self, message: Message, sender: str, out: list[Out]) -> None:
        name = self._target_of(message, sender)
        if self._probe is not None and name == self._probe.name:
            if not self._probe.asked:
                self._count(self.listed[name], True)
            self._probe = None
            self.health.note(-1)
        if (
            errand := self._errands.pop(message.number, None)
        ) is not None and errand.about == sender:
            out.append((errand.asker, self._message("ack", errand.number, about=sender)))
        m = self.listed.get(name)
        if m is not None and name != sender and m.claim.state in (ALIVE, SUSPECT):
            m.through = sender
            if m.link is not None:
                m.link.relayed(m.asked)
            if m.pursuit is not None:
                self.counts.vouched += 1
                self._lives(m, out)

    def _help(self, message: Message, address: tuple[str, int], out: list[Out]) -> None:
        """Say what we know of one, or ask it on another's behalf."""
        m = self.listed[message.about]
        if self._fresh(m):
            out.append((address, self._message("ack", message.number, about=message.about)))
        elif self._bears_with(m):
            out.append((address, self._objection(message.number, m)))
        elif m.suspicion is not None:
            out.append((address, self._message("nack", message.number, about=message.about)))
        elif len(self._errands) < 4 * self.rules.helpers + len(self.listed):
            self._number += 1
            until = self.now + self.rules.timeout
            self._errands[self._number] = _Errand(message.number, address, message.about, until)
            out.append((m.claim.address, self._message("ping", self._number, m.claim)))

    def _fresh(self, m: _Listed) -> bool:
        """Whether it was heard so lately that we can vouch for it. One that can't be asked gets longer."""
        span = self._patience() / 4.0 if m.deaf else self.rules.timeout
        return self.now - m.heard <= span

    def _word(self, m: _Listed, pursuit: _Pursuit, teller: str, by: str) -> None:
        """Another's finding. Each teller counts once, its own finding before what it passes on."""
        if by == teller or teller not in pursuit.words:
            pursuit.words[teller] = by
            if m.suspicion is not None:
                m.suspicion.by = {self.me.name, *pursuit.words.values()}

    def _hear(self, claim: Claim, sender: str, address: tuple[str, int], out: list[Out]) -> None:
        if not 0 <= claim.incarnation <= MOST_INCARNATION:
            self.counts.dropped += 1
        elif claim.name == self.me.name:
            self._hear_of_us(claim)
        elif (known := self.listed.get(claim.name)) is None:
            if claim.state in (DEAD, LEFT) or len(self.listed) >= self.rules.most_members:
                self.counts.dropped += claim.state == ALIVE
                return
            self._set(replace(claim, state=ALIVE, by=""))
            if claim.state == SUSPECT:
                self._look(claim, sender, address, out)
        elif claim.state == ALIVE:
            if claim.by == sender and (pursuit := known.pursuit) is not None:
                pursuit.hearers.add(sender)
            if claim.incarnation > known.claim.incarnation:
                self.counts.refuted += known.claim.state == SUSPECT
                self._set(replace(claim, by=""))
        elif claim.incarnation >= known.claim.incarnation and known.claim.state in (ALIVE, SUSPECT):
            if claim.state == LEFT and sender == claim.name:
                self._set(claim)
            else:
                self._look(claim, sender, address, out)
        elif (
            claim.by == sender and self.now - known.since < self.rules.lately * self.rules.interval
        ):
            out.append((address, Message("nack", 0, claim.name)))  # we have just found the same

    def _look(self, claim: Claim, teller: str, address: tuple[str, int], out: list[Out]) -> None:
        """Others doubt a member: see for ourselves."""
        m = self.listed[claim.name]
        by = claim.by or teller
        if (fresh := self._fresh(m)) or self._bears_with(m):
            if by == teller:
                out.append(
                    (address, Message("ack", 0, claim.name) if fresh else self._objection(0, m))
                )
            return
        if m.pursuit is None:
            # Who doubts it has asked twice: so long at least it has been silent.
            self._begin_pursuit(m, out, claim, max(m.heard, self.now - 2.0 * self.rules.timeout))
        if (pursuit := m.pursuit) is not None:
            self._word(m, pursuit, teller, by)
            if by == teller and len(pursuit.concerned) < 4 * self.rules.tell:
                pursuit.concerned.add(address)
            if claim.state == DEAD:
                pursuit.dead.add(teller)

    def _hear_of_us(self, claim: Claim) -> None:
        if claim.state == ALIVE:
            # An older run of ours, or one under our name: be newer than it.
            if claim.incarnation > self.me.incarnation or (
                claim.incarnation == self.me.incarnation and claim.address != self.me.address
            ):
                self._rise(claim.incarnation)
        elif claim.incarnation >= self.me.incarnation:
            self.health.note(1)
            self._rise(claim.incarnation)

    def _rise(self, over: int) -> None:
        self.me = replace(self.me, incarnation=min(over + 1, MOST_INCARNATION))
        self._digest = 0
        self._tell(self.me)

    def _set(self, claim: Claim) -> None:
        m = self.listed.get(claim.name)
        was = None if m is None else m.claim.state
        if m is None:
            m = self.listed[claim.name] = _Listed(claim, self.now)
        if (
            was in (DEAD, LEFT) and claim.state == ALIVE
        ):  # whatever it was before, it is judged anew
            m.asked, m.link, m.through, m.deaf = 0.0, None, "", False
        if was is None or (m.claim.incarnation, was) != (claim.incarnation, claim.state):
            self._digest, self._changed_at = 0, self.now
        m.claim, m.since, m.suspicion = claim, self.now, None
        if claim.state != SUSPECT:
            m.pursuit = None
            self._pursued.pop(claim.name, None)
        self._tell(claim)
        if claim.state == DEAD:
            self._next_call = min(self._next_call, self.now + self.rules.interval)
        if was != claim.state:
            self.changes.append(claim)
            del self.changes[: -2 * self.rules.most_members]

    # -- news

    def _tell(self, claim: Claim) -> None:
        self._order += 1
        self._news[claim.name] = _News(claim, 0, self._order)

    def _message(
        self, kind: str, number: int = 0, to: Claim | None = None, about: str = ""
    ) -> Message:
        """A message with what news fits. A ping says who pings; a member that we doubt is told so first."""
        first: list[Claim] = []
        if to is not None and to.state != ALIVE:
            first.append(to)
        if kind == "ping":
            first.append(self.me)
        news = [*first, *self._pick(8 - len(first), {c.name for c in first})]
        return Message(
            kind,
            number,
            about or (to.name if to is not None and kind == "ping" else ""),
            tuple(news),
        )

    def _pick(self, most: int, but: set[str]) -> Iterator[Claim]:
        limit = math.ceil(self.rules.spread * math.log10(len(self.listed) + 2))
        fresh = [n for name, n in self._news.items() if name not in but]
        fresh.sort(key=lambda n: (n.sent, -n.order))
        for piece in fresh[:most]:
            piece.sent += 1
            if piece.sent >= limit:
                del self._news[piece.claim.name]
            yield piece.claim

    def _stretch(self, after: str) -> Iterable[Claim]:
        """So many entries of the list as one answer holds, in the order of names, from behind a name."""
        names = sorted(self.listed)
        start = next((i for i, name in enumerate(names) if name > after), 0)
        turned = names[start:] + names[:start]
        yield self.me
        for name in turned[: self.rules.stretch - 1]:
            yield self.listed[name].claim

    def _living(self) -> Iterator[Claim]:
        return (m.claim for m in self.listed.values() if m.claim.state in (ALIVE, SUSPECT))

    # -- going

    def leave(self, now: float) -> list[Out]:
        """Say goodbye to as many as help to spread it; nothing is answered from here on."""
        self.now = now
        self.me = replace(self.me, incarnation=self.me.incarnation + 1, state=LEFT)
        living = list(self._living())
        chosen = self.rng.sample(living, min(len(living), 2 + 2 * self.rules.helpers))
        self._left = True
        return [(c.address, Message("news", news=(self.me,))) for c in chosen]
