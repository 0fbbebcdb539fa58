package settings

import (
	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/headlimit"
)

const (
	// requestMemoryDivisor and answerMemoryDivisor give the shares of the VM's memory that requests and held
	// answers may take. The estimate does not include the garbage of the heap, which doubles it.
	// On the smallest VM, of 184 MB, they are 30 and 6 MB beside 28 MB of an idle process.
	requestMemoryDivisor = 6
	answerMemoryDivisor  = 30
	// defaultRequestMemoryMB and defaultAnswerMemoryMB apply where the VM's memory is not known.
	defaultRequestMemoryMB = 30
	defaultAnswerMemoryMB  = 6
	// minMemoryMB is the least memory of a VM from which shares are taken.
	minMemoryMB = 128
	// heapShareDivisor: the runtime collects garbage more often when it has taken all but this part of the
	// VM's memory.
	heapShareDivisor = 4
	// countedLineBytes is the least that a header line counts in max_header_bytes.
	countedLineBytes = 5
	// hopHeaderLines is more than the header lines that an entry adds to a request; package hop names 30.
	hopHeaderLines = 64
)

// DefaultLimits returns the limits of a settings file that gives none.
func DefaultLimits() Limits {
	var s Settings
	for _, f := range s.fields() {
		if f.section != "limits" {
			continue
		}
		if err := f.parse(f.defaultText); err != nil {
			panic(f.key + ": " + err.Error())
		}
	}
	return s.Limits
}

// ForFleet returns the limits for requests of other processes of the fleet: those of callers with what an entry
// adds to them.
func (l Limits) ForFleet() Limits {
	l.MaxHeaderLines += hopHeaderLines
	return l
}

// RequestMemory returns the bound on the estimated memory of all requests, in bytes.
func (l Limits) RequestMemory() int64 {
	return l.share(l.RequestMemoryMB, requestMemoryDivisor, defaultRequestMemoryMB)
}

// AnswerMemory returns the bound on the memory of all answers that are held, in bytes.
func (l Limits) AnswerMemory() int64 {
	return l.share(l.AnswerMemoryMB, answerMemoryDivisor, defaultAnswerMemoryMB)
}

func (l Limits) share(mb, divisor, defaultMB int) int64 {
	if mb == 0 && l.MemoryMB == 0 {
		mb = defaultMB
	}
	if mb == 0 {
		mb = max(l.MemoryMB, minMemoryMB) / divisor
	}
	return int64(mb) << 20
}

// HeapLimit returns the memory limit for the Go runtime in bytes, or 0 for none.
func (l Limits) HeapLimit() int64 {
	if l.MemoryMB == 0 {
		return 0
	}
	mb := max(l.MemoryMB, minMemoryMB)
	return int64(mb-mb/heapShareDivisor) << 20
}

// check checks that the memory for requests has room for one request within the limits, beside the part
// that is left to small ones.
func (l Limits) check(path string) error {
	lines := min(l.MaxHeaderBytes/countedLineBytes, l.MaxHeaderLines)
	need := headlimit.Cost(int64(l.MaxHeaderBytes), int64(lines)) * 4 / 3
	if l.RequestMemory() < need {
		return errors.Wrapf(ErrInvalid, "%s: [limits] request_memory_mb leaves %d MB for requests; want at least %d for one with max_header_bytes = %d and max_header_lines = %d",
			path, l.RequestMemory()>>20, need>>20+1, l.MaxHeaderBytes, l.MaxHeaderLines)
	}
	return nil
}
