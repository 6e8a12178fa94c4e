package prover

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/commander"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// The names in the fleet of a cluster.
const (
	model    identifier.Model         = "label-model"
	version  identifier.WeightVersion = "2026-11"
	prompts  identifier.Service       = "labels"
	orders   identifier.Service       = "orders"
	region   identifier.Region        = "khomas"
	payments                          = "/payments"
)

// teamKey returns the bearer key of team i.
func teamKey(i int) string { return fmt.Sprintf("prover-key-%02d", i+1) }

// teamName returns the name of team i.
func teamName(i int) identifier.Team { return identifier.Team(fmt.Sprintf("caterer-%02d", i+1)) }

const teamCount = 2

// engineSettings are the settings of each engine of a cluster.
type engineSettings struct {
	ColdLimit             int                       `json:"cold-limit"`
	WarmTime              string                    `json:"warm-time"`
	WarmRequests          int                       `json:"warm-requests"`
	DecodeTokensPerSecond float64                   `json:"decode-tokens-per-second"`
	LoadLag               string                    `json:"load-lag"`
	Weights               []messenger.LoadedWeights `json:"weights"`
}

// plainSettings are the settings of each plain target of a cluster.
type plainSettings struct {
	ColdLimit    int    `json:"cold-limit"`
	WarmTime     string `json:"warm-time"`
	WarmRequests int    `json:"warm-requests"`
	ServiceTime  string `json:"service-time"`
}

// plan says what a cluster consists of; the parts are dealt out over the data
// centres in turn.
type plan struct {
	centres, daemons, engines, plains int
	// cold makes targets start cold; otherwise they are warm from the start.
	cold bool
	// profile changes the profile of both services.
	profile func(*specifier.Profile)
}

// daemonSettings is a daemon's settings file.
type daemonSettings struct {
	Host           identifier.Host       `json:"host"`
	DataCentre     identifier.DataCentre `json:"data-centre"`
	Region         identifier.Region     `json:"region"`
	Listen         netip.AddrPort        `json:"listen"`
	PeerListen     netip.AddrPort        `json:"peer-listen"`
	OperatorListen netip.AddrPort        `json:"operator-listen"`
	Platform       platformSettings      `json:"platform"`
	Secrets        secretSettings        `json:"secrets"`
	Session        sessionSettings       `json:"session"`
	ShutdownGrace  string                `json:"shutdown-grace"`
	LogLevel       string                `json:"log-level"`
}

type platformSettings struct {
	Objects []netip.AddrPort `json:"objects"`
	Members netip.AddrPort   `json:"members"`
}

type secretSettings struct {
	BlockSecret string `json:"block-secret"`
}

type sessionSettings struct {
	Term   string `json:"term"`
	Margin string `json:"margin"`
}

// sessionTerm is the term of the daemons' leases.
const sessionTerm = 3 * time.Second

// host is one entry host with its daemon.
type host struct {
	*process
	settings daemonSettings
	file     string
}

// cluster is a running system.
type cluster struct {
	t        *testing.T
	standIns []commander.StandIn
	// control holds the address of each stand-in's faults and statistics.
	control map[string]netip.AddrPort
	objects netip.AddrPort
	fleet   specifier.Fleet
	hosts   []*host
}

// newCluster starts stand-ins and daemons and waits until all can serve.
func newCluster(t *testing.T, p plan) *cluster {
	t.Helper()
	c := &cluster{t: t, control: map[string]netip.AddrPort{}, fleet: newFleet(p)}
	c.objects = c.add(commander.StandInObjects, "platform", struct{}{})
	members := c.add(commander.StandInMembers, "members", struct{}{})
	c.addTargets(p)
	for i := range p.daemons {
		c.addHost(i, p, members)
	}
	file := c.write("stand-ins.json", commander.File{StandIns: c.standIns})
	start(t, "stand-ins", "cardamom-standin", "run", "--file", file)
	within(t, startLimit, "the stand-ins answer", func() bool { return c.post("platform", struct{}{}) == nil })
	code, out := c.ctl("config", "apply", c.write("fleet.json", c.fleet))
	assert.Equal(t, code, 0, out)
	for _, h := range c.hosts {
		h.start(t)
	}
	c.waitReady()
	return c
}

const startLimit = 30 * time.Second

func newFleet(p plan) specifier.Fleet {
	profile := specifier.DefaultProfile()
	profile.DefaultDeadline = specifier.Duration{Duration: 20 * time.Second}
	profile.StallTimeout = specifier.Duration{Duration: time.Second}
	profile.RampStepTime = specifier.Duration{Duration: 50 * time.Millisecond}
	profile.Keep = false
	if p.profile != nil {
		p.profile(&profile)
	}
	f := specifier.Fleet{
		Profiles: map[identifier.Profile]specifier.Profile{"kitchen": profile},
		Services: map[identifier.Service]specifier.Service{
			prompts: {Kind: specifier.ServiceModel, Profile: "kitchen", Models: []identifier.Model{model}, Class: identifier.ClassInteractive},
			orders:  {Kind: specifier.ServicePlain, Profile: "kitchen", NonRepeatable: []string{payments}, Class: identifier.ClassInteractive},
		},
		Teams: map[identifier.Team]specifier.Team{},
		Models: map[identifier.Model]specifier.Model{
			model: {Version: version, MaxPromptTokens: 32_768, MaxOutputTokens: 2048, BlockBytes: 1 << 20},
		},
		DataCentres: map[identifier.DataCentre]specifier.DataCentre{},
		Hosts:       map[identifier.Host]specifier.Host{},
		Targets:     map[identifier.Target]specifier.Target{},
		Stores:      map[identifier.Store]specifier.Store{},
	}
	for i := range teamCount {
		f.Teams[teamName(i)] = specifier.Team{KeyHashes: []string{hasher.HashKey(teamKey(i))}, Weight: 1}
	}
	for i := range p.centres {
		f.DataCentres[centre(i, p)] = specifier.DataCentre{Region: region, State: specifier.StateIn}
	}
	return f
}

// centre returns the data centre of the part with number i.
func centre(i int, p plan) identifier.DataCentre {
	return identifier.DataCentre(fmt.Sprintf("centre-%d", i%p.centres+1))
}

// add adds a stand-in to the list and returns its address.
func (c *cluster) add(kind commander.StandInKind, name string, settings any) netip.AddrPort {
	raw, err := json.Marshal(settings)
	assert.NilError(c.t, err)
	address := freeAddress(c.t)
	c.standIns = append(c.standIns, commander.StandIn{Kind: kind, Name: name, Address: address, Settings: raw})
	c.control[name] = address
	return address
}

// proxy adds a proxy before target and returns the proxy's address.
func (c *cluster) proxy(name string, target netip.AddrPort) netip.AddrPort {
	s := commander.StandIn{
		Kind: commander.StandInProxy, Name: name,
		Address: freeAddress(c.t), Control: freeAddress(c.t), Target: target,
	}
	c.standIns = append(c.standIns, s)
	c.control[name] = s.Control
	return s.Address
}

// before returns the name of the proxy before a target or a host's peer address.
func before[N ~string](name N) string { return "before-" + string(name) }

// Sizes of the targets' cold starts and work.
const (
	coldLimit  = 2
	warmLimit  = 32
	decodeRate = 100
)

func (c *cluster) addTargets(p plan) {
	engine := engineSettings{
		ColdLimit: coldLimit, WarmTime: "0s", DecodeTokensPerSecond: decodeRate, LoadLag: "50ms",
		Weights: []messenger.LoadedWeights{{Model: model, Version: version}},
	}
	plain := plainSettings{ColdLimit: coldLimit, WarmTime: "0s", ServiceTime: "5ms"}
	if p.cold {
		engine.WarmTime, engine.WarmRequests = "500ms", 4
		plain.WarmTime, plain.WarmRequests = "500ms", 4
	}
	for i := range p.engines {
		c.addTarget(fmt.Sprintf("engine-%02d", i+1), prompts, centre(i, p), commander.StandInEngine, engine)
	}
	for i := range p.plains {
		c.addTarget(fmt.Sprintf("plain-%02d", i+1), orders, centre(i, p), commander.StandInPlain, plain)
	}
}

func (c *cluster) addTarget(name string, service identifier.Service, in identifier.DataCentre, kind commander.StandInKind, settings any) {
	address := c.proxy(before(name), c.add(kind, name, settings))
	c.fleet.Targets[identifier.Target(name)] = specifier.Target{
		Service: service, DataCentre: in, Address: address, State: specifier.StateIn,
		ColdLimit: coldLimit, WarmLimit: warmLimit, ChecksFence: true,
	}
}

// objectsOf and membersOf return the names of a host's own proxies to the platform.
func objectsOf(name identifier.Host) string { return "objects-of-" + string(name) }

func membersOf(name identifier.Host) string { return "members-of-" + string(name) }

func (c *cluster) addHost(i int, p plan, members netip.AddrPort) {
	name := identifier.Host(fmt.Sprintf("entry-%02d", i+1))
	h := &host{settings: daemonSettings{
		Host: name, DataCentre: centre(i, p), Region: region,
		Listen: freeAddress(c.t), PeerListen: freeAddress(c.t), OperatorListen: freeAddress(c.t),
		Platform: platformSettings{
			Objects: []netip.AddrPort{c.proxy(objectsOf(name), c.objects)},
			Members: c.proxy(membersOf(name), members),
		},
		Secrets:       secretSettings{BlockSecret: "prover-block-secret"},
		Session:       sessionSettings{Term: sessionTerm.String(), Margin: "500ms"},
		ShutdownGrace: "30s", LogLevel: "info",
	}}
	h.file = c.write(string(name)+".json", h.settings)
	c.hosts = append(c.hosts, h)
	c.fleet.Hosts[name] = specifier.Host{
		DataCentre: h.settings.DataCentre, State: specifier.StateIn, Peer: c.proxy(before(name), h.settings.PeerListen),
	}
}

// write writes v as JSON into a file of the test and returns its path.
func (c *cluster) write(name string, v any) string {
	raw, err := json.Marshal(v)
	assert.NilError(c.t, err)
	path := filepath.Join(c.t.TempDir(), name)
	assert.NilError(c.t, os.WriteFile(path, raw, 0o600))
	return path
}

// start starts the host's daemon.
func (h *host) start(t *testing.T) {
	t.Helper()
	h.process = start(t, string(h.settings.Host), "cardamomd", "--config", h.file)
}

// ready reports whether the host's daemon says that it can serve.
func (h *host) ready() bool {
	response, err := http.Get("http://" + h.settings.Listen.String() + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

func (c *cluster) waitReady() {
	c.t.Helper()
	for _, h := range c.hosts {
		within(c.t, startLimit, string(h.settings.Host)+" is ready", h.ready)
	}
}

// callers returns the callers' addresses of the hosts with these numbers, or of all.
func (c *cluster) callers(numbers ...int) []netip.AddrPort {
	var list []netip.AddrPort
	for i, h := range c.hosts {
		if len(numbers) == 0 {
			list = append(list, h.settings.Listen)
		}
		for _, n := range numbers {
			if n == i {
				list = append(list, h.settings.Listen)
			}
		}
	}
	return list
}

// ctl runs the operators' client and returns its exit code and output.
func (c *cluster) ctl(args ...string) (int, string) {
	c.t.Helper()
	var daemons []string
	for _, h := range c.hosts {
		daemons = append(daemons, h.settings.OperatorListen.String())
	}
	args = append([]string{"--platform", c.objects.String(), "--daemons", strings.Join(daemons, ","), "--author", "prover"}, args...)
	out, err := exec.Command(filepath.Join(binaries, "cardamomctl"), args...).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		assert.NilError(c.t, err)
	}
	if exit != nil {
		return exit.ExitCode(), string(out)
	}
	return 0, string(out)
}

// accept runs a command of the operators' client that must succeed.
func (c *cluster) accept(args ...string) {
	c.t.Helper()
	code, out := c.ctl(args...)
	assert.Equal(c.t, code, 0, out)
}
