// Package overloader proves that processes survive clients that stay outside of the limits, or that use all of what
// the limits allow at once. Its tests start the daemons as processes on loopback addresses, one at a time.
package overloader
