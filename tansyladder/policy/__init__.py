"""The policy: events in, actions out. It has no clock and does no I/O.

`Balancer` (`balancer`) hands each event to the part that owns what it changes; `parts` builds the parts, each
with what it needs of the others. `docs/policy.md` tells how they decide. The modules, lower ones first:

What callers give and get:

- `events`, `actions`, `settings`

What all parts share:

- `clock`, `action_sink`, `timers`: the moment of the events, the actions that follow, what is due later
- `settings_in_force`: the settings and the limits derived from them
- `hashing`, `backoff`: rendezvous hashing, truncated binary exponential backoff
- `setup_failures`, `tenant_quotas`: whether set-ups fail everywhere, whether a tenant is over its quota

Records, which decide nothing:

- `endpoints`, `endpoint_pools`, `endpoint_table`
- `requests`, `request_states`, `request_table`

Which endpoint a request goes to:

- `slow_start`, `endpoint_load`, `pool_load`, `endpoint_weights`: what endpoints and pools of them can take
- `weighted_draw`, `endpoint_sampling`, `endpoint_draw`, `endpoint_selection`: the draw among endpoints
- `previous_endpoint`: where the connection of a midstream request is

Which endpoints are left out, and which connections migrate:

- `health_checks`, `ejection`, `outlier_detection`
- `migration_priority`, `excess_migration`, `overload_migration`, `drain_migration`
- `endpoint_list`, `discovery_polling`: discovery's list, and when discovery is polled

What happens to a request:

- `request_arrival`, `candidate_checks`, `attempt_sending`, `attempts`: from its arrival to its attempts
- `retry_safety`, `key_backoffs`, `retries`, `final_answers`: whether it is retried, or what answer it gets
- `request_lifecycle`, `endpoint_reports`: established connections, ends, and reports
"""
