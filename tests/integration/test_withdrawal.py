"""A withdrawn key must stop working within seconds, also on open connections."""

import random
import time

import gevent

from currantmast.client import Client
from currantmast.experiment.inspection import WITHDRAWAL_PATH_S
from currantmast.experiment.load import choose_address
from currantmast.experiment.plans import make_key
from currantmast.experiment.records import Call
from currantmast.experiment.scenarios import Scenario
from currantmast.outcomes import Done, NotRun, Reason

SENDING_S = 3


def record_call(client, team, site, service, number):
    sent = time.monotonic()
    call_id = f'withdrawal-{number}'
    answer = client.get(service.id, f'calls/{call_id}?answer_bytes=300')
    call = Call(
        id=call_id,
        caller=team.id,
        site=site.id,
        team=team.id,
        service=service.id,
        kind=service.kind,
        sent=sent,
        ended=time.monotonic(),
        outcome='done' if isinstance(answer.outcome, Done) else 'not-run',
        key='issued',
    )
    return call, answer.outcome


def test_key_works_once_issued_and_never_after_its_withdrawal(fleet, operator):
    team = fleet.plan.deployment.base.teams[1]
    service = fleet.plan.deployment.base.services[0]
    site = fleet.plan.deployment.sites[0]
    key = make_key(random.Random(5), team.id)
    clients = [
        Client((address,), key, choose_address(site))
        for address in fleet.entry_addresses
    ]
    operator.issue_key(team.id, key)
    with Scenario(fleet, 'withdrawal') as scenario:
        outcomes = []

        def send(first):
            for number in range(first, first + len(clients)):
                client = clients[number % len(clients)]
                call, outcome = record_call(client, team, site, service, number)
                scenario.calls.append(call)
                outcomes.append(outcome)

        send(0)
        assert all(isinstance(outcome, Done) for outcome in outcomes)
        sender = gevent.spawn(lambda: [send(n * 9) for n in range(1, 40)])
        operator.withdraw_key(key)
        scenario.note_withdrawal('issued')
        sender.join(SENDING_S)
        sender.kill()
        gevent.sleep(WITHDRAWAL_PATH_S)
        outcomes.clear()
        send(9000)
        assert {type(outcome) for outcome in outcomes} == {NotRun}
        assert {outcome.reason for outcome in outcomes} == {Reason.key_unknown}
        assert scenario.inspect() == ()
    for client in clients:
        client.close()
