"""Times of the dissemination tree."""

from aspencroft.runtime import clock

PULL_INTERVAL = clock.seconds(0.4)
PULL_TIMEOUT = clock.seconds(0.8)
PULL_SOON = PULL_INTERVAL / 40  # a pause before a pull that is made at once, so that a loop of them stays cheap
AVOID_PARENT_FOR = clock.seconds(2)
NEVER_HEARD = clock.seconds(10 * 365 * 24 * 3600)  # the age of a root that was never heard of, as it is on the wire
STALE_PARENT_AFTER = clock.seconds(0.8)  # two pulls, beside one for each relay above the parent
CHILD_EXPIRY = clock.seconds(2)  # five pulls missed
