package commander

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Endpoint describes one address on which a stand-in listens.
type Endpoint struct {
	Kind    StandInKind    `json:"kind"`
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	// Control is true for the address of a proxy's control interface.
	Control bool `json:"control,omitempty"`
}

// listenerServer serves one listener until its context ends.
type listenerServer interface {
	Serve(ctx context.Context, ln net.Listener) error
}

// service is a server and the address it serves.
type service struct {
	Endpoint
	server listenerServer
}

// serviceGroup runs several services; if one fails, all stop.
type serviceGroup struct {
	cfg       Config
	services  []service
	listeners []net.Listener
	endpoints []Endpoint
}

// listenAll builds the stand-ins of file and listens on their addresses.
func (g *serviceGroup) listenAll(file File) error {
	for _, s := range file.StandIns {
		services, err := s.services(g.cfg)
		if err != nil {
			return err
		}
		for _, svc := range services {
			if err := g.listen(svc); err != nil {
				return err
			}
		}
	}
	return nil
}

func (g *serviceGroup) listen(s service) error {
	if !s.Address.IsValid() {
		return newError("listen", KindInvalid, errors.Newf("the address of stand-in %q is missing", s.Name))
	}
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Address))
	if err != nil {
		return newError("listen", KindListen, err)
	}
	s.Address = ln.Addr().(*net.TCPAddr).AddrPort()
	g.services = append(g.services, s)
	g.listeners = append(g.listeners, ln)
	g.endpoints = append(g.endpoints, s.Endpoint)
	return nil
}

// serve runs all services until ctx ends or one of them fails.
func (g *serviceGroup) serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, s := range g.services {
		group.Go(func() error { return s.server.Serve(ctx, g.listeners[i]) })
	}
	return group.Wait()
}

func (g *serviceGroup) close() {
	for _, ln := range g.listeners {
		_ = ln.Close()
	}
}
