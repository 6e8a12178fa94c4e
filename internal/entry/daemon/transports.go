package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// transports are the HTTP transports to all but targets' answers.
type transports struct {
	cfg  Config
	mu   sync.Mutex
	list []*http.Transport
}

func newTransports(cfg Config) *transports { return &transports{cfg: cfg} }

const (
	// maxIdleConnections bounds the idle connections to one address.
	maxIdleConnections = 16
	// idleConnectionTime is how long an idle connection is kept.
	idleConnectionTime = 30 * time.Second
)

// open returns a transport to the platform, to store hosts or to the cache side
// of engines.
func (t *transports) open() *http.Transport {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			parsed, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, newError("dial", KindConfig, err)
			}
			return t.cfg.Dial(ctx, parsed)
		},
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnectionTime,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, transport)
	return transport
}

// closeIdle closes the connections that nothing uses.
func (t *transports) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.list {
		transport.CloseIdleConnections()
	}
}
