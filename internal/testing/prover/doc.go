// Package prover tests the system's guarantees end to end with real processes:
// daemons, stand-ins and the operators' client, with fault-injecting proxies on
// every connection that daemons open. Assertions rely on the stand-ins'
// statistics and the callers' results; only the tests of the configuration and
// of readiness use what daemons report.
package prover
