package main

import (
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/operator/commander"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// openStore returns a client for the object API at the platform addresses of c.
func openStore(c commander.Connection) (client.ObjectStore, error) {
	var stores []client.ObjectStore
	for _, addr := range c.Platform {
		store, err := client.NewHTTPClient(client.HTTPConfig{Address: addr, Clock: clockwork.NewRealClock(), Timeout: c.Timeout})
		if err != nil {
			return nil, err
		}
		stores = append(stores, store)
	}
	return client.NewFallback(stores...)
}
