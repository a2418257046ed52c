"""Steps for load storms and hot keys, with the real queues, lenders and planner."""

from behave import then, when
from tools.measure import imbalance, teams
from tools.measure.queue_model import LentPermits
from tools.measure.sites import LAURENTIDE, QOYAN

from persimmonspoke.internal.questionnaire.configuration import Measure

SITES = {site.name: site for site in (LAURENTIDE, QOYAN)}


@when('archive reads ask for twice the slots at "{site}"')
def step_archive(context, site):
    context.share = teams.archive_storm(LentPermits, SITES[site]).share_in_time()


@when('one team storms beside another at "{site}"')
def step_teams(context, site):
    context.share = teams.team_storm(LentPermits, SITES[site]).share_in_time()


@then("at least {share:g} of the others are served in time")
def step_share(context, share):
    assert context.share >= share, context.share


@when(
    "82 hot keys move every few minutes over {targets:d} targets for a team "
    'that weighs "{measure}"'
)
def step_hot(context, targets, measure):
    context.imbalance = imbalance.moving_imbalance(Measure(measure), targets)[0]


@then("the busiest owner has at most {bound:g} of the best that can be reached")
def step_imbalance(context, bound):
    assert context.imbalance <= bound, context.imbalance
