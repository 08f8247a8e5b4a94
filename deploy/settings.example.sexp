; The operator's own settings, read with `tansyladder serve --settings FILE`. Without such a file everything
; here is off, as on the platform. `tansyladder check FILE` names a fault with its path.

(resume                     ; sessions that continue after a lost connection or at another stream host
  (enabled true)
  (expires "30 s")          ; of a token, and of a session that waits for its client: 1 s to 1 h
  (buffer "64 KiB")         ; each way of a session, for what is not acknowledged
  (memory_share 0.125)      ; of limits.memory_mb, for all buffers together
  (max_suspended 256)       ; sessions that may wait for their clients at once
  (retained_end_reasons 4096) ; ended sessions whose reason a late client still gets
  ; (keys (2 "64 hexadecimal digits") (1 "…")) ; the first seals, all open; none: one drawn at the start.
  )                         ; keys are the one thing here that SIGHUP puts in force

(store                      ; persistent state; only on a disk that outlives the node
  (enabled false)
  (directory "/var/lib/tansyladder"))

(peers                      ; nodes that take over each other's sessions; the same file at all, but for listen
  (enabled false)           ; needs resume.enabled, and resume.keys that all nodes share
  (fleet "render")          ; its name
  (key "")                  ; 64 hexadecimal digits, which the nodes prove to each other
  (voters "n0 n1 n2")       ; one, three or five of the members: a majority of them has to be there
  (members (n0 "10.0.0.4:8100") (n1 "10.0.0.5:8100") (n2 "10.0.0.6:8100"))
  (listen ""))              ; empty: at the node's own address among the members

(documents                  ; content that is in force at all nodes or at none; the same at all of them
  (enabled false)           ; needs peers.enabled
  (lease "30 s")            ; for how long a node without contact to the others goes on deciding
  (on_lease_expiry "stop")  ; or "serve", counted as stale: two versions may be in force at once
  (decision_log ""))        ; a file for what each first line is decided under, for tests: it grows without a bound

(log (json false))          ; one JSON object a line
