"""The decision module: events in, actions out. It has no clock and does no I/O.

`Balancer` (`balancer`) hands each event to the part that owns what it changes. The parts, lower ones first:

- `runtime`, `context`: the moment, random numbers, actions, timers, and what follows from the settings
- `backoff`: modified binary exponential backoff
- `slow_start`: what an endpoint gets while it warms up
- `endpoint_load`: how loaded endpoints and pools of them are
- `endpoint_selection`: which endpoint a request goes to
- `migration`: which established connections move, and when
- `outlier_detection`: health checks, and the ejection of endpoints that fail or are slow
- `discovery`: the table of endpoints, and when discovery is polled
- `retries`: whether and when a request is retried, and why a client is rejected
- `request_lifecycle`: attempts, established connections, and their ends

`records` holds endpoints, pools and requests; callers use `events`, `actions` and `settings`.
"""
