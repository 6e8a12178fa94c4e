// Package gossiper carries messages between hosts in datagrams.
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

// KindListen reports an address that can't be used.
const KindListen Kind = "listen"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Config configures a Gossiper.
type Config struct {
	Address netip.AddrPort
	Logger  hclog.Logger
	Post    func(decider.Event)
	// ReceiveUpdates takes in what another host heard from the platform.
	ReceiveUpdates func([]follower.WatchUpdate)
}

// maxDatagram is the largest datagram of UDP over IPv4.
const maxDatagram = 65507

// Gossiper sends and receives messages.
type Gossiper struct {
	cfg  Config
	conn *net.UDPConn
}

// New returns a Gossiper that listens, or an Error of KindListen.
func New(cfg Config) (*Gossiper, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Address))
	if err != nil {
		return nil, &Error{failer.Detail[Kind]{Op: "listen", Kind: KindListen, Err: err}}
	}
	return &Gossiper{cfg: cfg, conn: conn}, nil
}

// Run receives messages until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() }) // The reader sees the end.
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			g.cfg.Logger.Warn("message not received", "error", err.Error())
			continue
		}
		var d datagram
		if err := cbor.Unmarshal(buf[:n], &d); err != nil {
			g.cfg.Logger.Warn("message not understood", "from", from.String(), "error", err.Error())
			continue
		}
		switch {
		case d.Parts != nil:
			g.cfg.Post(*d.Parts)
		case d.Message != nil:
			g.cfg.Post(decider.PeerSaid{Message: *d.Message})
		case d.Updates != nil:
			g.cfg.ReceiveUpdates(d.Updates)
		}
	}
}

// datagram is one of the kinds of messages.
type datagram struct {
	Message *decider.Message       `cbor:"1,keyasint,omitempty"`
	Parts   *decider.PartsTold     `cbor:"2,keyasint,omitempty"`
	Updates []follower.WatchUpdate `cbor:"3,keyasint,omitempty"`
}

// SendMessage sends a message to some hosts. What is lost is told again by the next message.
func (g *Gossiper) SendMessage(to []netip.AddrPort, m decider.Message) {
	g.send(to, datagram{Message: &m})
}

// SendParts sends changes of a store to some hosts.
func (g *Gossiper) SendParts(to []netip.AddrPort, parts decider.PartsTold) {
	g.send(to, datagram{Parts: &parts})
}

// SendUpdates passes on to some hosts what the platform said.
func (g *Gossiper) SendUpdates(to []netip.AddrPort, news []follower.WatchUpdate) {
	g.send(to, datagram{Updates: news})
}

func (g *Gossiper) send(to []netip.AddrPort, d datagram) {
	raw, err := cbor.Marshal(d)
	if err != nil {
		g.cfg.Logger.Error("message not encoded", "error", err.Error())
		return
	}
	for _, peer := range to {
		_, _ = g.conn.WriteToUDPAddrPort(raw, peer) // A lost message is repeated, or its absence noticed.
	}
}
