package descriptor

import "time"

// The bounds of a host for its callers' connections before the first configuration, and for what a configuration may set.
const (
	ReadHeaderTimeout = 30 * time.Second
	IdleTimeout       = 5 * time.Minute
	MaxHeaderBytes    = 256 << 10
)

// CallersShare is the share of the host's memory for what callers make it hold: their connections, heads and bodies. The
// rest is for what the collector hasn't freed yet, and for everything else. BodiesShare is the part of it that large
// bodies may fill.
const (
	CallersShare = 0.4
	BodiesShare  = 0.7 * CallersShare
)
