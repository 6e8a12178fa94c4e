package main

import (
	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/operator/commander"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// openStore returns the platform's object API at the addresses of c.
func openStore(c commander.Connection) (client.ObjectStore, error) {
	return nil, errors.Newf("package client has no HTTP client yet for the object API at %v", c.Platform)
}
