"""Carry messages and attempts between the processes of the system.

Attempts and mailboxes have a module each, so that a process which only sends messages
loads no HTTP libraries as it starts.
"""
