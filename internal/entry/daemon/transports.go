package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/bounder"
)

// transports are the HTTP transports for calls to the platform and to store hosts,
// and for block transfers and orders of targets. Attempts use those of the dialer,
// and load reports and cache events those of the reader.
type transports struct {
	cfg  Config
	mu   sync.Mutex
	list []*http.Transport
}

func newTransports(cfg Config) *transports { return &transports{cfg: cfg} }

const (
	// maxIdleConnsPerAddress limits the idle connections to one address.
	maxIdleConnsPerAddress = 16
	// idleConnTimeout is how long an idle connection is kept open.
	idleConnTimeout = 30 * time.Second
)

// open returns a new transport, whose idle connections are closed by closeIdle.
func (t *transports) open() *http.Transport {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			parsed, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, newError("dial", KindConfig, err)
			}
			return t.cfg.Dial(ctx, parsed)
		},
		MaxIdleConnsPerHost: maxIdleConnsPerAddress,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: bounder.MaxHeaderBytes,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, transport)
	return transport
}

// closeIdle closes the idle connections of all transports.
func (t *transports) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.list {
		transport.CloseIdleConnections()
	}
}
