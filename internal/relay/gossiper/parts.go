package gossiper

import (
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// relayedParts is the encoded form of decider.PartsRelayed. Aggregators send each change to all hosts
// of their data centre, so its size decides what part of their links that takes.
type relayedParts struct {
	Store    netip.AddrPort `cbor:"1,keyasint"`
	Boot     int64          `cbor:"2,keyasint"`
	Age      time.Duration  `cbor:"3,keyasint,omitempty"`
	Lost     bool           `cbor:"4,keyasint,omitempty"`
	Next     int64          `cbor:"5,keyasint,omitempty"`
	Held     int            `cbor:"6,keyasint,omitempty"`
	Counted  bool           `cbor:"7,keyasint,omitempty"`
	PassedOn bool           `cbor:"8,keyasint,omitempty"`
	// Changes has an element for each run of changes with the same salt.
	Changes []saltChanges `cbor:"9,keyasint,omitempty"`
}

type saltChanges struct {
	_     struct{} `cbor:",toarray"`
	Salt  string
	Parts []partChange
}

// removed stands for the tokens of a part that was removed.
const removed = -1

type partChange struct {
	_      struct{} `cbor:",toarray"`
	Part   string
	Tokens int
}

func encodeParts(p decider.PartsRelayed) relayedParts {
	out := relayedParts{Store: p.Store, Boot: p.Boot, Age: p.Age, Lost: p.Lost, Next: p.Next, Held: p.Held, Counted: p.Counted, PassedOn: p.PassedOn}
	for _, c := range p.Changes {
		if n := len(out.Changes); n == 0 || out.Changes[n-1].Salt != c.Salt {
			out.Changes = append(out.Changes, saltChanges{Salt: c.Salt})
		}
		tokens := c.Tokens
		if !c.Held {
			tokens = removed
		}
		last := &out.Changes[len(out.Changes)-1]
		last.Parts = append(last.Parts, partChange{Part: c.Part, Tokens: tokens})
	}
	return out
}

func decodeParts(p relayedParts) decider.PartsRelayed {
	out := decider.PartsRelayed{Store: p.Store, Boot: p.Boot, Age: p.Age, Lost: p.Lost, Next: p.Next, Held: p.Held, Counted: p.Counted, PassedOn: p.PassedOn}
	for _, group := range p.Changes {
		for _, c := range group.Parts {
			out.Changes = append(out.Changes, descriptor.PartChange{Held: c.Tokens != removed, Salt: group.Salt, Part: c.Part, Tokens: max(0, c.Tokens)})
		}
	}
	return out
}
