// Package gossiper exchanges messages between hosts in UDP datagrams.
package gossiper

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/follower"
)

// Kind classifies failures of this package.
type Kind string

// KindListen reports an address that the host can't listen on.
const KindListen Kind = "listen"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Config configures a Gossiper.
type Config struct {
	Address netip.AddrPort
	Logger  hclog.Logger
	Post    func(decider.Event)
	// ReceiveUpdates processes updates of a host that watches the platform.
	ReceiveUpdates func([]follower.WatchUpdate)
}

// maxDatagram is the largest payload of a UDP datagram over IPv4.
const maxDatagram = 65507

// Gossiper sends and receives messages over one UDP socket.
type Gossiper struct {
	cfg  Config
	conn *net.UDPConn
}

// New returns a Gossiper that listens already, or an Error of KindListen.
func New(cfg Config) (*Gossiper, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Address))
	if err != nil {
		return nil, &Error{failer.Detail[Kind]{Op: "listen", Kind: KindListen, Err: err}}
	}
	return &Gossiper{cfg: cfg, conn: conn}, nil
}

// Run receives messages until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() }) // Unblocks the read.
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			g.cfg.Logger.Warn("failed to receive message", "error", err.Error())
			continue
		}
		var d datagram
		if err := cbor.Unmarshal(buf[:n], &d); err != nil {
			g.cfg.Logger.Warn("failed to decode message", "from", from.String(), "error", err.Error())
			continue
		}
		switch {
		case d.Parts != nil:
			for _, parts := range d.Parts {
				g.cfg.Post(decodeParts(parts))
			}
		case d.Message != nil:
			g.cfg.Post(decider.MessageReceived{Message: *d.Message})
		case d.Updates != nil:
			g.cfg.ReceiveUpdates(d.Updates)
		}
	}
}

// datagram is the content of a datagram. Exactly one field is set.
type datagram struct {
	Message *decider.Message       `cbor:"1,keyasint,omitempty"`
	Parts   []relayedParts         `cbor:"4,keyasint,omitempty"`
	Updates []follower.WatchUpdate `cbor:"3,keyasint,omitempty"`
}

// SendMessage sends a message to hosts. Delivery isn't guaranteed: the next message
// repeats what a lost one stated.
func (g *Gossiper) SendMessage(to []netip.AddrPort, m decider.Message) {
	g.send(to, datagram{Message: &m})
}

// RelayParts sends changes of the parts of stores to hosts.
func (g *Gossiper) RelayParts(to []netip.AddrPort, parts []decider.PartsRelayed) {
	d := datagram{}
	for _, p := range parts {
		d.Parts = append(d.Parts, encodeParts(p))
	}
	g.send(to, d)
}

// SendUpdates sends changes of the platform's objects to hosts.
func (g *Gossiper) SendUpdates(to []netip.AddrPort, updates []follower.WatchUpdate) {
	g.send(to, datagram{Updates: updates})
}

func (g *Gossiper) send(to []netip.AddrPort, d datagram) {
	raw, err := cbor.Marshal(d)
	if err != nil {
		g.cfg.Logger.Error("failed to encode message", "error", err.Error())
		return
	}
	for _, peer := range to {
		_, _ = g.conn.WriteToUDPAddrPort(raw, peer) // Receivers recover from lost messages.
	}
}
