"""One node: link, ring, witness, copies of pairs and relay, the same in both programs."""

import asyncio
import collections
import collections.abc
import datetime
import functools
import json

import logbook

import aspencroft.alert.sample as sample
import aspencroft.code.result as result
import aspencroft.duty.duty as duty
import aspencroft.edge.story as story
import aspencroft.keep.word as word
import aspencroft.link.link as link
import aspencroft.link.record as record
import aspencroft.node.settings as settings
import aspencroft.pair.choice as choice
import aspencroft.pair.copy as copy
import aspencroft.pair.electorate as electorate
import aspencroft.pair.exchange as exchange
import aspencroft.pair.holding as holding
import aspencroft.pair.host as host
import aspencroft.pair.part as part
import aspencroft.pair.reseat as reseat
import aspencroft.pair.seat as seat
import aspencroft.pair.witness as witness
import aspencroft.plan.configuration as configuration
import aspencroft.plan.control as control
import aspencroft.relay.news as news
import aspencroft.relay.relay as relay
import aspencroft.ring.fellow as fellow
import aspencroft.ring.ring as ring
import aspencroft.seam.moment as moment
import aspencroft.seam.steady as steady
import aspencroft.seam.surroundings as surroundings
import aspencroft.talk.talk as talk

LOG = logbook.Logger("node")
STEP = moment.seconds(0.25)
SAMPLE = moment.seconds(2)
GO = moment.seconds(1.2)
AGAIN = moment.seconds(0.05)
SLICE = moment.seconds(0.1)
LOST = moment.seconds(3)
APPLY = moment.seconds(0.85)
APPLY_ITEM = moment.seconds(0.002)
LAST_LEG = moment.seconds(0.1)
IN_SERVICE, EMPTIED = "in service", "emptied"


class Node:
    """What every process of the fleet is, whatever its program.

    Example: ``await Node(place, around).run()``
    """

    def __init__(self, place: settings.Settings, around: surroundings.Surroundings):
        self.settings = place
        self.surroundings = around
        self.address = place.address
        self.incarnation = int(around.wall().timestamp() * 1000)
        self.link = link.Link(around, place.address, self)
        roster = holding.Roster(0, place.seeds, ())
        self.electorate = electorate.Electorate(around, self.link, roster)
        data = place.data
        me = fellow.Fellow(place.address, self.incarnation, 0, fellow.LIVE, place.area, place.role, place.http,
                           data is not None, place.seeds, place.name or place.address, place.held)
        self.ring = ring.Ring(around, self.link, me, place.seeds, self.electorate)
        self.witness = witness.Witness(around, data / "witness" if data else None,
                                       place.address, self.incarnation, roster)
        self.seat = seat.Seat(self.witness, self.link, self.electorate, place.address, place.pairs,
                              place.copies, self.holders, place.witnesses == settings.CORE)
        self.relay = relay.Relay(self.link, self.ring, place.currency)
        self.reseat = reseat.Reseat(self.link, self.electorate, place.address, self.rooted, self.wished_seeds)
        self.hosts: dict[int, host.Host] = {}
        if data is not None:
            for pair in [one for one in range(place.pairs) if holding.sort_of(one) in place.held]:
                held = copy.Copy(around, data / f"pair-{pair}", pair, talk.Talk if pair else control.Control)
                around_it = part.Around(functools.partial(self.holders, holding.sort_of(pair)), self.emptied, self.ring.hold,
                                        self.gone, place.copies, functools.partial(self.goal, pair))
                self.hosts[pair] = host.Host(held, self.link, self.electorate, place.address, place.area, around_it)
        self.missed: dict[str, datetime.timedelta] = {}
        self.looked = moment.ZERO
        self.started = asyncio.Event()
        self.stopping = asyncio.Event()
        self.opened = False
        self.stories: story.Stories | None = None
        self.duties: dict[str, duty.Duty] = {}
        self.sampled: list[collections.abc.Callable[[], list[sample.Sample]]] = [self.own_samples]
        self.outside: collections.Counter = collections.Counter()
        self.standing: collections.Counter = collections.Counter()

    # -- what is known of others -----------------------------------------------------------------

    def goal(self, pair: int) -> int:
        """How many members a group is to have: one more than the losses to be borne.

        The control group has members on more than half of the core where the core has the witnesses, so that whichever part of
        it has a majority has a member too.

        Example: ``node.goal(1) == 2``
        """
        if pair == 0 and self.settings.witnesses == settings.CORE:
            return max(self.settings.copies, len(self.electorate.roster.present) // 2 + 1)
        return self.settings.copies

    def holders(self, sort: str) -> tuple[part.Candidate, ...]:
        """Live nodes whose disks may hold groups of a sort.

        Example: ``node.holders(holding.TALK)``
        """
        return tuple(part.Candidate(one.address, one.area) for one in self.ring.fellows.values()
                     if sort in one.holds and one.state == fellow.LIVE)

    def life(self) -> str:
        """This run of this node, as others may hear of its end.

        Example: ``node.gone(other.life())``
        """
        return f"{self.address} {self.ring.me.incarnation}"

    def gone(self, life: str) -> bool:
        """Whether a run of a node surely ended: another run is known, or watchers agree that it is down.

        Example: ``node.gone("127.0.0.1:7000 5")``
        """
        address, _, incarnation = life.rpartition(" ")
        known = self.ring.fellows.get(address)
        return known is not None and (known.state == fellow.DOWN or str(known.incarnation) != incarnation)

    def wished_seeds(self) -> tuple[str, ...]:
        """The witnesses wished for: by the plan, else by the settings of all live nodes if they agree.

        Example: ``node.wished_seeds()``
        """
        wished = self.relay.plan.seeds
        if not wished and self.settings.witnesses == settings.CORE:
            return self.wished_cores()
        if not wished:
            named = {one.seeds for one in self.ring.fellows.values() if one.state == fellow.LIVE}
            wished = named.pop() if len(named) == 1 else ()
        alive = all(self.ring.state(address) == fellow.LIVE for address in wished)
        return wished if alive else ()

    def wished_cores(self) -> tuple[str, ...]:
        """The witnesses wished for where the core has them; one that has been gone for a while counts as lost.

        Example: ``node.wished_cores()``
        """
        now, present = moment.now(), self.electorate.roster.present
        gone = [address for address in present if self.ring.state(address) != fellow.LIVE]
        if now - self.looked > LOST:
            self.missed = {}
        self.looked = now
        self.missed = {address: self.missed.get(address, now) for address in gone}
        lost = frozenset(address for address in gone if now - self.missed[address] >= LOST)
        cores = tuple(address for address in self.ring.live() if self.ring.state(address) == fellow.LIVE
                      and self.ring.fellows[address].role == settings.CORE)
        return choice.witnesses(present, cores, lost)

    def emptied(self, address: str) -> bool:
        """Whether a node is to hold no copies: emptied by an operator, or stopping.

        Example: ``node.emptied("127.0.0.1:7001")``
        """
        return (address in self.relay.plan.emptied or self.ring.state(address) == fellow.LEAVING)

    # -- messages --------------------------------------------------------------------------------

    async def answer(self, message):
        """Answer a message of another node.

        Example: ``reply = await node.answer(holding.Survey("a:1"))``
        """
        match message:
            case fellow.Beat():
                return await self.ring.beat(message)
            case news.Pull():
                return self.relay.answer_pull(message, self.rooted())
            case fellow.Join():
                return self.ring.join(message)
            case news.Push():
                self.relay.hurry.set()
                return holding.Okay()
            case fellow.Confirm():
                return await self.ring.confirm(message)
            case exchange.Append():
                return await self.host(message.holding.pair).append(message)
            case exchange.Submit():
                return await self.answer_submit(message)
            case holding.Claim():
                return await self.witness.claim(message)
            case holding.Raise():
                return await self.witness.raise_ballot(message)
            case holding.Accept():
                return await self.witness.accept(message)
            case holding.Survey():
                return self.witness.survey()
            case holding.SeedWitness():
                await self.witness.learn(message.roster, message.ballots)
                return holding.Okay()
            case holding.ChosenRoster():
                self.electorate.learn(message.roster)
                await self.witness.adopt(message.roster)
                return holding.Okay()
            case holding.Report():
                return self.report()
            case exchange.Fetch():
                return await self.host(message.holding.pair).fetch(message)
            case exchange.Compare():
                return self.host(message.pair).compare(message)
            case exchange.Mend():
                return await self.host(message.holding.pair).mend(message)
            case exchange.Ask():
                return self.host(message.pair).stands(message)
            case exchange.Appoint():
                return await self.host(message.holding.pair).appoint(message)
            case news.WriteEverywhere():
                return await self.write_here(message)
            case news.ApplyEverywhere():
                return await self.apply_here(message)
            case news.ReadEverywhere():
                return await self.host(0).submit(control.ReadPlan(message.after), GO)
            case story.TellStory():
                told = self.stories.told(message.request) if self.stories is not None else ()
                if not told:
                    raise result.Refusal(result.Result.UNKNOWN_REQUEST, result.Ran.UNKNOWN)
                return story.Told(told)
            case story.Story():
                if self.stories is not None:
                    self.stories.keep(message)
                return holding.Okay()
            case word.Called() | word.Intended() | word.Wanted() | sample.Sampled():
                self.hear(message)
                return holding.Okay()
            case news.Publish():
                if not self.rooted():
                    raise result.Refusal(result.Result.NOT_PRIMARY)
                self.relay.learn(message.news)
                return holding.Okay()
        raise result.Refusal(result.Result.FRAME_BROKEN, detail=type(message).__name__)

    def hear(self, message) -> None:
        """Give word from an edge to the duties that asked for its kind; what no queue has room for is lost.

        Example: ``node.hear(word.Wanted("m1"))``
        """
        for listening in self.duties.values():
            if not listening.words.full():
                listening.words.put_nowait(message)

    def host(self, pair: int) -> host.Host:
        """This node's part in a pair; refused without a disk or before the disk was read.

        Example: ``node.host(0).claimed()``
        """
        found = self.hosts.get(pair)
        if found is None or not self.opened:
            raise result.Refusal(result.Result.NOT_PRIMARY, detail="no copy is open here", retry=moment.seconds(1))
        return found

    def report(self) -> holding.Reported:
        """The copies on this node's disk.

        Example: ``node.report().copies``
        """
        copies = tuple(holding.CopyReport(pair, self.host(pair).copy.identity, self.host(pair).copy.holding,
                                          self.host(pair).copy.last().sequence) for pair in self.hosts)
        return holding.Reported(self.settings.area, copies, holding.Known(
            max(self.electorate.roster, self.witness.known.roster, key=lambda one: one.number),
            self.witness.known.disks), self.settings.first_start)

    async def answer_submit(self, message: exchange.Submit) -> exchange.Submitted:
        """Have a command decided here, if this node is the pair's primary.

        Example: ``await node.answer_submit(exchange.Submit(1, within, body))``
        """
        held = self.host(message.pair)
        reply = await held.submit(record.untagged(message.body), message.within)
        return exchange.Submitted(record.tagged(reply), held.known)

    async def submit(self, pair: int, command, within=2 * GO):
        """Have a command decided by a pair's primary, wherever it is; commands bear being said twice.

        Example: ``reply = await node.submit(1, speech.OpenTurn(...))``
        """
        end = moment.now() + within
        unknown = None
        while True:
            held = self.ring.holdings.get(pair)
            left = end - moment.now()
            try:
                if held is None:
                    raise result.Refusal(result.Result.NOT_PRIMARY, detail=f"pair {pair} is not known yet")
                message = exchange.Submit(pair, min(GO, left), record.tagged(command))
                reply = await self.ask_primary(held, message, min(GO, left))
                return record.untagged(reply.body)
            except result.Refusal as refusal:
                if refusal.ran is result.Ran.UNKNOWN and refusal.result is not result.Result.INTERNAL:
                    unknown = refusal
                elif refusal.result not in (result.Result.NOT_PRIMARY, result.Result.NO_BACKUP):
                    raise
                if moment.now() + AGAIN >= end:
                    raise unknown or refusal from None
            await moment.pause(AGAIN)

    async def ask_primary(self, held: holding.Holding, message: exchange.Submit, within: datetime.timedelta):
        """Ask a group's primary; refused as soon as another record names another one, whose answer is then to be asked for.

        Example: ``reply = await node.ask_primary(held, message, GO)``
        """
        asking = asyncio.ensure_future(self.link.ask(held.primary.address, message, within))
        try:
            while not asking.done():
                await asyncio.wait((asking,), timeout=SLICE.total_seconds())
                known = self.ring.holdings.get(held.pair, held)
                if not asking.done() and known.primary != held.primary:
                    raise result.Refusal(result.Result.NOT_PRIMARY, result.Ran.UNKNOWN, "the primary changed")
            return asking.result()
        finally:
            asking.cancel()

    # -- the plan --------------------------------------------------------------------------------

    def rooted(self) -> bool:
        """Whether this node is the root of the relay tree: the control pair's primary under a claim.

        Example: ``node.rooted()``
        """
        return self.relay.root and 0 in self.hosts and self.hosts[0].claimed()

    async def root(self) -> None:
        """While primary of the control pair, feed the relay tree with what both copies hold.

        Example: ``group.create_task(node.root())``
        """
        while True:
            held = self.hosts[0]
            if not held.claimed():
                self.relay.root = False
                await moment.pause(STEP / 2)
                continue
            if not self.relay.root:
                self.relay.become_root()
            held.committed.clear()
            try:
                self.relay.take_committed(await held.submit(control.ReadPlan(self.relay.revision), GO))
            except result.Refusal:
                await moment.pause(STEP / 5)
            if self.rooted():
                self.relay.currency_end = max(self.relay.currency_end, held.claim_end)
            try:
                async with moment.limit(STEP):
                    await held.committed.wait()
            except TimeoutError:
                pass

    async def write_here(self, message: news.WriteEverywhere) -> news.Written:
        """As root: store an operator's write, then wait until it is in force everywhere, or as long as settings say.

        Example: ``await node.write_here(message)``
        """
        started = moment.now()
        held = self.host(0)
        if held.claimed():
            await held.copy.view.look_ahead(message.write)
        written = await held.submit(message.write, message.within)
        confirm = self.settings.confirm
        try:
            async with moment.limit(message.within + 2 * self.settings.currency if confirm is None else confirm):
                await self.relay.everywhere(written.revision)
        except TimeoutError:
            if confirm is None:
                raise result.Refusal(result.Result.OUTCOME_UNKNOWN, result.Ran.UNKNOWN,
                                     "stored, but not known to be in force everywhere") from None
        if not self.rooted():
            raise result.Refusal(result.Result.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "the primary changed")
        return news.Written(written.revision, written.changed, moment.now() - started)

    async def write_plan(self, write: control.WritePlan) -> news.Written:
        """Send an operator's write on to the root, wherever it is.

        Example: ``await node.write_plan(control.WritePlan("merge", "", "", body, None))``
        """
        end = moment.now() + moment.seconds(8)
        message = news.WriteEverywhere(write, 2 * GO)
        while True:
            held = self.ring.holdings.get(0)
            try:
                if held is None:
                    raise result.Refusal(result.Result.NOT_PRIMARY, detail="the control pair is not known yet",
                                         retry=moment.seconds(1))
                return await self.link.ask(held.primary.address, message, 2 * GO + 3 * self.settings.currency)
            except result.Refusal as refusal:
                retried = refusal.result in (result.Result.NOT_PRIMARY, result.Result.NO_BACKUP)
                if not retried or moment.now() > end:
                    raise
            await moment.pause(AGAIN)

    async def apply_here(self, message: news.ApplyEverywhere) -> news.Written:
        """As root: take an operator's configuration, then wait until nodes confirmed it, or as long as settings say.

        Once it is durable nothing takes it back: an order that was taken before is answered as done.

        Example: ``await node.apply_here(message)``
        """
        started = moment.now()
        applied = await self.host(0).submit(message.command, message.within)
        confirm, left = self.settings.confirm, started + message.within - LAST_LEG - moment.now()
        try:
            async with moment.limit(left if confirm is None else min(confirm, left)):
                await self.relay.everywhere(control.revision_of(applied.revision))
        except TimeoutError:
            if confirm is None:
                raise result.Refusal(result.Result.OUTCOME_UNKNOWN, result.Ran.UNKNOWN,
                                     "stored, but not known to be in force everywhere") from None
        return news.Written(control.revision_of(applied.revision), applied.changed, moment.now() - started)

    async def apply(self, command: configuration.ApplyConfiguration, within: datetime.timedelta = APPLY) -> news.Written:
        """Have an operator's configuration taken, wherever the control group's primary is; durable once answered.

        Asks again for as long as ``within`` (more where there are many items); then a Refusal says whether it may
        have been taken. It bears being said twice, here and by the operator: the same order is known again.

        Example: ``await node.apply(configuration.ApplyConfiguration(7, 5, True, items, (), digest))``
        """
        span = within + APPLY_ITEM * len(command.upserts)
        end, unknown = moment.now() + span, None
        while True:
            held, left = self.ring.holdings.get(0), end - moment.now()
            try:
                if held is None:
                    raise result.Refusal(result.Result.NOT_PRIMARY, detail="the control group is not known yet")
                async with moment.limit(left):
                    return await self.link.ask(held.primary.address, news.ApplyEverywhere(command, left), left)
            except TimeoutError:
                raise result.Refusal(result.Result.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "no answer in time") from None
            except result.Refusal as refusal:
                if refusal.ran is result.Ran.UNKNOWN:
                    unknown = refusal
                elif refusal.result not in (result.Result.NOT_PRIMARY, result.Result.NO_BACKUP, result.Result.UNREACHABLE):
                    raise
                if moment.now() + AGAIN >= end:
                    raise unknown or refusal from None
            await moment.pause(AGAIN)

    async def read_configuration(self, within: datetime.timedelta = APPLY) -> configuration.ConfigurationRead:
        """The operator's newest configuration, read at the control group's primary under its claim.

        Example: ``(await node.read_configuration()).version``
        """
        return await self.submit(0, configuration.ReadConfiguration(), within)

    # -- emptying a machine ----------------------------------------------------------------------

    def named(self, name: str) -> fellow.Fellow:
        """The node of a name, the newest run of it where several are known; refused when there is none.

        Example: ``node.named("storage-1").address``
        """
        found = [one for one in self.ring.fellows.values() if name in (one.name, one.address)]
        if not found:
            raise result.Refusal(result.Result.UNKNOWN_RESOURCE, detail=f"no machine {name}")
        return max(found, key=lambda one: (one.state != fellow.DOWN, one.incarnation))

    async def empty(self, name: str, within: datetime.timedelta) -> None:
        """Have a machine's groups moved to others, so that it may be taken away; saying it twice does no harm.

        Refused when no machine bears the name (UNKNOWN_RESOURCE), when too few disks would be left for the groups that it
        may hold (TOO_FEW_LEFT); OUTCOME_UNKNOWN when the order is not known to be kept after ``within``.

        Example: ``await node.empty("storage-1", moment.seconds(3))``
        """
        one = self.named(name)
        if one.address in self.relay.plan.emptied:
            return
        for sort in one.holds:
            left = [other for other in self.holders(sort) if other.address != one.address and not self.emptied(other.address)]
            if len(left) < self.settings.copies:
                raise result.Refusal(result.Result.TOO_FEW_LEFT, detail=f"{len(left)} disks for {sort}")
        body = json.dumps({"machines": {one.address: {"emptied": True}}})
        try:
            async with moment.limit(within):
                await self.write_plan(control.WritePlan("merge", "", "", body, None))
        except TimeoutError:
            raise result.Refusal(result.Result.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, f"emptying {name}") from None

    async def emptying(self, name: str) -> str:
        """How far a machine is: IN_SERVICE, or EMPTIED once it holds no group and each that it could hold is whole elsewhere.

        What stands is asked of the groups' primaries, as this node may not have heard of the newest records.

        Example: ``await node.emptying("storage-1") == node.EMPTIED``
        """
        one = self.named(name)
        if one.address not in self.relay.plan.emptied:
            return IN_SERVICE
        pairs = [pair for pair in range(self.settings.pairs) if holding.sort_of(pair) in one.holds]
        async with steady.Group() as group:
            asked = [group.create_task(self.stands(pair, one.address)) for pair in pairs]
        return EMPTIED if all(task.result() for task in asked) else IN_SERVICE

    async def stands(self, pair: int, address: str) -> bool:
        """Whether a group's primary says that the group is whole without a node, and stays so; false while it does not say.

        Example: ``await node.stands(1, "a:1")``
        """
        held = self.ring.holdings.get(pair)
        if held is None:
            return False
        try:
            reply = await self.link.ask(held.primary.address, exchange.Ask(pair, address), GO)
        except result.Refusal:
            return False
        members = reply.holding.members()
        return reply.emptied and len(members) >= self.settings.copies and all(one.address != address for one in members)

    # -- life ------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Be a node until stopped.

        Example: ``await node.run()``
        """
        ready = asyncio.Event()
        async with steady.Group() as group:
            group.create_task(self.link.run(ready))
            await ready.wait()
            await self.witness.start(self.settings.witnesses == settings.CORE and self.settings.first_start)
            self.electorate.learn(self.witness.known.roster)
            for held in self.hosts.values():
                await held.copy.open()
            self.opened = True
            works = {"samples": self.tell_samples, "ring": self.ring.run, "seat": self.seat.run, "relay": self.relay.run,
                     "holdings": self.share_holdings}
            works.update({f"pair {pair}": held.run for pair, held in self.hosts.items()})
            works.update({f"pictures {pair}": held.copy.draw_pictures for pair, held in self.hosts.items()})
            if 0 in self.hosts:
                works.update({"root": self.root, "reseat": self.reseat.run})
            for name, work in works.items():
                group.create_task(steady.stand(name, work, self.standing))
            self.started.set()

    async def share_holdings(self) -> None:
        """Let this node's copies hear of newer records of holders.

        Example: ``group.create_task(node.share_holdings())``
        """
        while True:
            for pair, held in self.ring.holdings.items():
                if pair in self.hosts:
                    self.hosts[pair].learn(held)
            if self.witness.voting:
                for ballot in list(self.witness.ballots.values()):
                    if ballot.value and ballot.register not in self.ring.holdings and ballot.register != holding.ROSTER:
                        self.ring.hold(record.untagged(ballot.value))
            try:
                async with moment.limit(STEP):
                    await self.ring.changed.wait()
            except TimeoutError:
                pass
            self.ring.changed.clear()

    def own_samples(self) -> list[sample.Sample]:
        """What any node says of itself in numbers.

        Example: ``node.own_samples()[0].name``
        """
        found = [sample.sample("aspencroft_plan_current", self.relay.current()),
                 sample.sample("aspencroft_plan_number", self.relay.revision.number),
                 sample.sample("aspencroft_leaving", self.stopping.is_set()),
                 sample.sample("aspencroft_fellows_live", sum(one.state == fellow.LIVE for one in self.ring.fellows.values())),
                 sample.sample("aspencroft_faults_outside", sum(self.outside.values())),
                 sample.sample("aspencroft_faults_standing", sum(self.standing.values()))]
        for pair, held in self.hosts.items():
            found.append(sample.sample("aspencroft_pair_serving", held.claimed() and held.why == "serving", pair=str(pair)))
            found.append(sample.sample("aspencroft_pair_entries", held.copy.last().sequence, pair=str(pair)))
        return found

    def samples(self) -> tuple[sample.Sample, ...]:
        """All samples of this node, each with the labels node, area and role.

        Example: ``node.samples()``
        """
        own = {"node": self.address, "area": self.settings.area, "role": self.settings.role}
        return tuple(sample.sample(one.name, one.value, **own, **{label.name: label.value for label in one.labels})
                     for source in self.sampled for one in source())

    async def tell_samples(self) -> None:
        """Tell the holder of the alerts duty this node's samples, while the plan holds rules.

        Example: ``group.create_task(node.tell_samples())``
        """
        while True:
            await moment.pause(SAMPLE)
            known = self.relay.topics.get("alerts")
            holder = json.loads(known.body).get("holder") if known is not None else None
            if holder and self.relay.plan.rules:
                if holder == self.address:
                    self.hear(sample.Sampled(self.address, self.samples()))
                else:
                    self.link.tell(holder, sample.Sampled(self.address, self.samples()))

    def control(self, name: str, otherwise):
        """What firing alert rules ask for, as far as it is known here.

        Example: ``node.control("shed", 10)``
        """
        known = self.relay.topics.get("alerts")
        return json.loads(known.body).get(name, otherwise) if known is not None else otherwise

    def status(self) -> dict:
        """What an operator should see of this node.

        Example: ``node.status()["pairs"]``
        """
        return {
            "address": self.address, "area": self.settings.area, "role": self.settings.role,
            "incarnation": self.incarnation, "leaving": self.stopping.is_set(),
            "plan": {"revision": self.relay.revision.text(), "current": self.relay.current(),
                     "root": self.relay.root, "parent": self.relay.parent(),
                     "children": sorted(self.relay.children)},
            "witness": {"voting": self.witness.voting, "why": self.seat.why,
                        "roster": list(self.electorate.roster.everyone()),
                        "roster_number": self.electorate.roster.number},
            "fellows": [{"address": one.address, "state": fellow.STATES[one.state], "area": one.area,
                         "role": one.role, "http": one.http, "disk": one.disk}
                        for one in self.ring.table().fellows],
            "holders": {str(pair): {"epoch": held.epoch, "primary": held.primary.address,
                                    "backups": [one.address for one in held.backups]}
                        for pair, held in sorted(self.ring.holdings.items())},
            "pairs": {str(pair): {"why": held.why, "claimed": held.claimed(),
                                  "sequence": held.copy.last().sequence, "disk": held.copy.condition.value,
                                  **held.counts} for pair, held in self.hosts.items()},
            "duties": {name: {"held": one.held(), "epoch": one.epoch} for name, one in self.duties.items()},
            "faults": {"outside": dict(self.outside), "standing tasks": dict(self.standing)},
            "counts": {"link": dict(self.link.counts), "ring": self.ring.counts, "relay": self.relay.counts},
        }
