"""Commands that measure how costs grow with the size of the fleet."""

import sys
from collections.abc import Iterable

from fire import decorators

from currantmast.experiment import (
    claimslopes,
    controlslopes,
    cutslopes,
    fleetslopes,
    httpslopes,
    metricslopes,
    relayslopes,
    shareslopes,
    tableslopes,
    takeoverslopes,
)
from currantmast.experiment.slopetables import SlopeTable, format_table

BLOCK_SIZES = (100_000, 1_000_000, 2_300_000)
STATE_SIZES = (100, 1000, 10_000)
PEER_SIZES = (8, 50, 100, 200, 400)
BUDGET_SIZES = (8, 40, 100, 400)
MEMBER_SIZES = (9, 100, 500, 1000, 2100)
HOLDER_SIZES = (9, 36, 90, 300, 900)
RELAY_SIZES = (12, 24, 48, 96)
BATCH_SIZES = (50, 200, 500, 1000)
REQUEST_SIZES = (1000, 10_000, 50_000)
CUT_SIZES = (40, 200, 1000, 2100)
FLEET_SIZES = (3, 9, 18, 36)
CLAIM_SIZES = (1000, 10_000, 100_000)


def read_sizes(text: str) -> tuple[int, ...]:
    """Return the sizes in an option, separated by commas."""
    return tuple(int(part) for part in text.strip('()').split(',') if part.strip())


take_sizes = decorators.SetParseFn(read_sizes, 'sizes')


class SlopeCommands:
    """Measure costs at several sizes and print them with their slopes."""

    @take_sizes
    def blocks(self, sizes: tuple[int, ...] = BLOCK_SIZES, seed: int = 1) -> None:
        """Memory of the client block table, and look-ups, against its blocks."""
        rows = tableslopes.measure_blocks(sizes, seed)
        _print(f'blocks --seed={seed}', 'blocks', tableslopes.BLOCK_COSTS, rows)

    @take_sizes
    def lookups(self, sizes: tuple[int, ...] = MEMBER_SIZES, seed: int = 1) -> None:
        """Processor time of one look-up's decision against members."""
        rows = tableslopes.measure_lookups(sizes, seed)
        _print(f'lookups --seed={seed}', 'members', tableslopes.LOOKUP_COSTS, rows)

    @take_sizes
    def http(
        self,
        sizes: tuple[int, ...] = BLOCK_SIZES,
        members: int = 9,
        seconds: float = 5,
        seed: int = 1,
    ) -> None:
        """Look-ups through the HTTP server of one process, against blocks."""
        rows = httpslopes.measure_http(sizes, members, seconds, seed)
        command = f'http --members={members} --seconds={seconds} --seed={seed}'
        _print(command, 'blocks', httpslopes.HTTP_COSTS, rows)

    def serve(self, blocks: int, members: int) -> None:
        """Serve look-ups for `http`; ends by itself."""
        httpslopes.serve(blocks, members)

    @take_sizes
    def fleet(
        self,
        deployment_dir: str,
        sizes: tuple[int, ...] = FLEET_SIZES,
        seconds: float = 15,
        seed: int = 1,
    ) -> None:
        """Cost of fleets of processes, and publication, against instances."""
        rows = fleetslopes.measure_fleets(deployment_dir, sizes, seconds, seed)
        command = f'fleet {deployment_dir} --seconds={seconds} --seed={seed}'
        _print(command, 'instances', fleetslopes.FLEET_COSTS, rows)

    @take_sizes
    def pages(self, sizes: tuple[int, ...] = BLOCK_SIZES) -> None:
        """Publication, transfer and adoption of a configuration against blocks."""
        rows = tableslopes.measure_pages(sizes)
        _print('pages', 'blocks', tableslopes.PAGE_COSTS, rows)

    @take_sizes
    def state(self, kind: str, sizes: tuple[int, ...] = STATE_SIZES) -> None:
        """Memory and adoption against KIND: teams, targets or peers."""
        rows = tableslopes.measure_state(kind, sizes)
        _print(f'state {kind}', kind, tableslopes.STATE_COSTS, rows)

    @take_sizes
    def heartbeats(
        self,
        sizes: tuple[int, ...] = PEER_SIZES,
        teams: int = 8,
        links: bool = False,
    ) -> None:
        """Codec and decisions of an all-to-all exchange against peers."""
        rows = controlslopes.measure_heartbeats(sizes, teams, links)
        command = f'heartbeats --teams={teams} --links={links}'
        _print(command, 'peers', controlslopes.HEARTBEAT_COSTS, rows)

    @take_sizes
    def budgets(self, sizes: tuple[int, ...] = BUDGET_SIZES, peers: int = 48) -> None:
        """The same against the number of teams, for PEERS peers."""
        rows = controlslopes.measure_budgets(sizes, peers)
        _print(f'budgets --peers={peers}', 'teams', controlslopes.HEARTBEAT_COSTS, rows)

    @take_sizes
    def messages(self, sizes: tuple[int, ...] = BUDGET_SIZES) -> None:
        """Messages of a member under a relay tier against the budgets it uses."""
        rows = relayslopes.measure_messages(sizes)
        _print('messages', 'budgets', relayslopes.MESSAGE_COSTS, rows)

    @take_sizes
    def relays(self, sizes: tuple[int, ...] = RELAY_SIZES, budgets: int = 8) -> None:
        """Messages of a relay against the members of its failure domain."""
        rows = relayslopes.measure_relays(sizes, budgets)
        command = f'relays --budgets={budgets}'
        _print(command, 'members', relayslopes.RELAY_COSTS, rows)

    @take_sizes
    def takeover(self, sizes: tuple[int, ...] = BATCH_SIZES) -> None:
        """Reading a partition's log from the object API against its batches."""
        rows = takeoverslopes.measure_takeover(sizes)
        _print('takeover', 'batches', takeoverslopes.TAKEOVER_COSTS, rows)

    @take_sizes
    def metrics(self, sizes: tuple[int, ...] = REQUEST_SIZES) -> None:
        """Metrics sent to statsd against requests."""
        rows = metricslopes.measure_metrics(sizes)
        _print('metrics', 'requests', metricslopes.METRIC_COSTS, rows)

    @take_sizes
    def cuts(self, sizes: tuple[int, ...] = CUT_SIZES) -> None:
        """Time until a region cut from one other region is removed, by members."""
        rows = cutslopes.measure_cuts(sizes)
        _print('cuts', 'members', cutslopes.CUT_COSTS, rows)

    @take_sizes
    def ownership(self, sizes: tuple[int, ...] = MEMBER_SIZES) -> None:
        """Fleet record and ownership against members."""
        rows = controlslopes.measure_ownership(sizes)
        _print('ownership', 'members', controlslopes.OWNERSHIP_COSTS, rows)

    @take_sizes
    def shares(  # noqa: WPS211 - each argument is an option of the command line
        self,
        sizes: tuple[int, ...] = HOLDER_SIZES,
        rate: float = 600,
        burst: float = 300,
        load: float = 0.7,
        skew: float = 1,
        seconds: float = 10,
        seed: int = 1,
    ) -> None:
        """Wrongful refusals and transfers of one budget against its holders."""
        settings = shareslopes.ShareSettings(rate, burst, load, skew, seconds, seed)
        rows = shareslopes.measure_shares(sizes, settings)
        command = (
            f'shares --rate={rate} --burst={burst} --load={load} --skew={skew} '
            f'--seconds={seconds} --seed={seed}'
        )
        _print(command, 'holders', shareslopes.SHARE_COSTS, rows)

    @take_sizes
    def claims(
        self, sizes: tuple[int, ...] = CLAIM_SIZES, body_bytes: int = 200
    ) -> None:
        """Bytes and time of claims against the length of a partition's log."""
        rows = claimslopes.measure_claims(sizes, body_bytes)
        command = f'claims --body_bytes={body_bytes}'
        _print(command, 'claims', claimslopes.CLAIM_COSTS, rows)


def _print(
    command: str, size: str, costs: tuple[str, ...], rows: Iterable[list[float]]
) -> None:
    table = SlopeTable(
        f'currantmast experiment slopes {command}', size, costs, tuple(rows)
    )
    sys.stdout.write(f'{format_table(table)}\n\n')
    sys.stdout.flush()
