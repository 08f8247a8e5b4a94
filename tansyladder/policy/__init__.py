"""The balancing policy: it takes events and returns actions. It reads no clock and does no I/O.

`Balancer` (in `balancer`) passes each event to the component that handles it. `components` builds them and
gives each one the others that it depends on. `docs/policy.md` describes their decisions. The modules,
dependencies first:

Interface to the caller:

- `events`, `actions`, `settings`

Shared by all components:

- `clock`, `action_sink`, `timers`: the time of the current events, the resulting actions, scheduled callbacks
- `active_settings`: the current settings and the limits derived from them
- `hashing`, `backoff`: rendezvous hashing, truncated binary exponential backoff
- `setup_failures`, `tenant_quotas`: whether set-ups fail everywhere, whether a tenant is over its quota

Records, which make no decisions:

- `endpoints`, `endpoint_pools`, `endpoint_table`
- `requests`, `request_states`, `request_table`

Selecting the endpoint of a request:

- `slow_start`, `endpoint_load`, `pool_load`, `endpoint_weights`: the capacity and load of endpoints and pools
- `weighted_draw`, `endpoint_sampling`, `endpoint_draw`, `endpoint_selection`: the random draw among endpoints
- `previous_endpoint`: the endpoint that already has the connection of a midstream request

Ejecting endpoints and migrating connections:

- `health_checks`, `ejection`, `outlier_detection`
- `migration_priority`, `excess_migration`, `overload_migration`, `drain_migration`
- `endpoint_list`, `discovery_polling`: applying discovery's endpoint list, and polling discovery

Handling a request:

- `request_arrival`, `candidate_checks`, `attempt_sending`, `attempts`: from its arrival to an attempt
- `retry_safety`, `key_backoffs`, `retries`, `final_answers`: whether it is retried, or which answer it gets
- `request_lifecycle`, `endpoint_reports`: established connections, ended attempts, and reports
"""
