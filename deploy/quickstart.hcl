# One host with emulated nodes and endpoint list service; no other process is needed.
#   cargo run --release -- serve deploy/quickstart.hcl
# docs/settings.md describes each key, docs/vocabulary.md defines the terms.
host {
  listen     = "127.0.0.1:7400"
  hand_offs  = 3
  order_rest = "200ms"
  most_units = 6
  mean_units = 2
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

plan "basic" {
  rate   = 200
  weight = 1
}

plan "reserved" {
  rate    = 400
  reserve = 400
  weight  = 2
}

volume "receipts" {
  id     = 1
  plan   = "reserved"
  shards = [0, 1]
}

volume "contacts" {
  id     = 2
  plan   = "basic"
  shards = [0, 1]
}

standin {
  unit_work     = "2ms"
  fingerprinted = [1]
  group         = "zone"
  memory        = "1.5s"
  node "0" {
    shard = 0
  }
  node "1" {
    shard = 1
  }
}

drill {
  time = "5s"
}

traffic {
  rate    = 200
  clients = 4
  mix "read" {
    share = 0.6
    units = 3
  }
  mix "write" {
    share   = 0.4
    write   = true
    payload = 512
  }
}
