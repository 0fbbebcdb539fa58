package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/jackdawlane/jackdawlane/hop"
)

// maxLogLine bounds the length of a log line in bytes.
const maxLogLine = 1 << 20

// traceLine is a line of the log of a node that belongs to the traced request.
type traceLine struct {
	text   string
	event  string
	fields map[string]string
}

func (a *app) traceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID [FILE...]",
		Short: "Show what the logs of the nodes tell of a request and of the calls that its work made, and why it ended as it did",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 || args[0] == "" {
				return errors.Wrap(ErrUsage, "trace: the ID of a request is missing")
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := readTrace(args[0], args[1:], c.InOrStdin())
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return errors.Wrapf(ErrNotFound, "no line of the request %s", args[0])
			}
			for _, l := range lines {
				fmt.Fprintln(a.out, l.text)
				if cause := explainLine(l); cause != "" {
					fmt.Fprintln(a.out, "  -> "+cause)
				}
			}
			return nil
		},
	}
}

// readTrace returns the lines of the request from the files, or from stdin when there are none.
func readTrace(id string, files []string, stdin io.Reader) ([]traceLine, error) {
	if len(files) == 0 {
		return scanTrace(id, stdin)
	}
	var all []traceLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Mark(err, ErrUsage)
		}
		lines, err := scanTrace(id, f)
		err = errors.CombineErrors(err, f.Close())
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func scanTrace(id string, r io.Reader) ([]traceLine, error) {
	var lines []traceLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), id) {
			continue
		}
		l := parseLogLine(scanner.Text())
		// The ID of a call begins with that of the request whose work made it.
		if of := l.fields["id"]; of == id || strings.HasPrefix(of, id+".") {
			lines = append(lines, l)
		}
	}
	return lines, errors.Mark(scanner.Err(), ErrUsage)
}

var (
	logField = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)
	logEvent = regexp.MustCompile(`\b(request|dispatch) node=`)
)

// parseLogLine parses a line in the text or in the JSON format.
func parseLogLine(text string) traceLine {
	l := traceLine{text: text, fields: make(map[string]string)}
	if strings.HasPrefix(text, "{") {
		var values map[string]any
		if json.Unmarshal([]byte(text), &values) != nil {
			return l
		}
		for name, v := range values {
			l.fields[name] = fmt.Sprint(v)
		}
		l.event = l.fields["msg"]
		return l
	}
	if m := logEvent.FindStringSubmatch(text); m != nil {
		l.event = m[1]
	}
	for _, m := range logField.FindAllStringSubmatch(text, -1) {
		l.fields[m[1]] = strings.Trim(m[2], `"`)
	}
	return l
}

// causes says in words why a request ended without an answer, by reason.
var causes = map[hop.Reason]string{
	hop.ReasonDeclined:      "the last backend server stated that it did not run the work",
	hop.ReasonFull:          "no backend server that was asked had a slot in time: the service is at its capacity",
	hop.ReasonDisplaced:     "a more urgent request took its place in the queue: the service is at its capacity",
	hop.ReasonTimeout:       "the time of the request was over",
	hop.ReasonSuspect:       "the backend servers that were asked are suspected to fail",
	hop.ReasonRetryBudget:   "the repeats that the service allows were used up",
	hop.ReasonUnreachable:   "the guard, or its backend server, could not be reached; look for nodes that started or stopped then",
	hop.ReasonAnswerLost:    "the answer was lost; where a dispatch follows without status, ask that instance whether the work ran",
	hop.ReasonNoBackend:     "the node knew no backend server of the service; look for store lost",
	hop.ReasonNoRoute:       "no route of the configuration in force matches",
	hop.ReasonNotConfigured: "the node had no configuration yet; look for store lost",
	hop.ReasonCancelled:     "the caller left, or another attempt answered first",
	hop.ReasonLeaving:       "the backend server was leaving",
	hop.ReasonStopping:      "the node was stopping",
}

// explainLine says in words what a line means; empty when it tells of a success.
func explainLine(l traceLine) string {
	cause := causes[hop.Reason(l.fields["reason"])]
	switch {
	case l.event != "request" && l.event != "dispatch":
		return ""
	case hop.Outcome(l.fields["outcome"]) == hop.OutcomeNotRun:
		return "did not run: " + cause
	case hop.Outcome(l.fields["outcome"]) == hop.OutcomeUnknown:
		return "may have run: " + cause
	case l.event == "dispatch" && strings.HasPrefix(l.fields["status"], "5") && l.fields["health"] == "suspect":
		return "the backend server failed it and is suspected since"
	case l.event == "dispatch" && strings.HasPrefix(l.fields["status"], "5"):
		return "the backend server failed it, most likely because a call that it made failed"
	}
	return ""
}
