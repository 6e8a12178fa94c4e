// Package storer stands in for a store host, which keeps blocks of KV cache in
// a memory and a disk tier behind a rate-limited link.
package storer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Faults changes the behaviour of a Storer; absent fields change nothing.
type Faults struct {
	// Kill cuts all connections, frees all blocks and refuses connections until Revive.
	Kill bool `json:"kill,omitempty"`
	// Revive accepts connections again.
	Revive bool `json:"revive,omitempty"`
	// Full refuses writes while it is true.
	Full *bool `json:"full,omitempty"`
	// LinkFactor multiplies the rate of the link; it is above 0.
	LinkFactor *float64 `json:"link-factor,omitempty"`
	// CorruptNext is the number of reads whose answers get a flipped bit.
	CorruptNext *int `json:"corrupt-next,omitempty"`
	// DieInNextWrite kills the store in the middle of the next write.
	DieInNextWrite bool `json:"die-in-next-write,omitempty"`
}

// Stats counts what a Storer did.
type Stats struct {
	Link         LinkStats `json:"link"`
	MemoryBlocks int       `json:"memory-blocks"`
	DiskBlocks   int       `json:"disk-blocks"`
	Evicted      int       `json:"evicted"`
	Writes       int       `json:"writes"`
	Commits      int       `json:"commits"`
	Reads        int       `json:"reads"`
	DiskReads    int       `json:"disk-reads"`
	// Misses counts the refused reads and commits by their kind.
	Misses map[Kind]int `json:"misses"`
	Killed bool         `json:"killed"`
}

// Storer is one store host. It is safe for concurrent use.
type Storer struct {
	*server.Server
	cfg Config

	mu      sync.Mutex
	shelf   *shelf
	link    *link
	stats   Stats
	full    bool
	corrupt int
	die     bool
}

// New returns an empty Storer for cfg, or an Error of KindInvalid.
func New(cfg Config) (*Storer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	s := &Storer{
		cfg:   cfg,
		shelf: newShelf(int(cfg.MemoryBytes/cfg.BlockBytes), int(cfg.DiskBytes/cfg.BlockBytes)),
		link:  &link{clock: cfg.Clock, rate: float64(cfg.LinkBytesPerSecond)},
	}
	s.stats.Misses = make(map[Kind]int)
	srv, err := server.New(server.Config{Handler: s.router()})
	s.Server = srv
	return s, err
}

// Kill cuts all connections, frees all blocks and refuses connections until Revive.
func (s *Storer) Kill() {
	s.SetRefuseConnections(true)
	s.mu.Lock()
	s.shelf.clear()
	s.stats.Killed = true
	s.mu.Unlock()
	s.ResetConnections()
}

// Revive accepts connections again; the store is empty.
func (s *Storer) Revive() {
	s.mu.Lock()
	s.shelf.clear()
	s.stats.Killed = false
	s.mu.Unlock()
	s.SetRefuseConnections(false)
}

// Apply changes the behaviour; it returns an Error of KindInvalid for a value out of range.
func (s *Storer) Apply(f Faults) error {
	if f.LinkFactor != nil && *f.LinkFactor <= 0 {
		return newError("apply faults", KindInvalid, errors.Newf("link-factor is %v, want above 0", *f.LinkFactor))
	}
	if f.Kill && f.Revive {
		return newError("apply faults", KindInvalid, errors.New("kill and revive exclude each other"))
	}
	s.set(f)
	if f.Kill {
		s.Kill()
	}
	if f.Revive {
		s.Revive()
	}
	return nil
}

// Stats returns the counts.
func (s *Storer) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Link = s.link.report()
	stats.MemoryBlocks = s.shelf.memory.Len()
	stats.DiskBlocks = s.shelf.disk.Len()
	stats.Evicted = s.shelf.evicted
	stats.Misses = make(map[Kind]int, len(s.stats.Misses))
	for kind, n := range s.stats.Misses {
		stats.Misses[kind] = n
	}
	return stats
}

func (s *Storer) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Full != nil {
		s.full = *f.Full
	}
	if f.LinkFactor != nil {
		s.link.rate = float64(s.cfg.LinkBytesPerSecond) * *f.LinkFactor
	}
	if f.CorruptNext != nil {
		s.corrupt = *f.CorruptNext
	}
	s.die = s.die || f.DieInNextWrite
}

func (s *Storer) router() *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc(messenger.PathLookup, s.handleLookup).Methods("POST")
	router.HandleFunc(messenger.PathCommit, s.handleCommit).Methods("POST")
	router.HandleFunc(messenger.PathBlocks+"{key}", s.handlePut).Methods("PUT")
	router.HandleFunc(messenger.PathBlocks+"{key}", s.handleGet).Methods("GET")
	router.HandleFunc(messenger.PathBlocks+"{key}", s.handleDelete).Methods("DELETE")
	router.Handle(server.PathFaults, server.FaultHandler(s.Apply)).Methods("POST")
	router.Handle(server.PathStats, server.StatsHandler(s.Stats)).Methods("GET")
	return router
}

// begin starts a write of key; die says that the store must die in the middle of it.
func (s *Storer) begin(key identifier.BlockKey) (generation uint64, die bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full {
		return 0, false, newError("write block", KindFull, errors.Newf("store %q has no space for block %v", s.cfg.Name, key))
	}
	die = s.die
	s.die = false
	s.stats.Writes++
	return s.shelf.begin(key), die, nil
}

func (s *Storer) fill(generation uint64, payload []byte, checksum uint64) (messenger.BlockRef, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shelf.fill(generation, payload, checksum)
}

func (s *Storer) commit(ref messenger.BlockRef) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.shelf.commit(ref); err != nil {
		s.miss(err)
		return err
	}
	s.stats.Commits++
	return nil
}

// read returns the payload and reference of a committed block.
func (s *Storer) read(key identifier.BlockKey, generation uint64) (*block, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, err := s.shelf.read(key, generation)
	if err != nil {
		s.miss(err)
		return nil, false, err
	}
	onDisk := b.onDisk
	if onDisk {
		s.stats.DiskReads++
	}
	s.shelf.touch(b)
	return b, onDisk, nil
}

// reread checks after a transfer that the block was not freed meanwhile and
// returns its payload.
func (s *Storer) reread(b *block) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.shelf.read(b.ref.Key, b.ref.Generation); err != nil {
		s.miss(err)
		return nil, err
	}
	s.stats.Reads++
	payload := append([]byte(nil), b.payload...)
	if s.corrupt > 0 && len(payload) > 0 {
		s.corrupt--
		payload[0] ^= 1
	}
	return payload, nil
}

// transfer waits until one block has crossed the link.
func (s *Storer) transfer(ctx context.Context, share float64) bool {
	n := int64(float64(s.cfg.BlockBytes) * share)
	s.mu.Lock()
	begin, end := s.link.reserve(n)
	s.mu.Unlock()
	if !sleepUntil(ctx, s.cfg.Clock, end) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.carry(n, begin, end)
	return true
}

func (s *Storer) sleep(ctx context.Context, d time.Duration) bool {
	return sleepUntil(ctx, s.cfg.Clock, s.cfg.Clock.Now().Add(d))
}

func (s *Storer) miss(err error) {
	var e *Error
	if errors.As(err, &e) {
		s.stats.Misses[e.Kind]++
	}
}
