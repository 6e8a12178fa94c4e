// Package storer simulates a store host, which keeps blocks of KV cache in a
// memory and a disk tier behind a rate-limited link.
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

// Faults sets the simulated faults of a Storer. Absent fields leave them unchanged.
type Faults struct {
	// Kill frees all blocks and resets all connections, and new ones until Revive.
	Kill bool `json:"kill,omitempty"`
	// Revive accepts connections again.
	Revive bool `json:"revive,omitempty"`
	// Full makes the store refuse writes while it is true.
	Full *bool `json:"full,omitempty"`
	// LinkFactor multiplies the configured rate of the link; it must be above 0.
	LinkFactor *float64 `json:"link-factor,omitempty"`
	// CorruptNext is the number of following reads whose payload gets a flipped bit.
	CorruptNext *int `json:"corrupt-next,omitempty"`
	// DieInNextWrite kills the store halfway through the next write.
	DieInNextWrite bool `json:"die-in-next-write,omitempty"`
}

// Stats holds the counters of a Storer and its current state.
type Stats struct {
	Link         LinkStats `json:"link"`
	MemoryBlocks int       `json:"memory-blocks"`
	DiskBlocks   int       `json:"disk-blocks"`
	Evicted      int       `json:"evicted"`
	Writes       int       `json:"writes"`
	Commits      int       `json:"commits"`
	Reads        int       `json:"reads"`
	DiskReads    int       `json:"disk-reads"`
	// Misses counts the refused reads and commits by kind.
	Misses map[Kind]int `json:"misses"`
	Killed bool         `json:"killed"`
}

// Storer is a simulated store host. It is safe for concurrent use.
type Storer struct {
	*server.Server
	cfg Config

	mu             sync.Mutex
	blocks         *blockStore
	link           *link
	stats          Stats
	full           bool
	corruptNext    int
	dieInNextWrite bool
}

// New returns an empty Storer for cfg, or an Error of KindInvalid.
func New(cfg Config) (*Storer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	s := &Storer{
		cfg:    cfg,
		blocks: newBlockStore(int(cfg.MemoryBytes/cfg.BlockBytes), int(cfg.DiskBytes/cfg.BlockBytes)),
		link:   &link{clock: cfg.Clock, rate: float64(cfg.LinkBytesPerSecond)},
	}
	s.stats.Misses = make(map[Kind]int)
	srv, err := server.New(server.Config{Handler: s.router()})
	s.Server = srv
	return s, err
}

// Kill frees all blocks and resets all connections, and new ones until Revive.
func (s *Storer) Kill() {
	s.SetRefuseConnections(true)
	s.mu.Lock()
	s.blocks.clear()
	s.stats.Killed = true
	s.mu.Unlock()
	s.ResetConnections()
}

// Revive accepts connections again; the store is empty.
func (s *Storer) Revive() {
	s.mu.Lock()
	s.blocks.clear()
	s.stats.Killed = false
	s.mu.Unlock()
	s.SetRefuseConnections(false)
}

// Apply applies f. It returns an Error of KindInvalid for a value out of range or
// if f contains both Kill and Revive.
func (s *Storer) Apply(f Faults) error {
	if f.LinkFactor != nil && *f.LinkFactor <= 0 {
		return newError("apply faults", KindInvalid, errors.Newf("link-factor is %v, want above 0", *f.LinkFactor))
	}
	if f.Kill && f.Revive {
		return newError("apply faults", KindInvalid, errors.New("kill and revive exclude each other"))
	}
	s.setFaults(f)
	if f.Kill {
		s.Kill()
	}
	if f.Revive {
		s.Revive()
	}
	return nil
}

// Stats returns a copy of the current counters.
func (s *Storer) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Link = s.link.snapshot()
	stats.MemoryBlocks = s.blocks.memory.Len()
	stats.DiskBlocks = s.blocks.disk.Len()
	stats.Evicted = s.blocks.evicted
	stats.Misses = make(map[Kind]int, len(s.stats.Misses))
	for kind, n := range s.stats.Misses {
		stats.Misses[kind] = n
	}
	return stats
}

// setFaults applies all of f except Kill and Revive.
func (s *Storer) setFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Full != nil {
		s.full = *f.Full
	}
	if f.LinkFactor != nil {
		s.link.rate = float64(s.cfg.LinkBytesPerSecond) * *f.LinkFactor
	}
	if f.CorruptNext != nil {
		s.corruptNext = *f.CorruptNext
	}
	s.dieInNextWrite = s.dieInNextWrite || f.DieInNextWrite
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

// beginWrite starts a write of key and returns its generation. die means that the
// store must be killed halfway through this write.
func (s *Storer) beginWrite(key identifier.BlockKey) (generation uint64, die bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full {
		return 0, false, newError("write block", KindFull, errors.Newf("store %q has no space for block %v", s.cfg.Name, key))
	}
	die = s.dieInNextWrite
	s.dieInNextWrite = false
	s.stats.Writes++
	return s.blocks.beginWrite(key), die, nil
}

func (s *Storer) finishWrite(generation uint64, payload []byte, checksum uint64) (messenger.BlockRef, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blocks.finishWrite(generation, payload, checksum)
}

func (s *Storer) commit(ref messenger.BlockRef) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.blocks.commit(ref); err != nil {
		s.countMiss(err)
		return err
	}
	s.stats.Commits++
	return nil
}

// read returns a committed block, which it marks as used, and whether it was on disk.
func (s *Storer) read(key identifier.BlockKey, generation uint64) (*block, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, err := s.blocks.read(key, generation)
	if err != nil {
		s.countMiss(err)
		return nil, false, err
	}
	onDisk := b.onDisk
	if onDisk {
		s.stats.DiskReads++
	}
	s.blocks.markUsed(b)
	return b, onDisk, nil
}

// readAfterTransfer returns the payload of b, unless b was freed during the
// transfer.
func (s *Storer) readAfterTransfer(b *block) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.blocks.read(b.ref.Key, b.ref.Generation); err != nil {
		s.countMiss(err)
		return nil, err
	}
	s.stats.Reads++
	payload := append([]byte(nil), b.payload...)
	if s.corruptNext > 0 && len(payload) > 0 {
		s.corruptNext--
		payload[0] ^= 1
	}
	return payload, nil
}

// awaitTransfer waits until the given share of a block has been transferred over
// the link. It returns false if ctx ends first.
func (s *Storer) awaitTransfer(ctx context.Context, share float64) bool {
	n := int64(float64(s.cfg.BlockBytes) * share)
	s.mu.Lock()
	begin, end := s.link.reserve(n)
	s.mu.Unlock()
	if !sleepUntil(ctx, s.cfg.Clock, end) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.recordTransfer(n, begin, end)
	return true
}

func (s *Storer) sleep(ctx context.Context, d time.Duration) bool {
	return sleepUntil(ctx, s.cfg.Clock, s.cfg.Clock.Now().Add(d))
}

// countMiss counts err in Stats.Misses. The caller holds mu.
func (s *Storer) countMiss(err error) {
	var e *Error
	if errors.As(err, &e) {
		s.stats.Misses[e.Kind]++
	}
}
