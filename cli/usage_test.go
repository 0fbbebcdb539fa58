package cli

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a script that takes a misspelled command for one that succeeded.
func TestUnknownCommandIsNoSuccess(t *testing.T) {
	for args, want := range map[string]string{
		"bogus":                 `unknown command "bogus" for "jackdawlane"`,
		"route remvoe o/r":      `unknown command "remvoe" for "jackdawlane route", did you mean "remove"?`,
		"pool bogus":            `unknown command "bogus" for "jackdawlane pool"`,
		"organisation ad o":     `unknown command "ad" for "jackdawlane organisation", did you mean "add"?`,
		"route --bogus":         "unknown flag: --bogus",
		"route show":            "accepts 1 arg(s), received 0",
		"status nodes backends": "must be nodes or backends",
	} {
		var out, errOut bytes.Buffer
		code := Main(strings.Fields(args), strings.NewReader(""), &out, &errOut, "test")
		assert.Check(t, code == ExitInvalid, "%s: exit code %d", args, code)
		assert.Check(t, strings.Contains(errOut.String(), want), "%s: %s", args, errOut.String())
		assert.Check(t, out.Len() == 0, "%s: %s", args, out.String())
	}
}

// Guards against an error in place of the help for an operator who gives no subcommand.
func TestCommandWithoutSubcommandPrintsHelp(t *testing.T) {
	for _, args := range []string{"", "route", "pool", "organisation"} {
		var out, errOut bytes.Buffer
		assert.Equal(t, Main(strings.Fields(args), strings.NewReader(""), &out, &errOut, "test"), ExitOK, args)
		assert.Assert(t, strings.Contains(out.String(), "Available Commands:"), args)
	}
}
