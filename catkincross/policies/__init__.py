"""Policies of dispatch: limits, estimates, fair queues, quotas, ejection, retries."""
