"""A node's part in one group: its copy, the newest record of holders it knows, its claim."""

import asyncio
import collections.abc
import dataclasses
import datetime

import logbook

import aspencroft.code.result as result
import aspencroft.link.link as link
import aspencroft.link.record as record
import aspencroft.pair.copy as copy
import aspencroft.pair.electorate as electorate
import aspencroft.pair.holding as holding
import aspencroft.seam.moment as moment

LOG = logbook.Logger("pair")
REPLY = moment.seconds(0.6)
RETRY = moment.seconds(0.15)
COME_BACK = moment.seconds(1)
DOUBT = moment.seconds(5)
LEAST = 2


class Deposed(Exception):
    """This node is no longer what it was in the group."""


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A node with a disk that could hold a copy.

    Example: ``Candidate("127.0.0.1:7001", "north")``
    """

    address: str
    area: str


@dataclasses.dataclass(frozen=True)
class Around:
    """What a part is told by its node: who could hold copies, who is to hold none, who is gone, whom to tell of records.

    ``copies`` is how many disks must hold what is answered, ``goal`` how many members the group is to have.

    Example: ``Around(candidates, emptied, publish, gone, 2, lambda: 2)``
    """

    candidates: collections.abc.Callable[[], tuple[Candidate, ...]]
    emptied: collections.abc.Callable[[str], bool]
    publish: collections.abc.Callable[[holding.Holding], None]
    gone: collections.abc.Callable[[str], bool]
    copies: int
    goal: collections.abc.Callable[[], int]


class Part:
    """What all rooms of a node's part in a group share.

    Example: ``part.claimed()``
    """

    def __init__(self, held: copy.Copy, links: link.Link, voters: electorate.Electorate, address: str, area: str,
                 around: Around):
        self.copy = held
        self.pair = held.pair
        self.link = links
        self.electorate = voters
        self.address = address
        self.area = area
        self.around = around
        self.known: holding.Holding | None = None
        self.chosen: electorate.Chosen | None = None
        self.claim_end = moment.ZERO
        self.leading = False
        self.heard = moment.ZERO
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()
        self.balloting = asyncio.Lock()
        self.committed = asyncio.Event()
        self.doubted: dict[str, datetime.timedelta] = {}
        self.counts = {"takeovers": 0, "recruits": 0, "batches": 0, "entries": 0, "taken at start": 0}
        self.why = "starting"
        self.unsure = True
        self.patience_end = moment.ZERO

    def me(self) -> holding.Member:
        """This node's member name in the group.

        Example: ``part.me() == part.known.primary``
        """
        return holding.Member(self.address, self.copy.identity)

    def learn(self, fresh: holding.Holding) -> None:
        """Hear of a record of holders from anywhere; only a newer epoch counts.

        Example: ``part.learn(record)``
        """
        if self.known is None or fresh.epoch > self.known.epoch:
            self.known = fresh
            self.changed.set()
            self.around.publish(fresh)

    def claimed(self) -> bool:
        """Whether this node may act as the primary at this moment.

        Example: ``if not part.claimed(): raise ...``
        """
        return (self.leading and moment.now() < self.claim_end and self.known is not None
                and self.known.primary == self.me())

    def check_tenure(self) -> None:
        """Stop at once when the newest record names another primary.

        Example: ``part.check_tenure()``
        """
        if self.known.primary != self.me():
            raise Deposed(f"epoch {self.known.epoch}")

    def staying(self) -> tuple[holding.Member, ...]:
        """The members that are neither emptied nor about to stop.

        Example: ``part.staying() == part.known.members()``
        """
        return tuple(one for one in self.known.members() if not self.around.emptied(one.address))

    def doubt(self, address: str) -> None:
        """Try a node that failed last for a while, whatever membership thinks of it.

        Example: ``part.doubt("a:1")``
        """
        self.doubted[address] = moment.now() + DOUBT

    def doubts(self, address: str) -> bool:
        """Whether a node failed lately.

        Example: ``part.doubts("a:1")``
        """
        return self.doubted.get(address, moment.ZERO) > moment.now()

    async def ballot(self, function: collections.abc.Callable[[holding.Holding], holding.Holding]) -> electorate.Chosen:
        """One ballot on the record of holders; what it chose is known from then on.

        Witnesses may have told of a record that was accepted by few and never chosen. Where the chosen one bears the same epoch,
        it is given the next one, so that it is the newer one for everybody.

        Example: ``await part.ballot(lambda standing: standing)``
        """
        def change(value: bytes) -> bytes:
            standing = electorate.holding_of(value)
            if standing is None:
                raise result.Refusal(result.Result.WITNESS_BLANK, detail="no record of holders yet")
            fresh = function(standing)
            if fresh == standing and self.known is not None and self.known.epoch == fresh.epoch and self.known != fresh:
                fresh = dataclasses.replace(fresh, epoch=fresh.epoch + 1)
            return record.tagged(fresh)

        async with self.balloting:
            chosen = await self.electorate.change(self.pair, str(self.me()), change)
            fresh = electorate.holding_of(chosen.value)
            if self.me() in fresh.members():
                await self.copy.hold(fresh)
            if fresh.primary == self.me():
                self.chosen = chosen
            self.learn(fresh)
            return chosen
