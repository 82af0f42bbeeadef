"""Check what must always hold of the agreement, whatever fails and when."""

from hypothesis import settings

from common.agreement_machine import AgreementMachine

TestAgreement = AgreementMachine.TestCase
TestAgreement.settings = settings(
    max_examples=60, stateful_step_count=50, deadline=None, derandomize=True
)
