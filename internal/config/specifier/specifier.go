// Package specifier defines the configuration of the fleet: its types, defaults
// and validation.
package specifier

import (
	"io"
	"maps"
	"net/netip"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Kind classifies failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindUnreadable reports that the input could not be read.
	KindUnreadable Kind = "unreadable"
	// KindInvalid reports an invalid configuration.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	failer.Detail[Kind]
	// Problems lists everything that is wrong with the configuration.
	Problems decoder.Problems
}

// Fleet is the configuration shared by all daemons.
type Fleet struct {
	// Profiles are the named sets of policy settings.
	Profiles map[identifier.Profile]Profile `json:"profiles"`
	// Services are the routed services.
	Services map[identifier.Service]Service `json:"services"`
	// Teams are the organisations, whose requests and caches are isolated from each other.
	Teams map[identifier.Team]Team `json:"teams"`
	// Models are the models and their weight versions.
	Models map[identifier.Model]Model `json:"models"`
	// DataCentres are the data centres.
	DataCentres map[identifier.DataCentre]DataCentre `json:"data-centres"`
	// Hosts are the entry hosts; at least one when there are targets.
	Hosts map[identifier.Host]Host `json:"hosts"`
	// Targets are the servers that run requests.
	Targets map[identifier.Target]Target `json:"targets"`
	// Stores are the hosts that store cache blocks.
	Stores map[identifier.Store]Store `json:"stores"`
}

// DefaultFleet returns a Fleet without entries.
func DefaultFleet() Fleet {
	return Fleet{
		Profiles:    map[identifier.Profile]Profile{},
		Services:    map[identifier.Service]Service{},
		Teams:       map[identifier.Team]Team{},
		Models:      map[identifier.Model]Model{},
		DataCentres: map[identifier.DataCentre]DataCentre{},
		Hosts:       map[identifier.Host]Host{},
		Targets:     map[identifier.Target]Target{},
		Stores:      map[identifier.Store]Store{},
	}
}

// SetDefaults sets f to DefaultFleet.
func (f *Fleet) SetDefaults() { *f = DefaultFleet() }

// Decode reads a Fleet in JSON from r, fills in defaults for absent keys and
// validates the result. The error is an *Error that lists all problems, each with
// name as its file.
func Decode(name string, r io.Reader) (Fleet, error) {
	var f Fleet
	cfg := decoder.Config{Name: name, MaxBytes: MaxDocumentBytes}
	found, err := decodeInto(cfg, r, &f)
	if err != nil {
		return Fleet{}, err
	}
	found = found.Merge(f.Problems(name))
	return f, invalidError("decode "+name, found)
}

// DecodeDocument reads a Document as stored on the platform. It skips unknown
// keys, which a later version of the software may have written.
func DecodeDocument(name string, r io.Reader) (Document, error) {
	var doc Document
	cfg := decoder.Config{Name: name, MaxBytes: MaxDocumentBytes, AllowUnknown: true}
	found, err := decodeInto(cfg, r, &doc)
	if err != nil {
		return Document{}, err
	}
	return doc, invalidError("decode "+name, found)
}

// DecodeEntries reads a map of named entries of one type, such as teams.
func DecodeEntries[N ~string, E any](name string, r io.Reader) (map[N]E, error) {
	var entries map[N]E
	cfg := decoder.Config{Name: name, MaxBytes: MaxDocumentBytes}
	found, err := decodeInto(cfg, r, &entries)
	if err != nil {
		return nil, err
	}
	return entries, invalidError("decode "+name, found)
}

// decodeInto decodes r into v and returns the problems of the input, or an *Error
// if r could not be read.
func decodeInto(cfg decoder.Config, r io.Reader, v any) (decoder.Problems, error) {
	err := decoder.Decode(cfg, r, v)
	var decodeErr *decoder.Error
	switch {
	case err == nil:
		return nil, nil
	case errors.As(err, &decodeErr) && decodeErr.Kind == decoder.KindInvalid:
		return decodeErr.Problems, nil
	default:
		return nil, &Error{Detail: failer.Detail[Kind]{Op: "decode " + cfg.Name, Kind: KindUnreadable, Err: err}}
	}
}

// Validate returns an *Error that lists all problems of f, each with name as its
// file, or nil if f is valid.
func (f *Fleet) Validate(name string) error {
	return invalidError("validate "+name, f.Problems(name))
}

// Problems returns all problems of f, each with name as its file.
func (f *Fleet) Problems(name string) decoder.Problems { return f.problems(name, nil) }

// problems returns the problems that don't depend on the incomplete kinds of entries.
func (f *Fleet) problems(name string, incomplete map[string]bool) decoder.Problems {
	v := &validator{
		Reporter:   decoder.Reporter{File: name},
		fleet:      f,
		addresses:  map[netip.AddrPort]string{},
		hashes:     map[string]string{},
		incomplete: incomplete,
		names:      map[string]string{},
	}
	checkEntries(v, "profiles", f.Profiles, v.checkProfile)
	checkEntries(v, "services", f.Services, v.checkService)
	checkEntries(v, "teams", f.Teams, v.checkTeam)
	checkEntries(v, "models", f.Models, v.checkModel)
	checkEntries(v, "data-centres", f.DataCentres, v.checkDataCentre)
	checkEntries(v, "hosts", f.Hosts, v.checkHost)
	checkEntries(v, "targets", f.Targets, v.checkTarget)
	checkEntries(v, "stores", f.Stores, v.checkStore)
	if len(f.Targets) > 0 && len(f.Hosts) == 0 && !incomplete["hosts"] {
		v.Reportf("hosts", "is empty, want at least one host for %d targets", len(f.Targets))
	}
	return v.Problems
}

// invalidError returns an *Error of KindInvalid, or nil if there are no problems.
func invalidError(op string, found decoder.Problems) error {
	if len(found) == 0 {
		return nil
	}
	return &Error{Detail: failer.Detail[Kind]{Op: op, Kind: KindInvalid, Err: found}, Problems: found}
}

// Clone returns a copy of f with new maps. The entries share their slices with
// f: replace these instead of modifying them.
func (f *Fleet) Clone() Fleet {
	return Fleet{
		Profiles:    cloneEntries(f.Profiles),
		Services:    cloneEntries(f.Services),
		Teams:       cloneEntries(f.Teams),
		Models:      cloneEntries(f.Models),
		DataCentres: cloneEntries(f.DataCentres),
		Hosts:       cloneEntries(f.Hosts),
		Targets:     cloneEntries(f.Targets),
		Stores:      cloneEntries(f.Stores),
	}
}

// cloneEntries returns a copy of entries that is never nil.
func cloneEntries[N ~string, E any](entries map[N]E) map[N]E {
	result := make(map[N]E, len(entries))
	maps.Copy(result, entries)
	return result
}
