// Package specifier defines the fleet's configuration: the typed settings that
// operators edit, their defaults and their validation as a whole.
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
	// KindInvalid reports a configuration that may not come into force.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	failer.Detail[Kind]
	// Problems lists everything that is wrong with the configuration.
	Problems decoder.Problems
}

// Fleet is the whole configuration that all daemons share.
type Fleet struct {
	// Profiles are the named sets of policy settings.
	Profiles map[identifier.Profile]Profile `json:"profiles"`
	// Services are the routed services.
	Services map[identifier.Service]Service `json:"services"`
	// Teams are the organisations whose requests and cache are kept apart.
	Teams map[identifier.Team]Team `json:"teams"`
	// Models are the models and their weight versions.
	Models map[identifier.Model]Model `json:"models"`
	// DataCentres are the data centres.
	DataCentres map[identifier.DataCentre]DataCentre `json:"data-centres"`
	// Hosts are the entry hosts; at least one when there are targets.
	Hosts map[identifier.Host]Host `json:"hosts"`
	// Targets are the workers.
	Targets map[identifier.Target]Target `json:"targets"`
	// Stores are the store hosts.
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

// SetDefaults replaces f by DefaultFleet.
func (f *Fleet) SetDefaults() { *f = DefaultFleet() }

// Decode reads a Fleet in JSON from r, fills absent keys with defaults and
// validates the whole. The error is an *Error that lists all problems, each
// with name as its file.
func Decode(name string, r io.Reader) (Fleet, error) {
	var f Fleet
	cfg := decoder.Config{Name: name, MaxBytes: MaxDocumentBytes}
	found, err := decode(cfg, r, &f)
	if err != nil {
		return Fleet{}, err
	}
	found = found.Merge(f.Problems(name))
	return f, invalid("decode "+name, found)
}

// DecodeDocument reads a Document as the platform holds it. Keys that a later
// version of the software may have written are skipped.
func DecodeDocument(name string, r io.Reader) (Document, error) {
	var doc Document
	cfg := decoder.Config{Name: name, MaxBytes: MaxDocumentBytes, AllowUnknown: true}
	found, err := decode(cfg, r, &doc)
	if err != nil {
		return Document{}, err
	}
	return doc, invalid("decode "+name, found)
}

// DecodeEntries reads named entries of one type, such as a map of teams.
func DecodeEntries[N ~string, E any](name string, r io.Reader) (map[N]E, error) {
	var entries map[N]E
	cfg := decoder.Config{Name: name, MaxBytes: MaxDocumentBytes}
	found, err := decode(cfg, r, &entries)
	if err != nil {
		return nil, err
	}
	return entries, invalid("decode "+name, found)
}

// decode separates the problems of an input from the failure to read it.
func decode(cfg decoder.Config, r io.Reader, v any) (decoder.Problems, error) {
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

// Validate checks f as a whole. The error is an *Error that lists all problems,
// each with name as its file.
func (f *Fleet) Validate(name string) error {
	return invalid("validate "+name, f.Problems(name))
}

// Problems returns all problems of f, each with name as its file.
func (f *Fleet) Problems(name string) decoder.Problems {
	v := &validator{
		Reporter:  decoder.Reporter{File: name},
		fleet:     f,
		addresses: map[netip.AddrPort]string{},
		hashes:    map[string]string{},
	}
	eachEntry(v, "profiles", f.Profiles, v.profile)
	eachEntry(v, "services", f.Services, v.service)
	eachEntry(v, "teams", f.Teams, v.team)
	eachEntry(v, "models", f.Models, v.model)
	eachEntry(v, "data-centres", f.DataCentres, v.dataCentre)
	eachEntry(v, "hosts", f.Hosts, v.host)
	eachEntry(v, "targets", f.Targets, v.target)
	eachEntry(v, "stores", f.Stores, v.store)
	if len(f.Targets) > 0 && len(f.Hosts) == 0 {
		v.Reportf("hosts", "is empty, want at least one host for %d targets", len(f.Targets))
	}
	return v.Problems
}

// invalid returns an *Error of KindInvalid when there are problems.
func invalid(op string, found decoder.Problems) error {
	if len(found) == 0 {
		return nil
	}
	return &Error{Detail: failer.Detail[Kind]{Op: op, Kind: KindInvalid, Err: found}, Problems: found}
}

// Clone returns a copy of f whose maps are its own. Entries share their lists,
// which are replaced as a whole when they change.
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
