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

// Names in the fleet of a cluster.
const (
	model         identifier.Model         = "label-model"
	weightVersion identifier.WeightVersion = "2026-11"
	modelService  identifier.Service       = "labels"
	plainService  identifier.Service       = "orders"
	region        identifier.Region        = "khomas"
	paymentsPath                           = "/payments"
)

// teamKey returns the bearer key of team i.
func teamKey(i int) string { return fmt.Sprintf("prover-key-%02d", i+1) }

// teamName returns the name of team i.
func teamName(i int) identifier.Team { return identifier.Team(fmt.Sprintf("caterer-%02d", i+1)) }

const teamCount = 2

// engineSettings are the stand-in settings of a cluster's engines.
type engineSettings struct {
	ColdLimit             int                       `json:"cold-limit"`
	WarmTime              string                    `json:"warm-time"`
	WarmRequests          int                       `json:"warm-requests"`
	DecodeTokensPerSecond float64                   `json:"decode-tokens-per-second"`
	LoadLag               string                    `json:"load-lag"`
	Weights               []messenger.LoadedWeights `json:"weights"`
}

// plainSettings are the stand-in settings of a cluster's plain targets.
type plainSettings struct {
	ColdLimit    int    `json:"cold-limit"`
	WarmTime     string `json:"warm-time"`
	WarmRequests int    `json:"warm-requests"`
	ServiceTime  string `json:"service-time"`
}

// clusterSpec describes a cluster. Daemons and targets are assigned to the data
// centres round-robin.
type clusterSpec struct {
	dataCentres, daemons, engines, plainTargets int
	// startCold makes targets start cold; otherwise they start warm.
	startCold bool
	// warmRequests is the number of requests after which a cold target may become
	// warm.
	warmRequests int
	// adjustProfile changes the profile that both services use.
	adjustProfile func(*specifier.Profile)
}

// daemonSettings holds the contents of a daemon's settings file.
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

// sessionTerm is the term of the daemons' session leases.
const sessionTerm = 3 * time.Second

// host is an entry host with its daemon process.
type host struct {
	*process
	settings     daemonSettings
	settingsFile string
}

// cluster is a running system of stand-ins, proxies and daemons.
type cluster struct {
	t        *testing.T
	standIns []commander.StandIn
	// control holds the control address of each stand-in, which serves faults and
	// statistics.
	control map[string]netip.AddrPort
	objects netip.AddrPort
	fleet   specifier.Fleet
	hosts   []*host
}

// newCluster starts the stand-ins and daemons and waits until all daemons are ready.
func newCluster(t *testing.T, spec clusterSpec) *cluster {
	t.Helper()
	c := &cluster{t: t, control: map[string]netip.AddrPort{}, fleet: newFleet(spec)}
	c.objects = c.addStandIn(commander.StandInObjects, "platform", struct{}{})
	members := c.addStandIn(commander.StandInMembers, "members", struct{}{})
	c.addTargets(spec)
	for i := range spec.daemons {
		c.addHost(i, spec, members)
	}
	file := c.writeJSON("stand-ins.json", commander.File{StandIns: c.standIns})
	startProcess(t, "stand-ins", "cardamom-standin", "run", "--file", file)
	waitUntil(t, startTimeout, "the stand-ins answer", func() bool { return c.postFaults("platform", struct{}{}) == nil })
	code, out := c.runCtl("config", "apply", c.writeJSON("fleet.json", c.fleet))
	assert.Equal(t, code, 0, out)
	for _, h := range c.hosts {
		h.start(t)
	}
	c.waitAllReady()
	return c
}

// startTimeout bounds the wait for a process to become ready or for a condition
// that a test sets up.
const startTimeout = 30 * time.Second

// newFleet returns the configuration of a cluster without its hosts and targets.
func newFleet(spec clusterSpec) specifier.Fleet {
	profile := specifier.DefaultProfile()
	profile.DefaultDeadline = specifier.Duration{Duration: 20 * time.Second}
	profile.StallTimeout = specifier.Duration{Duration: time.Second}
	profile.RampStepTime = specifier.Duration{Duration: 50 * time.Millisecond}
	profile.ExportBlocks = false
	if spec.adjustProfile != nil {
		spec.adjustProfile(&profile)
	}
	f := specifier.Fleet{
		Profiles: map[identifier.Profile]specifier.Profile{"kitchen": profile},
		Services: map[identifier.Service]specifier.Service{
			modelService: {Kind: specifier.ServiceModel, Profile: "kitchen", Models: []identifier.Model{model}, Class: identifier.ClassInteractive},
			plainService: {Kind: specifier.ServicePlain, Profile: "kitchen", NonRepeatable: []string{paymentsPath}, Class: identifier.ClassInteractive},
		},
		Teams: map[identifier.Team]specifier.Team{},
		Models: map[identifier.Model]specifier.Model{
			model: {Version: weightVersion, MaxPromptTokens: 32_768, MaxOutputTokens: 2048, BlockBytes: 1 << 20},
		},
		DataCentres: map[identifier.DataCentre]specifier.DataCentre{},
		Hosts:       map[identifier.Host]specifier.Host{},
		Targets:     map[identifier.Target]specifier.Target{},
		Stores:      map[identifier.Store]specifier.Store{},
	}
	for i := range teamCount {
		f.Teams[teamName(i)] = specifier.Team{KeyHashes: []string{hasher.HashKey(teamKey(i))}, Weight: 1}
	}
	for i := range spec.dataCentres {
		f.DataCentres[dataCentreOf(i, spec)] = specifier.DataCentre{Region: region, State: specifier.StateIn}
	}
	return f
}

// dataCentreOf returns the data centre of the daemon or target with index i.
func dataCentreOf(i int, spec clusterSpec) identifier.DataCentre {
	return identifier.DataCentre(fmt.Sprintf("centre-%d", i%spec.dataCentres+1))
}

// addStandIn adds a stand-in to the cluster and returns its address.
func (c *cluster) addStandIn(kind commander.StandInKind, name string, settings any) netip.AddrPort {
	raw, err := json.Marshal(settings)
	assert.NilError(c.t, err)
	address := freeAddress(c.t)
	c.standIns = append(c.standIns, commander.StandIn{Kind: kind, Name: name, Address: address, Settings: raw})
	c.control[name] = address
	return address
}

// addProxy adds a proxy in front of target and returns the proxy's address.
func (c *cluster) addProxy(name string, target netip.AddrPort) netip.AddrPort {
	s := commander.StandIn{
		Kind: commander.StandInProxy, Name: name,
		Address: freeAddress(c.t), Control: freeAddress(c.t), Target: target,
	}
	c.standIns = append(c.standIns, s)
	c.control[name] = s.Control
	return s.Address
}

// proxyName returns the name of the proxy in front of a target or of a host's
// peer address.
func proxyName[N ~string](name N) string { return "before-" + string(name) }

// Limits of the targets in requests, and the engines' speed in tokens per second.
const (
	coldLimit  = 2
	warmLimit  = 32
	decodeRate = 100
)

// addTargets adds the engines and plain targets.
func (c *cluster) addTargets(spec clusterSpec) {
	engine := engineSettings{
		ColdLimit: coldLimit, WarmTime: "0s", DecodeTokensPerSecond: decodeRate, LoadLag: "50ms",
		Weights: []messenger.LoadedWeights{{Model: model, Version: weightVersion}},
	}
	plain := plainSettings{ColdLimit: coldLimit, WarmTime: "0s", ServiceTime: "5ms"}
	if spec.startCold {
		engine.WarmTime, engine.WarmRequests = "500ms", spec.warmRequests
		plain.WarmTime, plain.WarmRequests = "500ms", spec.warmRequests
	}
	for i := range spec.engines {
		c.addTarget(fmt.Sprintf("engine-%02d", i+1), modelService, dataCentreOf(i, spec), commander.StandInEngine, engine)
	}
	for i := range spec.plainTargets {
		c.addTarget(fmt.Sprintf("plain-%02d", i+1), plainService, dataCentreOf(i, spec), commander.StandInPlain, plain)
	}
}

// addTarget adds a target and its proxy to the stand-ins and to the fleet.
func (c *cluster) addTarget(name string, service identifier.Service, in identifier.DataCentre, kind commander.StandInKind, settings any) {
	address := c.addProxy(proxyName(name), c.addStandIn(kind, name, settings))
	c.fleet.Targets[identifier.Target(name)] = specifier.Target{
		Service: service, DataCentre: in, Address: address, State: specifier.StateIn,
		ColdLimit: coldLimit, WarmLimit: warmLimit, ChecksFence: true,
	}
}

// objectProxyName returns the name of a host's own proxy to the object API.
func objectProxyName(name identifier.Host) string { return "objects-of-" + string(name) }

// memberProxyName returns the name of a host's own proxy to the membership list.
func memberProxyName(name identifier.Host) string { return "members-of-" + string(name) }

// addHost adds a host with its proxies and writes its settings file.
func (c *cluster) addHost(i int, spec clusterSpec, members netip.AddrPort) {
	name := identifier.Host(fmt.Sprintf("entry-%02d", i+1))
	h := &host{settings: daemonSettings{
		Host: name, DataCentre: dataCentreOf(i, spec), Region: region,
		Listen: freeAddress(c.t), PeerListen: freeAddress(c.t), OperatorListen: freeAddress(c.t),
		Platform: platformSettings{
			Objects: []netip.AddrPort{c.addProxy(objectProxyName(name), c.objects)},
			Members: c.addProxy(memberProxyName(name), members),
		},
		Secrets:       secretSettings{BlockSecret: "prover-block-secret"},
		Session:       sessionSettings{Term: sessionTerm.String(), Margin: "500ms"},
		ShutdownGrace: "30s", LogLevel: "info",
	}}
	h.settingsFile = c.writeJSON(string(name)+".json", h.settings)
	c.hosts = append(c.hosts, h)
	c.fleet.Hosts[name] = specifier.Host{
		DataCentre: h.settings.DataCentre, State: specifier.StateIn, Peer: c.addProxy(proxyName(name), h.settings.PeerListen),
	}
}

// writeJSON writes v to a temporary JSON file and returns its path.
func (c *cluster) writeJSON(name string, v any) string {
	raw, err := json.Marshal(v)
	assert.NilError(c.t, err)
	path := filepath.Join(c.t.TempDir(), name)
	assert.NilError(c.t, os.WriteFile(path, raw, 0o600))
	return path
}

// start starts the host's daemon.
func (h *host) start(t *testing.T) {
	t.Helper()
	h.process = startProcess(t, string(h.settings.Host), "cardamomd", "--config", h.settingsFile)
}

// isReady reports whether the host's readiness check succeeds.
func (h *host) isReady() bool {
	response, err := http.Get("http://" + h.settings.Listen.String() + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// waitAllReady waits until all daemons are ready.
func (c *cluster) waitAllReady() {
	c.t.Helper()
	for _, h := range c.hosts {
		waitUntil(c.t, startTimeout, string(h.settings.Host)+" is ready", h.isReady)
	}
}

// callerAddresses returns the addresses for callers of the hosts with these
// indexes, or of all hosts.
func (c *cluster) callerAddresses(indexes ...int) []netip.AddrPort {
	var list []netip.AddrPort
	for i, h := range c.hosts {
		if len(indexes) == 0 {
			list = append(list, h.settings.Listen)
		}
		for _, n := range indexes {
			if n == i {
				list = append(list, h.settings.Listen)
			}
		}
	}
	return list
}

// runCtl runs the operators' client and returns its exit code and output.
func (c *cluster) runCtl(args ...string) (int, string) {
	c.t.Helper()
	var daemons []string
	for _, h := range c.hosts {
		daemons = append(daemons, h.settings.OperatorListen.String())
	}
	args = append([]string{"--platform", c.objects.String(), "--daemons", strings.Join(daemons, ","), "--author", "prover"}, args...)
	out, err := exec.Command(filepath.Join(binDir, "cardamomctl"), args...).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		assert.NilError(c.t, err)
	}
	if exit != nil {
		return exit.ExitCode(), string(out)
	}
	return 0, string(out)
}

// mustRunCtl runs the operators' client and fails the test if it fails.
func (c *cluster) mustRunCtl(args ...string) {
	c.t.Helper()
	code, out := c.runCtl(args...)
	assert.Equal(c.t, code, 0, out)
}

// otherHosts returns all hosts except one.
func (c *cluster) otherHosts(excluded *host) []*host {
	var list []*host
	for _, h := range c.hosts {
		if h != excluded {
			list = append(list, h)
		}
	}
	return list
}
