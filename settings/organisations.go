package settings

import (
	"slices"
	"strings"
	"time"

	"github.com/jackdawlane/jackdawlane/route"
)

// Organisations sets how the keys and the request limits of organisations are checked. These settings
// must be the same on all nodes.
type Organisations struct {
	// RevocationBound is the time after which a key that was taken away must not be accepted any more,
	// even if the store cannot be reached; 0 sets no bound.
	RevocationBound time.Duration
	// In any Window, at most (rate x Window + burst) x (1 + Overage) + Slack requests of an organisation
	// with a limit of that rate and burst run.
	Window  time.Duration
	Overage float64
	Slack   int
	// Regions are the regions of all nodes, without repetitions and in order. Each limit is split among
	// them. If there are none, limits are not enforced.
	Regions []string
}

// nameSetField is a list of names separated by commas. Repeated names count once.
func nameSetField(section, key string, target *[]string) field {
	return field{section: section, key: key, allowed: "names of lower-case letters, digits, '.', '_' or '-', separated by commas",
		parse: func(text string) error {
			var names []string
			for part := range strings.SplitSeq(text, ",") {
				part = strings.TrimSpace(part)
				if part == "" {
					continue
				}
				if !route.ValidName(part) {
					return errNotAllowed
				}
				names = append(names, part)
			}
			slices.Sort(names)
			*target = slices.Compact(names)
			return nil
		}}
}
