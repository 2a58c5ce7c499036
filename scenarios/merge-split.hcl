# Coalescing of small writes and splitting of large reads, while nodes fail partially, become unresponsive and drain, and
# extents are migrated. Host 1 does not coalesce writes, for comparison.
#   cargo run --release -- scenario scenarios/merge-split.hcl
host {
  hosts      = 2
  hand_offs  = 3
  order_rest = "100ms"
  most_units = 4
  mean_units = 1
  round      = "5ms"
}

list {
  mode       = "ask"
  ask_within = "4s"
  map        = true
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
  time          = "3s"
  units         = 300
  fall_time     = "1s"
  fall_multiple = 2
}

merge {
  parts = 16
  units = 16
  reach = 16
}

split {
  blocks  = 16
  at_once = 4
}

band "read" {
  soft_limit = "200ms"
  time_limit = "1s"
  payoff     = 2
  repeats    = "retriable"
}

band "long" {
  soft_limit = "600ms"
  time_limit = "1.5s"
  payoff     = 2
  repeats    = "retriable"
}

band "scatter" {
  soft_limit = "1s"
  time_limit = "2s"
  payoff     = 1
  repeats    = "retriable"
}

band "write" {
  soft_limit = "250ms"
  time_limit = "1s"
  payoff     = 3
  repeats    = "fingerprinted"
  group      = "zone"
  memory     = "1.5s"
}

band "order" {
  soft_limit = "300ms"
  time_limit = "1s"
  payoff     = 4
  repeats    = "binding"
}

band "line" {
  soft_limit = "300ms"
  time_limit = "1s"
  payoff     = 3
  repeats    = "fingerprinted"
  group      = "zone"
  memory     = "1.5s"
  in_order   = true
}

plan "basico" {
  rate        = 600
  weight      = 1
  limit_rate  = 3000
  limit_store = 1000
}

plan "padrao" {
  rate    = 1200
  reserve = 300
  weight  = 2
}

volume "a" {
  id     = 1
  plan   = "basico"
  shards = [0, 1, 2, 3]
}
volume "b" {
  id     = 2
  plan   = "padrao"
  shards = [0, 1, 2, 3]
}
volume "c" {
  id     = 3
  plan   = "padrao"
  shards = [0, 1, 2, 3]
}

standin {
  cores         = 2
  unit_work     = "0.15ms"
  command_work  = "2.5ms"
  queue         = 400
  list_late     = "40ms"
  block         = 64
  fingerprinted = [3, 5]
  group         = "zone"
  memory        = "1.5s"
  extents       = 64
  keys          = 2049
  move_step     = "25ms"
  cold {
    share         = 0.15
    time          = "3s"
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
    shard = 0
    zone  = 0
    spare = true
  }
}

drill {
  time         = "14s"
  drain_within = "250ms"
  alone        = [1]
}

traffic {
  rate    = 5000
  clients = 8
  keys    = 2048
  run     = 32
  mix "read" {
    share  = 0.1
    units  = 1
    blocks = 2
  }
  mix "long" {
    share  = 0.02
    units  = 4
    blocks = 128
  }
  mix "scatter" {
    share  = 0.001
    units  = 4
    blocks = 2000
  }
  mix "write" {
    share   = 0.6
    units   = 1
    write   = true
    payload = 64
  }
  mix "order" {
    share   = 0.18
    units   = 1
    write   = true
    payload = 64
  }
  mix "line" {
    share   = 0.1
    units   = 1
    write   = true
    payload = 64
  }
}

trouble "partly" {
  nodes  = [0, 1, 2, 3]
  amount = 0.03
  from   = "2s"
  to     = "5s"
}
trouble "move" {
  volumes = [1]
  extent  = 3
  shard   = 1
  from    = "4s"
}
trouble "move" {
  volumes = [2]
  extent  = 4
  shard   = 2
  from    = "4.1s"
}
trouble "move" {
  volumes = [3]
  extent  = 17
  shard   = 3
  from    = "4.2s"
}
trouble "silent" {
  nodes = [2]
  from  = "6s"
  to    = "6.6s"
}
trouble "surge" {
  volumes = [1]
  from    = "7.2s"
  to      = "8.6s"
  amount  = 3
}
trouble "drain" {
  nodes      = [0]
  successors = [4]
  from       = "9s"
  to         = "10.5s"
}
trouble "answers-lost" {
  nodes  = [1]
  amount = 0.1
  from   = "10.8s"
  to     = "11.6s"
}
trouble "reset-mid-frame" {
  nodes = [3]
  from  = "11.8s"
  to    = "12.4s"
}
