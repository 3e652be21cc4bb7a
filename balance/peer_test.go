package balance

import "github.com/cranberrywalk/cranberrywalk/runnerlimit"

func peerNamed(name string) Peer { return Peer{Daemon: runnerlimit.Daemon{Name: name}} }
