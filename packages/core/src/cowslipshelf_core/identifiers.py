"""Name the identifiers that cross module and process boundaries."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""One process of the system, as its settings name it."""

DataCentre = NewType("DataCentre", str)
CustomerName = NewType("CustomerName", str)
ServiceName = NewType("ServiceName", str)
ModelName = NewType("ModelName", str)

UpstreamId = NewType("UpstreamId", str)
"""One upstream instance; on machines whose upstreams tell of their starts, one start
of it, see `UpstreamStart`."""

UpstreamName = NewType("UpstreamName", str)
"""What an upstream calls itself, the same over its restarts."""

Epoch = NewType("Epoch", str)
"""One start of one process: random, new after every restart."""

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
ChangeId = NewType("ChangeId", str)
PlanId = NewType("PlanId", str)
OrderId = NewType("OrderId", str)
GrantId = NewType("GrantId", str)
OperatorName = NewType("OperatorName", str)

ConfigurationVersion = NewType("ConfigurationVersion", int)
"""Counts accepted configurations; zero is the empty one nobody accepted."""

FencingNumber = NewType("FencingNumber", int)
"""Index in the replicated log of the order that carries it."""

NO_CONFIGURATION = ConfigurationVersion(0)
