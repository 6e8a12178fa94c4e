package main

import (
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/operator/commander"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// openStore returns a client for the object API at the first platform address of c.
func openStore(c commander.Connection) (client.ObjectStore, error) {
	if len(c.Platform) == 0 {
		return nil, errors.New("no platform address is given; use --platform IP:PORT")
	}
	return client.NewHTTPClient(client.HTTPConfig{Address: c.Platform[0], Clock: clockwork.NewRealClock()})
}
