// Package prover tests the guarantees of the whole path with real processes:
// daemons, stand-ins and the operators' client, with fault-injecting proxies
// between daemons and everything that they talk to. The verdicts come from the
// stand-ins' statistics and from callers, never from daemons.
package prover
