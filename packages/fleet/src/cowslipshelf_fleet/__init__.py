"""Transport messages and attempts between the processes of the system.

Attempts and mailboxes are separate modules, so that a process that only sends messages
imports no HTTP libraries at startup.
"""
