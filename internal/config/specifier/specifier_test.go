package specifier

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

const examplesDir = "../../../examples"

func readExample(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(examplesDir, name, "fleet.json"))
	assert.NilError(t, err)
	return text
}

func readExampleFleet(t testing.TB) Fleet {
	t.Helper()
	f, err := Decode("fleet.json", bytes.NewReader(readExample(t, "tierra-alta")))
	assert.NilError(t, err)
	return f
}

func TestExampleFleetsHaveExpectedSizes(t *testing.T) {
	cases := []struct {
		name                                              string
		dataCentres, hosts, targets, stores, teams, large int
		objective                                         Objective
		service                                           identifier.Service
	}{
		{"tierra-alta", 3, 8, 15, 3, 10, 3, ObjectiveFirstToken, "assistant"},
		{"etosha", 3, 7, 12, 3, 10, 3, ObjectiveService, "label-model"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, err := Decode(c.name, bytes.NewReader(readExample(t, c.name)))
			assert.NilError(t, err)
			assert.Equal(t, len(f.DataCentres), c.dataCentres)
			assert.Equal(t, len(f.Hosts), c.hosts)
			assert.Equal(t, len(f.Targets), c.targets)
			assert.Equal(t, len(f.Stores), c.stores)
			assert.Equal(t, len(f.Teams), c.teams)
			large := 0
			for _, team := range f.Teams {
				if team.Weight > 1 {
					large++
				}
			}
			assert.Equal(t, large, c.large)
			assert.Equal(t, f.Profiles[f.Services[c.service].Profile].Objective, c.objective)
		})
	}
}

func TestDecodeFillsDefaults(t *testing.T) {
	f, err := Decode("f.json", strings.NewReader(`{"profiles":{"p":{"retry-budget":0.5}}}`))
	assert.NilError(t, err)
	want := DefaultProfile()
	want.RetryBudget = 0.5
	assert.DeepEqual(t, f.Profiles["p"], want)
	assert.Assert(t, f.Targets != nil)
}

// TestProblemsReportKeyAndReason makes one value of a valid fleet invalid at a
// time and compares the whole message.
func TestProblemsReportKeyAndReason(t *testing.T) {
	cases := []struct {
		name   string
		modify func(f *Fleet)
		want   string
	}{
		{"policy", func(f *Fleet) { editEntry(f.Profiles, "shop", func(p *Profile) { p.Policy = "best" }) },
			`profiles.shop.policy: is "best", want one of round-robin, least-loaded, affinity, full`},
		{"weighs", func(f *Fleet) { editEntry(f.Profiles, "shop", func(p *Profile) { p.Objective = "" }) },
			`profiles.shop.weighs: is "", want one of first-token, service`},
		{"deadlines", func(f *Fleet) {
			editEntry(f.Profiles, "shop", func(p *Profile) { p.DefaultDeadline.Duration = 2 * time.Minute })
		},
			`profiles.shop.default-deadline: is 2m0s, want 1ms to 1m0s`},
		{"retry budget", func(f *Fleet) { editEntry(f.Profiles, "shop", func(p *Profile) { p.RetryBudget = 1.5 }) },
			`profiles.shop.retry-budget: is 1.5, want 0 to 1`},
		{"profile of a service", func(f *Fleet) { editEntry(f.Services, "assistant", func(s *Service) { s.Profile = "lunch" }) },
			`services.assistant.profile: names "lunch", which does not exist, want one of the profiles: orders, shop`},
		{"model of a service", func(f *Fleet) {
			editEntry(f.Services, "assistant", func(s *Service) { s.Models = []identifier.Model{"m"} })
		},
			`services.assistant.models[0]: names "m", which does not exist, want one of the models: shop-assistant`},
		{"no model", func(f *Fleet) { editEntry(f.Services, "assistant", func(s *Service) { s.Models = nil }) },
			`services.assistant.models: is empty, want at least one model for a service of kind "model"`},
		{"plain with model", func(f *Fleet) {
			editEntry(f.Services, "order-application", func(s *Service) { s.Models = []identifier.Model{"shop-assistant"} })
		},
			`services.order-application.models: is not empty, want no models for a service of kind "plain"`},
		{"path", func(f *Fleet) {
			editEntry(f.Services, "order-application", func(s *Service) { s.NonRepeatable = []string{"/orders", "pay"} })
		},
			`services.order-application.non-repeatable[1]: is "pay", want a path that begins with /`},
		{"class", func(f *Fleet) { editEntry(f.Services, "assistant", func(s *Service) { s.Class = "vip" }) },
			`services.assistant.class: is "vip", want one of interactive, standard, batch`},
		{"key hash", func(f *Fleet) { editEntry(f.Teams, "coffee", func(m *Team) { m.KeyHashes = []string{"secret"} }) },
			`teams.coffee.key-hashes[0]: is "secret", want 64 hexadecimal digits`},
		{"shared key", func(f *Fleet) {
			editEntry(f.Teams, "honey", func(m *Team) { m.KeyHashes = []string{strings.ToUpper(f.Teams["coffee"].KeyHashes[0])} })
		},
			`teams.honey.key-hashes[0]: repeats the key hash of teams.coffee.key-hashes[0]`},
		{"no key", func(f *Fleet) { editEntry(f.Teams, "honey", func(m *Team) { m.KeyHashes = nil }) },
			`teams.honey.key-hashes: is empty, want at least one SHA-256 hash of a key`},
		{"weight", func(f *Fleet) { editEntry(f.Teams, "honey", func(m *Team) { m.Weight = 0 }) },
			`teams.honey.weight: is 0, want 1e-06 to 1e+06`},
		{"service of a team", func(f *Fleet) {
			editEntry(f.Teams, "honey", func(m *Team) { m.Services = []identifier.Service{"x"} })
		},
			`teams.honey.services[0]: names "x", which does not exist, want one of the services: assistant, order-application`},
		{"empty list of services of a team", func(f *Fleet) { editEntry(f.Teams, "honey", func(m *Team) { m.Services = []identifier.Service{} }) },
			`teams.honey.services: is empty, want at least one service, or no list for all services`},
		{"version", func(f *Fleet) { editEntry(f.Models, "shop-assistant", func(m *Model) { m.Version = "" }) },
			`models.shop-assistant.version: is empty, want the weight version in force`},
		{"block size", func(f *Fleet) { editEntry(f.Models, "shop-assistant", func(m *Model) { m.BlockBytes = 0 }) },
			`models.shop-assistant.block-bytes: is 0, want 1 to 1099511627776`},
		{"state", func(f *Fleet) { editEntry(f.DataCentres, "antigua", func(d *DataCentre) { d.State = "off" }) },
			`data-centres.antigua.state: is "off", want one of in, out`},
		{"data centre of a host", func(f *Fleet) { editEntry(f.Hosts, "entry-01", func(h *Host) { h.DataCentre = "lima" }) },
			`hosts.entry-01.data-centre: names "lima", which does not exist, want one of the data centres: antigua, chimaltenango, escuintla`},
		{"no address", func(f *Fleet) { editEntry(f.Hosts, "entry-01", func(h *Host) { h.Peer = netip.AddrPort{} }) },
			`hosts.entry-01.peer: is "invalid AddrPort", want an IP address and port such as 127.0.0.1:21100`},
		{"shared address", func(f *Fleet) {
			editEntry(f.Targets, "order-01", func(m *Target) { m.Address = f.Hosts["entry-01"].Peer })
		},
			`targets.order-01.address: is "127.0.0.1:21201", which hosts.entry-01.peer uses already`},
		{"service of a target", func(f *Fleet) { editEntry(f.Targets, "order-01", func(m *Target) { m.Service = "o" }) },
			`targets.order-01.service: names "o", which does not exist, want one of the services: assistant, order-application`},
		{"cold limit", func(f *Fleet) { editEntry(f.Targets, "order-01", func(m *Target) { m.ColdLimit = 65 }) },
			`targets.order-01.cold-limit: is 65, want 1 to the warm-limit of 64`},
		{"link", func(f *Fleet) { editEntry(f.Stores, "store-antigua", func(s *Store) { s.LinkBytesPerSecond = -1 }) },
			`stores.store-antigua.link-bytes-per-second: is -1, want 1 to 1125899906842624`},
		{"name", func(f *Fleet) { f.DataCentres["a/b"] = DataCentre{Region: "r", State: StateIn} },
			`data-centres.a/b: has a bad name, want 1 to 63 letters, digits, dots, hyphens and underscores that begin with a letter or digit`},
		{"no hosts", func(f *Fleet) { clear(f.Hosts) },
			`hosts: is empty, want at least one host for 15 targets`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := readExampleFleet(t)
			c.modify(&f)
			assert.Equal(t, f.Problems("f.json").Error(), "f.json: "+c.want)
		})
	}
}

func editEntry[N ~string, E any](entries map[N]E, name N, change func(*E)) {
	e := entries[name]
	change(&e)
	entries[name] = e
}

func TestDecodeReportsAllProblemsOnce(t *testing.T) {
	_, err := Decode("f.json", strings.NewReader(`{
		"profiles": {"p": {"retry-budgets": 1, "max-attempts": 0, "stall-timeout": "soon"}},
		"hosts": {"h": {"data-centre": "d", "peer": "localhost:1"}}
	}`))
	var specErr *Error
	assert.Assert(t, errors.As(err, &specErr))
	assert.Equal(t, specErr.Kind, KindInvalid)
	var keys []string
	for _, p := range specErr.Problems {
		keys = append(keys, p.Key)
	}
	assert.DeepEqual(t, keys, []string{
		"profiles.p.retry-budgets", "profiles.p.stall-timeout", "hosts.h.peer",
		"profiles.p.max-attempts", "hosts.h.data-centre",
	})
}

func TestDiffReportsChangedKeys(t *testing.T) {
	a, b := readExampleFleet(t), readExampleFleet(t)
	editEntry(b.Profiles, "shop", func(p *Profile) { p.MaxAttempts = 5 })
	delete(b.Stores, "store-escuintla")
	b.DataCentres["lima"] = DataCentre{Region: "r", State: StateOut}
	assert.DeepEqual(t, Diff(a, b), []Difference{
		{Key: "data-centres.lima", After: `{"region":"r","state":"out"}`},
		{Key: "profiles.shop.max-attempts", Before: "3", After: "5"},
		{Key: "stores.store-escuintla", Before: `{"data-centre":"escuintla","address":"127.0.0.1:21503","link-bytes-per-second":1250000000,"state":"in"}`},
	})
	assert.Equal(t, len(Diff(a, a)), 0)
	assert.Equal(t, len(Diff(Fleet{}, DefaultFleet())), 0)
}

// TestDocumentsRoundTrip encodes and decodes fleets with random settings.
func TestDocumentsRoundTrip(t *testing.T) {
	base := readExample(t, "etosha")
	rapid.Check(t, func(t *rapid.T) {
		f, err := Decode("f.json", bytes.NewReader(base))
		assert.NilError(t, err)
		editEntry(f.Profiles, "labels", func(p *Profile) {
			p.MaxDeadline.Duration = time.Duration(rapid.Int64Range(int64(time.Minute), int64(time.Hour)).Draw(t, "deadline"))
			p.RetryBudget = rapid.Float64Range(0, 1).Draw(t, "budget")
			p.ExportBlocks = rapid.Bool().Draw(t, "keep")
		})
		name := rapid.StringMatching(`[a-z][a-z0-9.-]{0,20}`).Draw(t, "team")
		f.Teams[identifier.Team(name)] = Team{
			KeyHashes: []string{rapid.StringMatching(`[0-9a-f]{64}`).Draw(t, "hash")},
			Weight:    rapid.Float64Range(0.001, 1000).Draw(t, "weight"),
		}
		doc := Document{Change: Change{Author: "a", At: time.Unix(1, 0).UTC(), Token: "t"}, Fleet: f}
		text, err := json.Marshal(doc)
		assert.NilError(t, err)
		got, err := DecodeDocument("d", bytes.NewReader(text))
		assert.NilError(t, err)
		assert.Equal(t, got.Change, doc.Change)
		assert.Equal(t, len(Diff(f, got.Fleet)), 0)
		assert.NilError(t, got.Fleet.Validate("d"))
	})
}

// FuzzDecode checks that a fleet that Decode accepts stays the same when it is
// encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add(readExample(f, "tierra-alta"))
	f.Add(readExample(f, "etosha"))
	for _, seed := range []string{
		`{}`, `null`, `[]`, `{"hosts":null}`, `{"profiles":{"p":{"stall-timeout":"1s","stall-timeout":"2s"}}}`,
		`{"teams":{"":{}}}`, `{"targets":{"t":{"address":"[::1%lo]:1"}}}`, `{"profiles":{"p":{}}} {}`, `{"profiles":{"p":{"retry-budget":1e999}}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		fleet, err := Decode("f.json", bytes.NewReader(input))
		if err != nil {
			var specErr *Error
			assert.Assert(t, errors.As(err, &specErr))
			assert.Assert(t, len(specErr.Problems) > 0)
			return
		}
		text, err := json.Marshal(fleet)
		assert.NilError(t, err)
		decoded, err := Decode("f.json", bytes.NewReader(text))
		assert.NilError(t, err)
		assert.Equal(t, len(Diff(fleet, decoded)), 0)
	})
}

// TestEmptyListOfServicesAllowsAll guards against a team whose last allowed service is taken away and that may use all
// services from then on: an empty list was taken for one that is left out.
func TestEmptyListOfServicesAllowsAll(t *testing.T) {
	whole, err := json.Marshal(readExampleFleet(t))
	assert.NilError(t, err)
	for list, valid := range map[string]bool{``: true, `,"services":["assistant"]`: true, `,"services":[]`: false, `,"services":null`: false} {
		var fields map[string]json.RawMessage
		assert.NilError(t, json.Unmarshal(whole, &fields))
		fields["teams"] = json.RawMessage(`{"honey":{"key-hashes":["` + strings.Repeat("a", 64) + `"]` + list + `}}`)
		text, err := json.Marshal(fields)
		assert.NilError(t, err)
		_, err = Decode("f.json", bytes.NewReader(text))
		assert.Check(t, (err == nil) == valid, "%s: %v", list, err)
	}
}
