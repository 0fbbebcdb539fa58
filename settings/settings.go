// Package settings loads the settings of a node from an INI file and checks every field.
package settings

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// ErrInvalid marks a settings file with an unknown key or a value that is not allowed.
var ErrInvalid = errors.New("invalid settings")

// Settings are the settings of a node. Each address is an IP address and a port.
type Settings struct {
	Node     Node
	Store    Store
	Peers    Peers
	Log      Log
	Trace    Trace
	Limits   Limits
	Ejection Ejection
	Keys     Keys
	Backend  Backend
	Retry    Retry
	Hedging  Hedging
	// Organisations applies on platforms whose configuration has organisations.
	Organisations Organisations
	// Configuration applies on platforms whose operator writes the configuration to the store.
	Configuration Configuration
}

// Node holds the identity of a node, its region and data centre, and the addresses it listens on.
type Node struct {
	ID         string
	Region     string
	DataCentre string
	// TrafficAddress receives callers' requests.
	TrafficAddress netip.AddrPort
	// HopAddress receives attempts from entries.
	HopAddress netip.AddrPort
	// ControlAddress receives calls from other nodes and from the command line.
	ControlAddress netip.AddrPort
	// AnnounceAddress receives announcements of backend servers.
	AnnounceAddress netip.AddrPort
	// MetricsAddress serves expvar.
	MetricsAddress netip.AddrPort
	// ReadyAddress reports whether the node takes callers' requests. It is set only on
	// platforms that ask for this.
	ReadyAddress netip.AddrPort
	// HopAdvertise and ControlAdvertise are the addresses that other nodes call. They default
	// to HopAddress and ControlAddress.
	HopAdvertise     netip.AddrPort
	ControlAdvertise netip.AddrPort
	// StopTimeout bounds the duration of a planned stop.
	StopTimeout time.Duration
}

// Store sets how to reach the platform's object store.
type Store struct {
	Address netip.AddrPort
	// Timeout bounds one call other than a watch.
	Timeout time.Duration
}

// Peers sets the nodes through which a node joins the fleet.
type Peers struct {
	// Seeds holds the control addresses of these nodes.
	Seeds []netip.AddrPort
}

// Log sets the level (debug, info, warn, error) and the format (text, json) of the logs.
type Log struct {
	Level  string
	Format string
}

// Trace sets which spans are recorded and where they are exported to.
type Trace struct {
	// Exporter is off, file or otlp.
	Exporter string
	// File is the path of the file that the file exporter writes spans to.
	File string
	// Endpoint is the IP address and port of the OTLP/HTTP collector.
	Endpoint netip.AddrPort
	// SampleRatio is the fraction of new traces that are recorded, from 0 to 1.
	SampleRatio float64
}

// Limits bounds the resources that requests may use.
type Limits struct {
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int
	// BodyStallTimeout is the time after which a request ends whose body makes no progress.
	BodyStallTimeout time.Duration
	// CrossRegionBytesPerSecond bounds the traffic of this node to other regions, in bytes per second.
	CrossRegionBytesPerSecond int
	// MemoryMB is the memory of the VM; 0 means that it is not known.
	MemoryMB int
	// RequestMemoryMB bounds the estimated memory of all requests that clients are sending or that are
	// in progress, AnswerMemoryMB that of the answers that are held. 0 stands for a share of MemoryMB.
	RequestMemoryMB, AnswerMemoryMB int
	// MaxHeaderLines bounds the header lines of a request.
	MaxHeaderLines int
	// Connections bounds the connections of clients, ConnectionsPerAddress those from one address.
	Connections, ConnectionsPerAddress int
	// Requests bounds the requests in progress.
	Requests int
	// SentAhead bounds the requests in progress that clients sent before the answer to an earlier one.
	SentAhead int
	// AnswerStallTimeout is the time after which a connection is closed whose client does not read an answer.
	AnswerStallTimeout time.Duration
	// AnswerBytes bounds the size of each retained answer to a request that is not idempotent.
	AnswerBytes int
}

// Ejection sets the durations of ejections and of their permits.
type Ejection struct {
	// HoldTime is the shortest duration of the first ejection of a backend server. It doubles
	// with each further ejection of the same backend server.
	HoldTime time.Duration
	// PermitLifetime bounds an ejection whose permit cannot be renewed.
	PermitLifetime time.Duration
}

// Keys sets how idempotency keys are kept. These settings must be the same on all nodes.
type Keys struct {
	// Retention is the time within which requests with the same key run only once.
	Retention time.Duration
	// BatchInterval is the shortest time between two writes of a shard of keys.
	BatchInterval time.Duration
}

// Backend is the backend server on the node's VM, on platforms that state it in the settings.
type Backend struct {
	Service string
	Address netip.AddrPort
}

// Retry sets the budget of retries that all nodes share.
type Retry struct {
	// RetriesPerRequest is the allowed ratio of retries to requests of a service, from 0 to 1.
	RetriesPerRequest float64
	// SpareRetries is the number of retries of a service that all nodes together may make in a window in
	// addition to RetriesPerRequest.
	SpareRetries int
	// Window is the length of that time window.
	Window time.Duration
}

// Hedging sets the limit of hedged requests: second attempts of unanswered idempotent requests.
type Hedging struct {
	// Share is the allowed ratio of second attempts to the first attempts of a service, from 0 to 1; 0
	// turns hedging off. Without a value (nil) only the budget of retries limits it, and the second
	// attempt starts at half of the route's target latency.
	Share *float64
	// Window is the length of the time window to which Share applies.
	Window time.Duration
	// Quantile is the quantile of the observed latencies of a route after which the second attempt
	// starts, between 0 and 1.
	Quantile float64
}

// Configuration sets how the operator's configuration is followed.
type Configuration struct {
	// MaxAge is the time within which a change must be in force while the store answers.
	MaxAge time.Duration
}

// Load reads and checks a settings file. If the file is invalid, it returns ErrInvalid with a
// one-line message that names the file and, for an invalid value, the section, the key and the
// allowed values. Overrides replace values of the file, or add to it; each has the form
// section.key=value.
func Load(path string, overrides ...string) (Settings, error) {
	options := ini.LoadOptions{AllowNonUniqueSections: false, SkipUnrecognizableLines: false}
	file, err := ini.LoadSources(options, path)
	if err != nil {
		return Settings{}, errors.Mark(errors.Wrapf(err, "%s", path), ErrInvalid)
	}
	if err := override(file, overrides); err != nil {
		return Settings{}, err
	}
	var s Settings
	fields := s.fields()
	if err := rejectUnknownKeys(path, file, fields); err != nil {
		return Settings{}, err
	}
	for _, f := range fields {
		if err := f.load(path, file); err != nil {
			return Settings{}, err
		}
	}
	s.setDefaults()
	return s, s.checkCombinations(path)
}

// override sets the values that the overrides name.
func override(file *ini.File, overrides []string) error {
	for _, text := range overrides {
		name, value, hasValue := strings.Cut(text, "=")
		section, key, hasKey := strings.Cut(name, ".")
		if !hasValue || !hasKey {
			return errors.Wrapf(ErrInvalid, "override %q: want section.key=value", text)
		}
		file.Section(section).Key(key).SetValue(value)
	}
	return nil
}

// setDefaults fills the fields whose default is another field.
func (s *Settings) setDefaults() {
	if !s.Node.HopAdvertise.IsValid() {
		s.Node.HopAdvertise = s.Node.HopAddress
	}
	if !s.Node.ControlAdvertise.IsValid() {
		s.Node.ControlAdvertise = s.Node.ControlAddress
	}
}

// checkCombinations checks the rules that concern more than one field.
func (s *Settings) checkCombinations(path string) error {
	addresses := []netip.AddrPort{
		s.Node.TrafficAddress, s.Node.HopAddress, s.Node.ControlAddress,
		s.Node.AnnounceAddress, s.Node.MetricsAddress, s.Node.ReadyAddress,
	}
	for i, a := range addresses {
		if a.IsValid() && slices.Contains(addresses[:i], a) {
			return errors.Wrapf(ErrInvalid, "%s: [node] address %s is used twice; want a different address or port for each key", path, a)
		}
	}
	if s.Trace.Exporter == "file" && s.Trace.File == "" {
		return errors.Wrapf(ErrInvalid, "%s: [trace] file is empty; want a path when exporter is file", path)
	}
	if s.Trace.Exporter == "otlp" && !s.Trace.Endpoint.IsValid() {
		return errors.Wrapf(ErrInvalid, "%s: [trace] endpoint is empty; want an IP address and port when exporter is otlp", path)
	}
	if s.Ejection.PermitLifetime < 2*s.Store.Timeout {
		return errors.Wrapf(ErrInvalid, "%s: [ejection] permit_lifetime = %s is below twice [store] timeout = %s; a permit could expire before a failed renewal can be repeated",
			path, s.Ejection.PermitLifetime, s.Store.Timeout)
	}
	if regions := s.Organisations.Regions; len(regions) > 0 && !slices.Contains(regions, s.Node.Region) {
		return errors.Wrapf(ErrInvalid, "%s: [organisations] regions does not contain [node] region = %s; want the regions of all nodes", path, s.Node.Region)
	}
	return s.Limits.check(path)
}

func rejectUnknownKeys(path string, file *ini.File, fields []field) error {
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			known := slices.ContainsFunc(fields, func(f field) bool {
				return f.section == section.Name() && f.key == key.Name()
			})
			if !known {
				return errors.Wrapf(ErrInvalid, "%s: [%s] %s: unknown key; allowed are %s",
					path, section.Name(), key.Name(), keysInSection(section.Name(), fields))
			}
		}
	}
	return nil
}

func keysInSection(section string, fields []field) string {
	var keys []string
	for _, f := range fields {
		if f.section == section {
			keys = append(keys, f.key)
		}
	}
	if len(keys) == 0 {
		return "none in this section"
	}
	return strings.Join(keys, ", ")
}
