package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/jackdawlane/jackdawlane/route"
)

// field is one key of the settings file.
type field struct {
	section, key string
	// defaultText is the value of an absent key. A required key has none.
	defaultText string
	required    bool
	// allowed describes the allowed values in error messages.
	allowed string
	parse   func(text string) error
}

func (f field) load(path string, file *ini.File) error {
	text := f.defaultText
	if section, err := file.GetSection(f.section); err == nil && section.HasKey(f.key) {
		text = section.Key(f.key).String()
	} else if f.required {
		return errors.Wrapf(ErrInvalid, "%s: [%s] %s is missing; want %s", path, f.section, f.key, f.allowed)
	}
	if err := f.parse(text); err != nil {
		return errors.Wrapf(ErrInvalid, "%s: [%s] %s = %q: want %s", path, f.section, f.key, text, f.allowed)
	}
	return nil
}

// errNotAllowed is the error of parse for a value that is not allowed. field.load replaces it by an
// error that describes the allowed values.
var errNotAllowed = errors.New("value is not allowed")

func (s *Settings) fields() []field {
	n := &s.Node
	return []field{
		nameField("node", "id", &n.ID),
		nameField("node", "region", &n.Region),
		nameField("node", "data_centre", &n.DataCentre),
		addressField("node", "traffic_address", &n.TrafficAddress),
		addressField("node", "hop_address", &n.HopAddress),
		addressField("node", "control_address", &n.ControlAddress),
		addressField("node", "announce_address", &n.AnnounceAddress),
		addressField("node", "metrics_address", &n.MetricsAddress),
		optionalAddressField("node", "ready_address", &n.ReadyAddress),
		optionalAddressField("node", "hop_advertise", &n.HopAdvertise),
		optionalAddressField("node", "control_advertise", &n.ControlAdvertise),
		durationField("node", "stop_timeout", &n.StopTimeout, "20s", 100*time.Millisecond, 10*time.Minute),
		addressField("store", "address", &s.Store.Address),
		durationField("store", "timeout", &s.Store.Timeout, "2s", 10*time.Millisecond, time.Minute),
		addressesField("peers", "seeds", &s.Peers.Seeds),
		choiceField("log", "level", &s.Log.Level, "info", "debug", "info", "warn", "error"),
		choiceField("log", "format", &s.Log.Format, "text", "text", "json"),
		choiceField("trace", "exporter", &s.Trace.Exporter, "off", "off", "file", "otlp"),
		textField("trace", "file", &s.Trace.File),
		optionalAddressField("trace", "endpoint", &s.Trace.Endpoint),
		ratioField("trace", "sample_ratio", &s.Trace.SampleRatio, "0.01"),
		intField("limits", "max_header_bytes", &s.Limits.MaxHeaderBytes, "65536", 1024, 1<<20),
		durationField("limits", "body_stall_timeout", &s.Limits.BodyStallTimeout, "10s", 100*time.Millisecond, time.Hour),
		// With this default, 100 nodes in a region use at most about a fifth (0.84 Gbit/s) of a link
		// of 4 Gbit/s.
		intField("limits", "region_bytes_per_second", &s.Limits.CrossRegionBytesPerSecond, "1048576", 1024, 1<<30),
		megabytesField("limits", "memory_mb", &s.Limits.MemoryMB, "0", 1<<20),
		intField("limits", "request_memory_mb", &s.Limits.RequestMemoryMB, "0", 0, 1<<16),
		intField("limits", "answer_memory_mb", &s.Limits.AnswerMemoryMB, "0", 0, 1<<16),
		// A line takes at least five of the bytes that max_header_bytes counts, so that a request within its
		// default has at most 13,107 lines.
		intField("limits", "max_header_lines", &s.Limits.MaxHeaderLines, "16384", 16, 1<<20),
		intField("limits", "connections", &s.Limits.Connections, "1024", 16, 1<<16),
		intField("limits", "connections_per_address", &s.Limits.ConnectionsPerAddress, "1024", 16, 1<<16),
		intField("limits", "requests", &s.Limits.Requests, "1024", 16, 1<<16),
		intField("limits", "sent_ahead", &s.Limits.SentAhead, "96", 1, 1<<16),
		durationField("limits", "answer_stall_timeout", &s.Limits.AnswerStallTimeout, "30s", 100*time.Millisecond, time.Hour),
		intField("limits", "answer_bytes", &s.Limits.AnswerBytes, "1048576", 1024, 16<<20),
		durationField("ejection", "hold_time", &s.Ejection.HoldTime, "30s", time.Second, 30*time.Minute),
		durationField("ejection", "permit_lifetime", &s.Ejection.PermitLifetime, "15s", 3*time.Second, 5*time.Minute),
		textField("backend_server", "service", &s.Backend.Service),
		optionalAddressField("backend_server", "address", &s.Backend.Address),
		ratioField("retries", "share", &s.Retry.RetriesPerRequest, "0.1"),
		intField("retries", "spare", &s.Retry.SpareRetries, "0", 0, 1<<20),
		durationField("retries", "window", &s.Retry.Window, "10s", time.Second, time.Hour),
		durationField("organisations", "window", &s.Organisations.Window, "5s", time.Second, time.Hour),
		ratioField("organisations", "overage", &s.Organisations.Overage, "0.1"),
		intField("organisations", "slack", &s.Organisations.Slack, "20", 0, 1<<20),
		nameSetField("organisations", "regions", &s.Organisations.Regions),
		optionalRatioField("hedging", "share", &s.Hedging.Share),
		durationField("hedging", "window", &s.Hedging.Window, "30s", time.Second, time.Hour),
		// Half of the requests or more are not the slow ones, and above 0.999 an entry seldom has enough
		// observations.
		boundedField("hedging", "quantile", &s.Hedging.Quantile, "0.95", 0.5, 0.999),
		durationField("configuration", "max_age", &s.Configuration.MaxAge, "2.5s", time.Second, time.Minute),
		durationField("organisations", "revocation_bound", &s.Organisations.RevocationBound, "0s", 0, time.Hour),
		durationField("keys", "retention", &s.Keys.Retention, "10m", time.Minute, time.Hour),
		durationField("keys", "batch_interval", &s.Keys.BatchInterval, "200ms", time.Millisecond, time.Second),
	}
}

func nameField(section, key string, target *string) field {
	return field{section: section, key: key, required: true,
		allowed: "lower-case letters, digits, '.', '_' or '-'",
		parse: func(text string) error {
			*target = text
			if !route.ValidName(text) {
				return errNotAllowed
			}
			return nil
		}}
}

func textField(section, key string, target *string) field {
	return field{section: section, key: key, allowed: "text",
		parse: func(text string) error {
			*target = text
			return nil
		}}
}

const addressAllowed = "an IP address and port, such as 127.0.0.1:7000"

func addressField(section, key string, target *netip.AddrPort) field {
	return field{section: section, key: key, required: true, allowed: addressAllowed,
		parse: func(text string) error { return parseAddress(text, target) }}
}

func optionalAddressField(section, key string, target *netip.AddrPort) field {
	return field{section: section, key: key, allowed: addressAllowed,
		parse: func(text string) error {
			if text == "" {
				return nil
			}
			return parseAddress(text, target)
		}}
}

func addressesField(section, key string, target *[]netip.AddrPort) field {
	return field{section: section, key: key, allowed: "IP addresses and ports, separated by commas",
		parse: func(text string) error {
			for part := range strings.SplitSeq(text, ",") {
				part = strings.TrimSpace(part)
				if part == "" {
					continue
				}
				var address netip.AddrPort
				if err := parseAddress(part, &address); err != nil {
					return err
				}
				*target = append(*target, address)
			}
			return nil
		}}
}

func parseAddress(text string, target *netip.AddrPort) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return errNotAllowed
	}
	*target = address
	return nil
}

func durationField(section, key string, target *time.Duration, defaultText string, low, high time.Duration) field {
	return field{section: section, key: key, defaultText: defaultText,
		allowed: fmt.Sprintf("a duration with a unit, from %s to %s", low, high),
		parse: func(text string) error {
			d, err := time.ParseDuration(text)
			if err != nil || d < low || d > high {
				return errNotAllowed
			}
			*target = d
			return nil
		}}
}

func intField(section, key string, target *int, defaultText string, low, high int) field {
	return field{section: section, key: key, defaultText: defaultText,
		allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		parse: func(text string) error {
			n, err := strconv.Atoi(text)
			if err != nil || n < low || n > high {
				return errNotAllowed
			}
			*target = n
			return nil
		}}
}

// megabytesField takes a number with decimals too, because platforms may state memory so, and cuts them off.
func megabytesField(section, key string, target *int, defaultText string, high int) field {
	return field{section: section, key: key, defaultText: defaultText,
		allowed: fmt.Sprintf("a number of megabytes from 0 to %d", high),
		parse: func(text string) error {
			n, err := strconv.ParseFloat(text, 64)
			if err != nil || !(n >= 0 && n <= float64(high)) {
				return errNotAllowed
			}
			*target = int(n)
			return nil
		}}
}

func ratioField(section, key string, target *float64, defaultText string) field {
	return field{section: section, key: key, defaultText: defaultText, allowed: "a number from 0 to 1",
		parse: func(text string) error {
			ratio, err := strconv.ParseFloat(text, 64)
			if err != nil || !(ratio >= 0 && ratio <= 1) {
				return errNotAllowed
			}
			*target = ratio
			return nil
		}}
}

// optionalRatioField leaves the target nil when the key is absent or empty.
func optionalRatioField(section, key string, target **float64) field {
	var ratio float64
	f := ratioField(section, key, &ratio, "")
	parse := f.parse
	f.parse = func(text string) error {
		if text == "" {
			return nil
		}
		*target = &ratio
		return parse(text)
	}
	return f
}

func boundedField(section, key string, target *float64, defaultText string, low, high float64) field {
	return field{section: section, key: key, defaultText: defaultText, allowed: fmt.Sprintf("a number from %g to %g", low, high),
		parse: func(text string) error {
			value, err := strconv.ParseFloat(text, 64)
			if err != nil || !(value >= low && value <= high) {
				return errNotAllowed
			}
			*target = value
			return nil
		}}
}

func choiceField(section, key string, target *string, defaultText string, choices ...string) field {
	return field{section: section, key: key, defaultText: defaultText, allowed: "one of " + strings.Join(choices, ", "),
		parse: func(text string) error {
			*target = text
			if !slices.Contains(choices, text) {
				return errNotAllowed
			}
			return nil
		}}
}
