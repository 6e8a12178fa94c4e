package commander

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Started describes one address on which a stand-in listens.
type Started struct {
	Kind    StandInKind    `json:"kind"`
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	// Control is true for the address of a proxy's faults and statistics.
	Control bool `json:"control,omitempty"`
}

// listenerServer serves one listener until its context ends.
type listenerServer interface {
	Serve(ctx context.Context, ln net.Listener) error
}

// service is one server with its address.
type service struct {
	Started
	server listenerServer
}

// group runs several services that stop together.
type group struct {
	cfg       Config
	services  []service
	listeners []net.Listener
	started   []Started
}

// open builds the stand-ins of file and listens on their addresses.
func (g *group) open(file File) error {
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

func (g *group) listen(s service) error {
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
	g.started = append(g.started, s.Started)
	return nil
}

// serve runs until ctx ends or one service fails, and then stops all.
func (g *group) serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, s := range g.services {
		group.Go(func() error { return s.server.Serve(ctx, g.listeners[i]) })
	}
	return group.Wait()
}

// close closes the listeners.
func (g *group) close() {
	for _, ln := range g.listeners {
		_ = ln.Close()
	}
}
