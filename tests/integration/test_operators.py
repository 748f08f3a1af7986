"""Operators must see in commands what they changed, and why a request goes where it goes."""

import msgspec


def run_json(fleet, *arguments):
    result = fleet.run_command(*arguments, '--json')
    assert result.code == 0, result.output
    return msgspec.json.decode(result.output.strip().splitlines()[-1])


def test_explain_names_every_owner(fleet):
    """Guards against an explanation that no longer fits the decision's fields."""
    plan = fleet.plan
    service = plan.deployment.base.services[0].id
    team = plan.deployment.base.teams[0].id
    answer = run_json(
        fleet,
        'explain',
        f'--instance={plan.instances[0].public}',
        '--caller=127.0.0.1',
        f'--team={team}',
        f'--service={service}',
    )
    assert answer['allowed'] is True
    owners = {candidate['owner'] for candidate in answer['candidates']}
    assert owners == {instance.id for instance in plan.instances}


def test_status_shows_what_is_drained(fleet):
    """Guards against a drain that operators can't see."""
    target = f'target:{fleet.plan.hosts[-1].targets[-1].address}'
    assert fleet.run_command('drain', target, f'--store={fleet.plan.store}').code == 0
    shown = fleet.run_command('status', f'--store={fleet.plan.store}')
    assert fleet.run_command('undrain', target, f'--store={fleet.plan.store}').code == 0
    assert f'drained: {target}' in shown.output
    assert 'free/usable' in shown.output
