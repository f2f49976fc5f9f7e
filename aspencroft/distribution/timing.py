"""Intervals and time-outs of the dissemination tree."""

from aspencroft.runtime import clock

PULL_INTERVAL = clock.seconds(0.4)
PULL_TIMEOUT = clock.seconds(0.8)
IMMEDIATE_PULL_PAUSE = PULL_INTERVAL / 40  # pause before an immediate pull, so that repeated immediate pulls stay cheap
AVOID_PARENT_FOR = clock.seconds(2)
NEVER_HEARD = clock.seconds(10 * 365 * 24 * 3600)  # root age in messages if the root was never heard of
STALE_PARENT_AFTER = clock.seconds(0.8)  # two pulls; one more is added for each relay above the parent
CHILD_EXPIRY = clock.seconds(2)  # five missed pulls
