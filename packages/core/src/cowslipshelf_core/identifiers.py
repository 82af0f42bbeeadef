"""Define the types of identifiers that cross module and process boundaries."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""One process of the system, as named in its settings."""

DataCentre = NewType("DataCentre", str)
CustomerName = NewType("CustomerName", str)
ServiceName = NewType("ServiceName", str)
ModelName = NewType("ModelName", str)

UpstreamId = NewType("UpstreamId", str)
"""One upstream instance. With a machine protocol that reports starts, one start of an
upstream; see `UpstreamStart`."""

UpstreamName = NewType("UpstreamName", str)
"""Name that an upstream keeps over its restarts."""

Epoch = NewType("Epoch", str)
"""Random identifier of one start of a process; new after every restart."""

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
ChangeId = NewType("ChangeId", str)
PlanId = NewType("PlanId", str)
OrderId = NewType("OrderId", str)
GrantId = NewType("GrantId", str)
OperatorName = NewType("OperatorName", str)

ConfigurationVersion = NewType("ConfigurationVersion", int)
"""Counts accepted configurations; zero is the initial empty one."""

FencingNumber = NewType("FencingNumber", int)
"""Index of an order in the replicated log."""

NO_CONFIGURATION = ConfigurationVersion(0)
