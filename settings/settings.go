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

// Settings of a node. Addresses are IP numbers with ports.
type Settings struct {
	Node     Node
	Store    Store
	Peers    Peers
	Log      Log
	Trace    Trace
	Limit    Limits
	Ejection Ejection
	Keys     Keys
	Backend  Backend
	Retry    Retry
}

// Node identifies a node and its place, and holds the addresses it listens on.
type Node struct {
	ID         string
	Region     string
	DataCentre string
	// TrafficAddress takes callers' requests.
	TrafficAddress netip.AddrPort
	// HopAddress takes attempts from entries.
	HopAddress netip.AddrPort
	// ControlAddress takes calls from other nodes and from the command line.
	ControlAddress netip.AddrPort
	// AnnounceAddress takes announcements of backend servers.
	AnnounceAddress netip.AddrPort
	// MetricsAddress serves expvar.
	MetricsAddress netip.AddrPort
	// ReadyAddress says whether the node takes callers' requests; only a node on
	// a platform that asks has one.
	ReadyAddress netip.AddrPort
	// HopAdvertise and ControlAdvertise are what other nodes call; they default
	// to HopAddress and ControlAddress.
	HopAdvertise     netip.AddrPort
	ControlAdvertise netip.AddrPort
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
}

// Store names the platform's object store.
type Store struct {
	Address netip.AddrPort
	// Timeout bounds one call other than a watch.
	Timeout time.Duration
}

// Peers names control addresses of nodes to join through.
type Peers struct {
	Seeds []netip.AddrPort
}

// Log sets level (debug, info, warn, error) and format (text, json) of the logs.
type Log struct {
	Level  string
	Format string
}

// Trace sets where spans go.
type Trace struct {
	// Exporter is off, file or otlp.
	Exporter string
	// File takes the spans of the file exporter.
	File string
	// Endpoint is the IP number and port of the OTLP/HTTP collector.
	Endpoint netip.AddrPort
	// SampleRatio is the share of new traces that are recorded, 0 to 1.
	SampleRatio float64
}

// Limits bounds what one caller may use.
type Limits struct {
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int
	// BodyStallTimeout ends a request whose body makes no progress.
	BodyStallTimeout time.Duration
	// CrossRegionBytesPerSecond bounds the traffic of this node to other regions, in bytes per second.
	CrossRegionBytesPerSecond int
	// AnswerBytes bounds one retained answer of work that is not idempotent.
	AnswerBytes int
}

// Ejection sets the times of ejections and their permits.
type Ejection struct {
	// HoldTime is the shortest duration of a first ejection; each further one of
	// the same backend server is held twice as long.
	HoldTime time.Duration
	// PermitLifetime bounds an ejection whose permit cannot be renewed.
	PermitLifetime time.Duration
}

// Keys sets how idempotency keys are kept. It must be the same on all nodes.
type Keys struct {
	// Retention is the time within which work with the same key runs once.
	Retention time.Duration
	// BatchInterval is the least time between two writes of a shard of keys.
	BatchInterval time.Duration
}

// Backend is the backend server of the same VM, where the platform states it.
type Backend struct {
	Service string
	Address netip.AddrPort
}

// Retry sets the budget of retries that all nodes share.
type Retry struct {
	// Share is the retries allowed for each request of a service.
	Share float64
	// Spare is the number of further retries of a service that all nodes together may make in a window.
	Spare int
	// Window is the time over which Spare holds.
	Window time.Duration
}

// Load reads and checks a settings file.
// It returns ErrInvalid with one line that names file, section, key and what is allowed.
func Load(path string) (Settings, error) {
	options := ini.LoadOptions{AllowNonUniqueSections: false, SkipUnrecognizableLines: false}
	file, err := ini.LoadSources(options, path)
	if err != nil {
		return Settings{}, errors.Mark(errors.Wrapf(err, "%s", path), ErrInvalid)
	}
	var s Settings
	fields := s.fields()
	if err := checkKnown(path, file, fields); err != nil {
		return Settings{}, err
	}
	for _, f := range fields {
		if err := f.load(path, file); err != nil {
			return Settings{}, err
		}
	}
	s.setDefaults()
	return s, s.checkTogether(path)
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

// checkTogether checks the rules that concern more than one field.
func (s *Settings) checkTogether(path string) error {
	addresses := []netip.AddrPort{
		s.Node.TrafficAddress, s.Node.HopAddress, s.Node.ControlAddress,
		s.Node.AnnounceAddress, s.Node.MetricsAddress, s.Node.ReadyAddress,
	}
	for i, a := range addresses {
		if a.IsValid() && slices.Contains(addresses[:i], a) {
			return errors.Wrapf(ErrInvalid, "%s: [node] address %s is used twice; want a different port for each", path, a)
		}
	}
	if s.Trace.Exporter == "file" && s.Trace.File == "" {
		return errors.Wrapf(ErrInvalid, "%s: [trace] file is empty; want a path when exporter is file", path)
	}
	if s.Trace.Exporter == "otlp" && !s.Trace.Endpoint.IsValid() {
		return errors.Wrapf(ErrInvalid, "%s: [trace] endpoint is empty; want an IP number and port when exporter is otlp", path)
	}
	if s.Ejection.PermitLifetime < 2*s.Store.Timeout {
		return errors.Wrapf(ErrInvalid, "%s: [ejection] permit_lifetime = %s is below twice [store] timeout = %s; a renewal could not be repeated",
			path, s.Ejection.PermitLifetime, s.Store.Timeout)
	}
	return nil
}

func checkKnown(path string, file *ini.File, fields []field) error {
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			known := slices.ContainsFunc(fields, func(f field) bool {
				return f.section == section.Name() && f.key == key.Name()
			})
			if !known {
				return errors.Wrapf(ErrInvalid, "%s: [%s] %s: unknown key; allowed are %s",
					path, section.Name(), key.Name(), keysOf(section.Name(), fields))
			}
		}
	}
	return nil
}

func keysOf(section string, fields []field) string {
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
