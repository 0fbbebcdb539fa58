package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/hop"
)

// Guards against reporting not-run for work that may have run: of two parallel attempts, one
// can be refused while the answer of the other is lost.
func TestFailureOfTwoAttempts(t *testing.T) {
	notRun := NotRun(503, hop.ReasonRetryBudget, "")
	lost := Unknown(hop.ReasonAnswerLost, "")
	failed := Unknown(hop.ReasonFailed, "")
	failed.buffered = &bufferedAnswer{status: 500}
	for _, c := range []struct{ a, b, want *ErrorReply }{
		{nil, notRun, notRun}, {notRun, lost, lost}, {lost, notRun, lost},
		{notRun, failed, failed}, {failed, lost, failed}, {lost, failed, failed},
	} {
		assert.Equal(t, preferredFailure(c.a, c.b), c.want)
	}
}

// Guards against a backend server being tried again after it has refused a request: of two parallel
// attempts, a guard can refuse the other one, and refusals by guards allow another try.
func TestRefusalByBackendServerPrecedesThatByGuard(t *testing.T) {
	suspect := NotRun(503, hop.ReasonSuspect, "")
	declined := NotRun(503, hop.ReasonDeclined, "")
	lost := Unknown(hop.ReasonAnswerLost, "")
	for _, c := range []struct{ a, b, want *ErrorReply }{
		{nil, suspect, suspect}, {suspect, declined, declined}, {declined, suspect, declined},
		{lost, declined, lost}, {declined, lost, lost}, {lost, suspect, lost},
	} {
		assert.Equal(t, parallelFailure(c.a, c.b), c.want)
	}
}
