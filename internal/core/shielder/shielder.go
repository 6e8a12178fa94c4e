// Package shielder keeps a hang-up from ending the process before its settings are
// first read. A hang-up only says that these changed.
//
// It has to act while packages are initialised: those of the larger libraries take
// longer than anything else until main runs.
package shielder

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
