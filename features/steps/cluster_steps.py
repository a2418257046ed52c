"""Steps that start a cluster, inject faults, and check the guarantees."""

import eventlet
import parse
from behave import given, register_type, then, when
from tests.fakes import checkers, virtual_hub
from tests.fakes.cluster import FakeCluster
from tests.fakes.process import GateKind
from tests.fakes.store import WriteFate

KEYS = tuple(f"k{number}" for number in range(12))
REQUEST_PERIOD_S = 0.1
START_S = 4.0
JITTER_S = 0.03
FATES = {
    "took effect": WriteFate.AFTER_EFFECT,
    "did not take effect": WriteFate.BEFORE_EFFECT,
    "takes effect later": WriteFate.LATE_EFFECT,
}


@parse.with_pattern("keeper|successor|other host")
def _role(text):
    """Return the attribute that holds the name of the host with a role."""
    return text.split()[0]


register_type(Role=_role)


def _start_cluster(context, **sizes):
    """Start a cluster and callers, and record the roles of the hosts."""
    context.cluster = cluster = FakeCluster(**sizes)
    eventlet.sleep(START_S)
    cluster.probe(KEYS, REQUEST_PERIOD_S)
    eventlet.sleep(1)
    context.mark = virtual_hub.now()
    context.owner = cluster.owner()
    context.keeper = cluster.keeper()
    context.keeper_run = cluster.keeper_run()
    context.successor = cluster.successor(context.keeper)
    others = set(cluster.hosts) - {context.keeper, context.successor}
    context.other = sorted(others)[0] if others else None


def _host(context, role):
    """Return the name of the host that had `role` when the scenario began."""
    return getattr(context, role)


@given("{hosts:d} entry hosts and {targets:d} targets that check the fence")
def step_checking(context, hosts, targets):
    _start_cluster(context, hosts=hosts, targets=targets, checks=True)


@given("{hosts:d} entry hosts and {targets:d} targets that do not check the fence")
def step_unchecking(context, hosts, targets):
    _start_cluster(context, hosts=hosts, targets=targets, checks=False)


@given("{hosts:d} entry hosts and {targets:d} targets in {centres:d} data centres")
def step_centres(context, hosts, targets, centres):
    names = ("x", "y", "z")[:centres]
    _start_cluster(context, hosts=hosts, targets=targets, centres=names)


@when("the owner is paused for {seconds:g} seconds")
def step_owner_paused(context, seconds):
    process = context.cluster.targets[context.owner].process
    process.pause()
    eventlet.spawn_after(seconds, process.resume)


@when("the owner is killed")
def step_owner_killed(context):
    context.cluster.targets[context.owner].kill()


@when("the owner is restarted")
def step_owner_restarted(context):
    context.cluster.targets[context.owner].restart()


@when("the owner is drained")
def step_owner_drained(context):
    context.cluster.drain(context.owner)


@when("the {role:Role} is paused for {seconds:g} seconds")
def step_host_paused(context, role, seconds):
    process = context.cluster.hosts[_host(context, role)].process
    process.pause()
    eventlet.spawn_after(seconds, process.resume)


@when("the keeper is paused just before its next {kind} for {seconds:g} seconds")
def step_paused_before(context, kind, seconds):
    gate = {"order": GateKind.ORDER, "write": GateKind.STORE}[kind]
    process = context.cluster.hosts[context.keeper].process
    process.pause_at(gate)
    eventlet.spawn_after(seconds, process.resume)


@when("the {role:Role} is lost")
def step_host_lost(context, role):
    context.cluster.kill_host(_host(context, role))


@when("the machine of the {role:Role} is lost")
def step_machine_lost(context, role):
    context.cluster.vanish_host(_host(context, role))


@when("the {role:Role} is stopped")
def step_host_stopped(context, role):
    context.cluster.hosts[_host(context, role)].stop()


@when("all entry hosts are replaced one by one")
def step_rolling(context):
    for name in list(context.cluster.hosts):
        context.cluster.hosts[name].stop()
        context.cluster.restart_host(name)
        eventlet.sleep(3)


@when("all entry hosts are killed and started again")
def step_all_at_once(context):
    for name in context.cluster.hosts:
        context.cluster.kill_host(name)
    for name in context.cluster.hosts:
        context.cluster.restart_host(name)


@when('data centre "{centre}" is lost')
def step_centre_lost(context, centre):
    context.cluster.lose_centre(centre)


@when("the store is down for {seconds:g} seconds")
def step_store_down(context, seconds):
    context.cluster.store_faults(down=True)
    eventlet.spawn_after(seconds, context.cluster.store_faults, down=False)


@when("the store is silent for {seconds:g} seconds")
def step_store_silent(context, seconds):
    context.cluster.store_faults(silent=True)
    eventlet.spawn_after(seconds, context.cluster.store_faults, silent=False)


@when("each call of the store takes {extra:g} seconds for {seconds:g} seconds")
def step_store_slow(context, extra, seconds):
    context.cluster.store_faults(extra_s=extra)
    eventlet.spawn_after(seconds, context.cluster.store_faults, extra_s=0.0)


@when("the next {count:d} writes {fate} and their answers are lost")
def step_answers_lost(context, count, fate):
    context.cluster.store_faults(late_s=90.0)
    context.cluster.platform.faults.lost.extend([FATES[fate]] * count)


@when("the {role:Role} is cut off from the store for {seconds:g} seconds")
def step_cut_from_store(context, role, seconds):
    faults = context.cluster.hosts[_host(context, role)].store.faults
    faults.silent = True
    eventlet.spawn_after(seconds, setattr, faults, "silent", False)


def _machines(context, names):
    return [context.cluster.hosts[name].process.machine for name in names]


@when("the {role:Role} is cut off from its peers for {seconds:g} seconds")
def step_cut_from_peers(context, role, seconds):
    name = _host(context, role)
    rest = [other for other in context.cluster.hosts if other != name]
    network = context.cluster.network
    network.cut(_machines(context, [name]), _machines(context, rest))
    eventlet.spawn_after(seconds, network.heal)


@when("nothing gets from the {role:Role} to its peers for {seconds:g} seconds")
def step_cut_one_way(context, role, seconds):
    name = _host(context, role)
    rest = [other for other in context.cluster.hosts if other != name]
    network = context.cluster.network
    network.cut(_machines(context, [name]), _machines(context, rest), both=False)
    eventlet.spawn_after(seconds, network.heal)


@when("the {role:Role} is cut off from the owner for {seconds:g} seconds")
def step_cut_from_owner(context, role, seconds):
    owner = context.cluster.targets[context.owner].address.ip
    network = context.cluster.network
    network.cut(_machines(context, [_host(context, role)]), [owner])
    eventlet.spawn_after(seconds, network.heal)


@when("two halves of the entry hosts are cut apart for {seconds:g} seconds")
def step_halves(context, seconds):
    names = sorted(context.cluster.hosts)
    half = len(names) // 2
    network = context.cluster.network
    network.cut(_machines(context, names[:half]), _machines(context, names[half:]))
    eventlet.spawn_after(seconds, network.heal)


@when("an operator applies generation {generation:d}")
def step_apply(context, generation):
    context.cluster.apply(generation)


@then("generation {generation:d} is in force on all entry hosts")
def step_in_force(context, generation):
    for host in context.cluster.hosts.values():
        assert host.in_force.generations() == {"m": generation}, host.name


@then("every promise holds")
def step_guarantees(context):
    cluster = context.cluster
    found = checkers.all_violations(cluster)
    assert not found, found[:3]
    assert not cluster.faults, cluster.faults[:3]
    assert not cluster.network.crashes, cluster.network.crashes[:3]


@then("no key was unavailable")
def step_available(context):
    _unavailable_at_most(context, JITTER_S)


@then("no key was unavailable for more than {seconds:g} seconds")
def step_unavailable(context, seconds):
    _unavailable_at_most(context, seconds)


def _unavailable_at_most(context, seconds):
    gaps = checkers.unavailable_s(
        context.cluster.history, context.mark, REQUEST_PERIOD_S
    )
    assert set(gaps) == set(KEYS), gaps
    assert max(gaps.values()) <= seconds, gaps


@then("no request failed")
def step_no_failure(context):
    answers = context.cluster.history.answers
    failed = [answer for answer in answers if answer.status != 200]
    assert not failed, failed[:3]


@then("the owner has changed")
def step_owner_changed(context):
    assert context.cluster.owner() != context.owner


@then("the keeper has changed")
def step_keeper_changed(context):
    assert context.cluster.keeper_run() != context.keeper_run


@then("all entry hosts are open")
def step_all_open(context):
    closed = [name for name, host in context.cluster.hosts.items() if not host.open()]
    assert not closed, closed


@when("the owner needs {work:g} seconds for each request for {seconds:g} seconds")
def step_owner_slow(context, work, seconds):
    target = context.cluster.targets[context.owner]
    eventlet.spawn_after(seconds, setattr, target, "work_s", target.work_s)
    target.work_s = work


@when("the owner sheds all requests for {seconds:g} seconds")
def step_owner_sheds(context, seconds):
    target = context.cluster.targets[context.owner]
    target.sheds = True
    eventlet.spawn_after(seconds, setattr, target, "sheds", False)


@when('data centre "{centre}" is cut off from the others for {seconds:g} seconds')
def step_centre_cut(context, centre, seconds):
    cluster = context.cluster
    inside, outside = [], []
    for host in cluster.hosts.values():
        side = inside if host.centre == centre else outside
        side.append(host.process.machine)
    for row in cluster.config.services[0].targets:
        (inside if row.data_centre == centre else outside).append(row.ip)
    cluster.network.cut(inside, outside)
    eventlet.spawn_after(seconds, cluster.network.heal)


@then("callers were told that an outcome is unknown")
def step_unknown(context):
    assert any(answer.run == "unknown" for answer in context.cluster.history.answers)


@then("no caller was told that an outcome is unknown")
def step_none_unknown(context):
    answers = context.cluster.history.answers
    assert not any(answer.run == "unknown" for answer in answers)
