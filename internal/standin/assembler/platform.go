package assembler

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"

	"golang.org/x/time/rate"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
	"cardamomscale.example/cardamomscale/internal/standin/registrar"
	"cardamomscale.example/cardamomscale/internal/standin/supplier"
)

// Default rate limits of the platform, in calls per second.
const (
	defaultWritesPerSecond rate.Limit = 400
	defaultReadsPerSecond  rate.Limit = 2000
)

func (a *Assembly) buildPlatform() error {
	var err error
	a.Registrar, err = registrar.New(registrar.Config{
		Clock: a.cfg.Clock, Rand: rand.New(rand.NewPCG(a.cfg.Seed, 1)),
		WritesPerSecond: cmp.Or(a.cfg.Plan.WritesPerSecond, defaultWritesPerSecond),
		ReadsPerSecond:  cmp.Or(a.cfg.Plan.ReadsPerSecond, defaultReadsPerSecond),
	})
	if err != nil {
		return newError("build object API", KindPlan, err)
	}
	if a.ObjectAddress, err = a.startServer(a.Registrar); err != nil {
		return err
	}
	a.Supplier, err = supplier.New(supplier.Config{Settings: supplier.DefaultSettings(), Clock: a.cfg.Clock})
	if err != nil {
		return newError("build weight store", KindPlan, err)
	}
	return nil
}

// Apply writes fleet as the configuration to the platform.
func (a *Assembly) Apply(ctx context.Context, fleet specifier.Fleet) error {
	objects, err := client.NewHTTPClient(client.HTTPConfig{Address: a.ObjectAddress, Clock: a.cfg.Clock})
	if err != nil {
		return newError("apply configuration", KindStart, err)
	}
	defer objects.Close()
	expect := client.MustNotExist
	if present, err := objects.Get(ctx, specifier.FleetKey); err == nil {
		expect = present.Version
	}
	raw, err := json.Marshal(specifier.Document{Change: specifier.Change{Author: "assembly", At: a.cfg.Clock.Now()}, Fleet: fleet})
	if err != nil {
		return newError("apply configuration", KindStart, err)
	}
	if _, err := objects.Put(ctx, specifier.FleetKey, raw, expect); err != nil {
		return newError("apply configuration", KindStart, err)
	}
	a.Fleet = fleet
	return nil
}

// SetDataCentreState changes the state of a data centre, such as to take it out of service.
func (a *Assembly) SetDataCentreState(ctx context.Context, name identifier.DataCentre, state specifier.State) error {
	next := a.Fleet.Clone()
	centre := next.DataCentres[name]
	centre.State = state
	next.DataCentres[name] = centre
	return a.Apply(ctx, next)
}
