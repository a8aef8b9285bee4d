"""Dispatch policies: limits, estimates, fair queues, quotas, ejection and retries."""
