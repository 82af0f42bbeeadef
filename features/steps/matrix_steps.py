"""Run the matrix rows on the state machines, connected by in-memory queues."""

from behave import given, then, when

from common.matrix_rows import (
    change_simulations,
    claim_simulations,
    pair_failures,
    request_simulations,
)


@given("a request of each kind, which its caller sends again")
def given_requests(context):
    context.make, context.subject = request_simulations, "a request"


@given("a change that an operator confirms, and its rival")
def given_changes(context):
    context.make, context.subject = change_simulations, "a change"


@given("a key in the replicated state")
def given_claims(context):
    context.make, context.subject = claim_simulations, "a claim"


@when('"{fault}" comes at "{step}"')
def when_fault(context, fault, step):
    context.row = (fault, step)
    context.simulations = context.make(step, (fault,))
    for simulation in context.simulations:
        simulation.run()
        assert simulation.injected, f"{step} was never reached"


@then("each caller gets one answer in time, its own and whole, or a true refusal")
def then_answers(context):
    for simulation in context.simulations:
        simulation.check_answers()


@then("what must run once has run at most once")
def then_runs(context):
    for simulation in context.simulations:
        simulation.check_runs()


@then("no engine holds memory for it after the sidecar's bound")
def then_memory(context):
    for simulation in context.simulations:
        simulation.check_memory()


@then("an upstream that leaves is given nothing new")
def then_leaving(context):
    for simulation in context.simulations:
        simulation.check_leaving()


@then("one of the two is in force in every process, and no version goes back")
def then_in_force(context):
    for simulation in context.simulations:
        simulation.check_changes()


@then("a resend through another entry gets the first answer")
def then_first_answer(context):
    for simulation in context.simulations:
        simulation.check_resends()


@then("the key is claimed once, and its answer is kept")
def then_claimed(context):
    for simulation in context.simulations:
        simulation.check_claim()


@then('any two faults of these at "{step}" keep every promise')
def then_pairs(context, step):
    faults = [row["fault"] for row in context.table]
    failures = []
    for pair, failure in pair_failures(context.make, step, faults):
        name = context.feature.name
        context.matrix.count(name, f"any two, of {context.subject}", step, not failure)
        if failure:
            failures.append(f"{pair}: {failure}")
    assert not failures, "\n".join(failures)
