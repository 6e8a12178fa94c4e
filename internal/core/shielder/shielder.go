// Package shielder ignores SIGHUP from process start. SIGHUP only signals changed
// settings, so it must not end a process that has not read its settings yet.
//
// The signal is ignored in init because initialising the packages of the larger
// libraries takes most of the time until main runs.
package shielder

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
