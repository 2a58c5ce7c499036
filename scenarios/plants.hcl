# A short scenario in which every rule has cases to check; --defect RULE seeds a defect that the audit must detect.
#   cargo run --release -- scenario scenarios/plants.hcl --defect twice
host {
  hosts       = 3
  hand_offs   = 3
  # With cancellation, the host would treat an attempt delayed by a seeded defect as unresponsive and cancel the attempt
  # before a node receives it.
  cancels     = false
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
  level = "error"
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
  shards = [0, 2, 4, 6]
}
volume "d" {
  id     = 4
  plan   = "padrao"
  shards = [1, 3, 5, 7]
}
volume "e" {
  id     = 5
  plan   = "prioritario"
  shards = [5, 6]
}
volume "f" {
  id     = 6
  plan   = "prioritario"
  shards = [0, 7]
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
  put_off       = 0.3
  put_off_every = "1.3s"
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
    zone  = 1
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
    zone  = 0
  }
  node "5" {
    shard = 5
    zone  = 1
  }
  node "6" {
    shard = 6
    zone  = 0
  }
  node "7" {
    shard = 7
    zone  = 1
    speed = 0.7
  }
  node "8" {
    shard = 0
    zone  = 0
    spare = true
  }
  node "9" {
    shard = 1
    zone  = 1
    spare = true
  }
  node "10" {
    shard = 6
    zone  = 0
    spare = true
  }
}

drill {
  time         = "8s"
  drain_within = "250ms"
}

traffic {
  rate    = 1200
  clients = 8
  keys    = 60
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

trouble "full-queue" {
  nodes = [4]
  from  = "1s"
  to    = "2s"
}
trouble "drain" {
  nodes      = [0]
  from       = "2s"
  to         = "6s"
  successors = [8]
}
trouble "crash" {
  nodes = [3]
  from  = "4s"
  to    = "5s"
}
