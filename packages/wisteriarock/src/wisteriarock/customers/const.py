"""Constants of keys and allotments."""

# Size in bytes of the digest of a key.
KEY_DIGEST_BYTES = 16
# Age of the news of the store above which an unknown key may be one that has just been added.
KEY_NEWS_AGE_MAX_MS = 5_000.0
# Largest number of log lines on the customers of one configuration, or one change of orders.
LOGGED_CUSTOMERS_MAX = 10
# Shares of the tolerated excess that a relay adds to the allotment of a window and that it lets a
# customer run into debt, and that instances without contact to a relay may use together. The rest
# covers the delay of reports and orders.
RELAY_RATE_EXCESS_SHARE = 0.2
RELAY_DEBT_SHARE = 0.15
# Share of all instances that a relay has to hear of for the former.
EXCESS_HEARD_SHARE_MIN = 0.9
# Share of the excess that a relay adds while it hears of fewer, to a customer for which the excess
# lasts at its rate for the longer of these times; none below the shorter one, and between them in
# proportion. What is admitted unheard in the delay of messages grows with the rate.
# It may be larger than the share above: that one holds for customers of any size, this one in full
# only for small ones, of which the delay admits little against the excess.
INCOMPLETE_RATE_EXCESS_SHARE = 0.25
INCOMPLETE_EXCESS_MIN_S = 3.5
INCOMPLETE_EXCESS_FULL_S = 5.0
ALONE_EXCESS_SHARE = 0.25
# Share of what is tolerated in a window that they may use at least; it is the larger part for
# customers whose allotment is small against the excess.
ALONE_TOLERATED_SHARE = 0.75
# Share of the rate of the allotment at which they go on; the rest of a window's allotment is added
# to the burst, as most of their customers send them less than one request in a window.
ALONE_RATE_SHARE = 0.5
# Part of its share that an instance has when it starts.
START_SHARE = 1.0
# Time within which a customer is led back to its allowed debt.
CORRECTION_S = 0.4
# Time constant of the rate at which a customer asks.
ASKED_TIME_CONSTANT_S = 1.0
# Time for which a lower rate is paid for at most: the largest debt, in allotments of this time.
DEBT_MAX_S = 2.0
# Number of requests without an order, at least and at most, from which a relay learns how many look
# like later attempts, and their share below which all first attempts count as having the same time.
CALM_REQUESTS_MIN = 20.0
CALM_REQUESTS_MAX = 100.0
UNIFORM_BACK_SHARE_MAX = 0.03
# Least share of later attempts to admit, as a part of that of first ones, as some of them may be
# first attempts with a short time; and the same where all have the same time.
LATER_SHARE_MIN = 0.25
UNIFORM_LATER_SHARE = 0.05
# Shortest interval of the reports of an instance, and the addition for each member of its relay.
REPORT_INTERVAL_MIN_MS = 100.0
REPORT_INTERVAL_PER_MEMBER_MS = 2.0
# Timeout of a report, and the age of unconfirmed requests above which an instance is on its own.
REPORT_TIMEOUT_MS = 250.0
UNCONFIRMED_MAX_MS = 600.0
# Longest wait of a watch for orders, its timeout beyond that, and the age of the last answer above
# which an instance is on its own.
WATCH_WAIT_MS = 1_000.0
WATCH_SLACK_MS = 300.0
HEARD_MAX_MS = 2_000.0
# Age at which an order that no relay has confirmed is dropped.
ORDER_MAX_AGE_MS = 5_000.0
# Interval of the exchange of totals between relays, at least and at most.
EXCHANGE_INTERVAL_MS = 150.0
EXCHANGE_IDLE_INTERVAL_MS = 300.0
# Age of the last message of a relay above which its members count as silent; counts for it are then
# dropped, as it has limited itself to its part meanwhile.
PEER_TIMEOUT_MS = 750.0
# Age of the last message of a member above which it counts as silent.
MEMBER_TIMEOUT_MS = 1_600.0
# Time after a call for which the called relay, and those that it tells, may count the caller.
COUNTED_MS = MEMBER_TIMEOUT_MS + PEER_TIMEOUT_MS
# Time for which the number of members is not counted again.
MEMBERS_REUSE_MS = 100.0
# Time without a request, after its bucket has filled, from which a relay forgets a customer.
IDLE_MS = 10_000.0
# Time for which a new relay lifts no order of its predecessor.
SETTLE_MS = 2_000.0
# Relative change of a share of admission that is worth a message.
ORDER_CHANGE_MIN = 0.25
# Shortest interval between changes of orders, unless a customer comes under one.
ORDER_INTERVAL_MS = 250.0
# Time for which a relay that failed is avoided, and the pause before the next attempt.
RELAY_AVOIDED_MS = 1_000.0
RETRY_PAUSE_MS = 50.0
# Limits of the time after which a refused customer may come back.
WAIT_MIN_MS = 100.0
WAIT_MAX_MS = 5_000.0
# Largest number of customers in a message between instances.
MESSAGE_CUSTOMERS_MAX = 5_000
# Largest number of customers in the state dump.
DUMPED_CUSTOMERS_MAX = 200
# Longest time for which an instance may say that other relays count it.
BOUND_MAX_MS = 60_000.0
