# A retry storm: a node stops for five seconds and restarts warming up, while clients retry in the ways that are usual for
# real clients. Later, all three nodes of a zone stop and restart together.
#   cargo run --release -- scenario scenarios/retry-storm.hcl --undamped
host {
  hosts       = 3
  hand_offs   = 3
  order_rest  = "100ms"
  most_units  = 4
  mean_units  = 2
  round       = "5ms"
}

list {
  mode       = "ask"
  ask_within = "4s"
}

log {
  level = "warn"
}

budget {
  free   = 10
  share  = 0.2
  window = "2s"
}

cold {
  share         = 0.15
  time          = "5s"
  units         = 300
  fall_time     = "1s"
  fall_multiple = 2
}

band "read" {
  soft_limit = "200ms"
  time_limit = "1.2s"
  payoff     = 3
  repeats    = "retriable"
}

band "write" {
  soft_limit = "200ms"
  time_limit = "1s"
  payoff     = 3
  repeats    = "fingerprinted"
  group      = "zone"
  memory     = "1.5s"
  in_order   = true
}

band "order" {
  soft_limit = "300ms"
  time_limit = "1s"
  payoff     = 4
  repeats    = "binding"
}

band "scan" {
  soft_limit = "800ms"
  time_limit = "2s"
  payoff     = 1
  repeats    = "retriable"
}

plan "basico" {
  rate        = 300
  weight      = 1
  limit_rate  = 1200
  limit_store = 400
}

plan "padrao" {
  rate    = 600
  reserve = 600
  weight  = 2
}

plan "prioritario" {
  rate    = 900
  reserve = 900
  weight  = 6
}

capacity {
  units_a_second = 2000
}

volume "a" {
  id     = 1
  plan   = "basico"
  shards = [0, 1, 2]
}
volume "b" {
  id     = 2
  plan   = "basico"
  shards = [3, 4]
  hosts  = 2
}
volume "c" {
  id     = 3
  plan   = "padrao"
  shards = [0, 2, 4]
}
volume "d" {
  id     = 4
  plan   = "padrao"
  shards = [1, 3, 5]
}
volume "e" {
  id     = 5
  plan   = "prioritario"
  shards = [0, 5]
}
volume "f" {
  id     = 6
  plan   = "prioritario"
  shards = [1, 4]
  hosts  = 1
}

standin {
  cores         = 2
  unit_work     = "1ms"
  queue         = 400
  list_late     = "40ms"
  fingerprinted = [1]
  group         = "zone"
  memory        = "1.5s"
  cold {
    share         = 0.15
    time          = "5s"
    units         = 300
    fall_time     = "1s"
    fall_multiple = 2
  }
  node "0" {
    shard = 0
    zone  = 0
  }
  node "1" {
    shard = 1
    zone  = 0
  }
  node "2" {
    shard = 2
    zone  = 0
  }
  node "3" {
    shard = 3
    zone  = 1
  }
  node "4" {
    shard = 4
    zone  = 1
  }
  node "5" {
    shard = 5
    zone  = 1
  }
}

drill {
  time         = "16s"
  drain_within = "250ms"
}

# Rule 4 allows a warming node to receive twice its capacity over one second (`fall_multiple`, `fall_time`). A restarted
# node must stay below a lower multiple, `ceiling`, in every 100 ms.
storm {
  ceiling     = 1.5
  quiet       = "1.5s"
  recovers_to = 0.9
  recovers_in = "10s"
}

traffic {
  rate    = 2200
  clients = 8
  keys    = 400
  habit "at once" {
    share = 0.3
    again = "at-once"
    tries = 6
    heeds = 0.5
  }
  habit "fixed" {
    share = 0.3
    again = "fixed"
    wait  = "100ms"
    tries = 8
    heeds = 0
  }
  habit "careful" {
    share = 0.4
    again = "exponential"
    wait  = "50ms"
    tries = 5
  }
  mix "read" {
    share = 0.5
    units = 3
  }
  mix "write" {
    share   = 0.3
    units   = 3
    write   = true
    payload = 256
  }
  mix "order" {
    share   = 0.1
    units   = 2
    write   = true
    payload = 128
  }
  mix "scan" {
    share = 0.1
    units = 4
  }
}

trouble "crash" {
  nodes = [0]
  from  = "1.5s"
  to    = "6.5s"
}
# The same node stops again soon after its restart.
trouble "crash" {
  nodes = [0]
  from  = "7s"
  to    = "7.8s"
}
trouble "host-kill" {
  hosts = [2]
  from  = "8.2s"
  to    = "8.6s"
}
trouble "answers-lost" {
  nodes  = [1]
  from   = "10s"
  to     = "10.6s"
  amount = 0.2
}
trouble "mass-restart" {
  zones = [1]
  from  = "10.8s"
  to    = "11.6s"
}
trouble "drain" {
  nodes = [2]
  from  = "15.2s"
  to    = "15.6s"
}
