"""Run the rows of the matrix on the deciders, joined by queues in memory."""

from itertools import combinations

from behave import given, then, when

from common.matrix_changes import ChangeWorld
from common.matrix_requests import KINDS, STEPS_OF_KEYED, RequestWorld

CLAIM_KINDS = {"claimed": "claimed", "answer stored": "stored"}
STEPS_OF_COMMANDS = ("proposed", "synced at one", "synced at a quorum", "applied")
BEYOND_A_QUORUM = [
    {"disk lost", "second loss after a repair"},
    {"disk lost", "restart after hundreds of changes"},
    {"second loss after a repair", "restart after hundreds of changes"},
]
"""Each takes two of three replicas at once, and no quorum can bear that."""


def request_worlds(step, faults):
    kinds = ("keyed",) if step in STEPS_OF_KEYED else KINDS
    return [RequestWorld(kind, step, faults) for kind in kinds]


def change_worlds(step, faults):
    return [ChangeWorld(step, faults)]


def claim_worlds(step, faults):
    kind = CLAIM_KINDS[step]
    return [ChangeWorld(moment, faults, kind) for moment in STEPS_OF_COMMANDS]


@given("a request of each kind, which its caller sends again")
def given_requests(context):
    context.make = request_worlds


@given("a change that an operator confirms, and its rival")
def given_changes(context):
    context.make = change_worlds


@given("a key in the replicated state")
def given_claims(context):
    context.make = claim_worlds


@when('"{fault}" comes at "{step}"')
def when_fault(context, fault, step):
    context.row = (fault, step)
    context.worlds = context.make(step, (fault,))
    for world in context.worlds:
        world.run()
        assert world.fired, f"{step} was never reached"


@then("each caller gets one answer in time, its own and whole, or a true refusal")
def then_answers(context):
    for world in context.worlds:
        world.check_answers()


@then("what must run once has run at most once")
def then_runs(context):
    for world in context.worlds:
        world.check_runs()


@then("no engine holds memory for it after the sidecar's bound")
def then_memory(context):
    for world in context.worlds:
        world.check_memory()


@then("an upstream that leaves is given nothing new")
def then_leaving(context):
    for world in context.worlds:
        world.check_leaving()


@then("one of the two is in force in every process, and no version goes back")
def then_in_force(context):
    for world in context.worlds:
        world.check_changes()


@then("a resend through another entry gets the first answer")
def then_first_answer(context):
    for world in context.worlds:
        world.check_resends()


@then("the key is claimed once, and its answer is kept")
def then_claimed(context):
    for world in context.worlds:
        world.check_claim()


@then('any two faults of these at "{step}" keep every promise')
def then_pairs(context, step):
    faults = [row["fault"] for row in context.table]
    failures = []
    for pair in combinations(faults, 2):
        if set(pair) in BEYOND_A_QUORUM:
            continue
        failure = failure_of(context.make(step, pair))
        name = context.feature.name
        context.matrix.count(name, f"{pair[0]}, and another", step, not failure)
        if failure:
            failures.append(f"{pair}: {failure}")
    assert not failures, "\n".join(failures)


def failure_of(worlds):
    """Run worlds to their end; tell how the first that breaks a promise does."""
    for world in worlds:
        try:
            world.run()
            world.check()
        except AssertionError as error:
            return f"{world.kind}: {error!r}"
    return ""
